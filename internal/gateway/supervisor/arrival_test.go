package supervisor

import (
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// TestArrivalNamesItsOrigin guards against logs that do not tell by which way a manifest has reached an
// instance, and against lines for manifests that it has already.
func TestArrivalNamesItsOrigin(t *testing.T) {
	lines := []string{}
	s, _ := newReadingInstance(t)
	s.log = funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	s.platform.ManifestTable, s.platform.ManifestKey = "manifests", "config"
	s.platform.Clock = func() (int64, int64, bool) { return 100, 200, true }
	s.platform.Follow = func(string, messenger.StoreVersion, time.Duration) (follower.Changes, error) {
		return follower.Changes{Version: 4, Rows: []messenger.StoreRow{{Key: "config", Version: 4}}}, nil
	}
	for _, from := range []origin{originStoreFeed, originDirect} {
		_, err := s.followStore(from)("manifests", messenger.StoreVersion{Number: 1}, 0)
		require.NoError(t, err)
	}
	require.Len(t, lines, 2)
	assert.Contains(t, lines[0], `"from"="StoreFeed"`)
	assert.Contains(t, lines[1], `"from"="Direct"`)
	s.confirmer.SetApplied(messenger.StoreVersion{Number: 4})
	_, err := s.followStore(originDirect)("manifests", messenger.StoreVersion{Number: 1}, 0)
	require.NoError(t, err)
	assert.Len(t, lines, 2, "it has that manifest")
}
