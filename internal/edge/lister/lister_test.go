package lister

import (
	"net"
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
