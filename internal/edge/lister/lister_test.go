package lister

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/platformer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

func TestList(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	platform := platformer.New()
	go func() { _ = platform.Serve(ln) }()
	t.Cleanup(func() { _ = platform.Close() })
	client := New("http://"+ln.Addr().String(), poster.New())
	read := func(want int) {
		t.Helper()
		list, err := client.List()
		require.NoError(t, err)
		assert.Len(t, list, want)
	}
	read(0)
	platform.SetInstance(messenger.ListedInstance{ID: "engine-1", Kind: KindEngine})
	read(1)
	read(1) // not modified
	platform.SetInstance(messenger.ListedInstance{ID: "engine-2", Kind: KindEngine})
	read(2)
}

// TestOddEntryCostsOthersNothing guards against a list that is not read because of one entry.
func TestOddEntryCostsOthersNothing(t *testing.T) {
	const deep = 6000
	body := `{"Instances":[{"ID":"a","Kind":"Engine","Address":"10.0.0.1:80"},7,null,{"ID":3},{"Kind":"Engine"},{"ID":"b","ChecksFencing":1e99},` +
		strings.Repeat(`[`, deep) + strings.Repeat(`]`, deep) + `,{"ID":"c","Kind":"Service","Address":"10.0.0.2:80"}]}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	t.Cleanup(server.Close)
	list, err := New(server.URL, poster.New()).List()
	require.NoError(t, err)
	require.Len(t, list, 2)
	assert.Equal(t, "a", list[0].ID)
	assert.Equal(t, "c", list[1].ID)
}
