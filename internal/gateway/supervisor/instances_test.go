package supervisor

import (
	"encoding/json"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// TestRowOfThisInstanceIsWrittenAgain guards against an instance that no other one finds, since the store came back
// without its row, and against one that returns although it leaves or was replaced.
func TestRowOfThisInstanceIsWrittenAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		// incarnation is that of the row relative to this one.
		incarnation          int64
		isMissing, isLeaving bool
		writes               int
	}{
		{name: "missing", isMissing: true, writes: 1},
		{name: "there"},
		{name: "of the process before", incarnation: -1, writes: 1},
		{name: "of a later process", incarnation: 1},
		{name: "missing while it leaves", isMissing: true, isLeaving: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			row, writes := messenger.Row{}, 0
			s := New(messenger.GatewaySettings{Instance: "a"}, Platform{
				Get: func(_, _ string) (messenger.Row, error) { return row, nil },
				Transact: func(messenger.TransactRequest) (messenger.StoreVersion, error) {
					writes++
					return messenger.StoreVersion{}, nil
				},
			}, logr.Discard())
			if !c.isMissing {
				value, err := json.Marshal(messenger.GatewayInstance{Instance: "a", Incarnation: s.incarnation + c.incarnation})
				require.NoError(t, err)
				row = messenger.Row{Version: 7, Value: value}
			}
			s.leaving.Store(c.isLeaving)
			require.NoError(t, s.rewriteRow())
			assert.Equal(t, c.writes, writes)
		})
	}
}
