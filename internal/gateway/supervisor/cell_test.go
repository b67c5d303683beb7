package supervisor

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const targetTable = "targets"

// readerPeer is an instance that reads the store for others.
type readerPeer struct {
	age     time.Duration
	version int64
	isGone  bool
	calls   int
}

func (p *readerPeer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls++
	var out any = messenger.TableSnapshot{Version: p.version, AgeMilliseconds: p.age.Milliseconds()}
	if r.URL.Path == pathChanges {
		if p.isGone {
			w.WriteHeader(http.StatusGone)
			return
		}
		out = messenger.TableChanges{Version: p.version, AgeMilliseconds: p.age.Milliseconds()}
	}
	_ = json.NewEncoder(w).Encode(out)
}

// storeCalls counts the calls to the store.
type storeCalls struct{ reads, follows int }

// newReading returns an instance of a large data centre that others read the store for.
func newReading(t *testing.T, readers ...*readerPeer) (*Supervisor, *storeCalls) {
	t.Helper()
	calls := &storeCalls{}
	s := New(messenger.GatewaySettings{Instance: "a9", DataCentre: "a"}, Platform{
		TargetTable: targetTable,
		Read: func(string) (messenger.TableSnapshot, error) {
			calls.reads++
			return messenger.TableSnapshot{Version: 1}, nil
		},
		Follow: func(string, int64, time.Duration) (follower.Changes, error) {
			calls.follows++
			return follower.Changes{Version: 2}, nil
		},
	}, logr.Discard())
	for i, name := range []string{"a1", "a2", "a3", "a4"} {
		news := messenger.GatewayNews{Instance: name, Incarnation: 1, DataCentre: "a", PeerAddress: name, Ready: true}
		if i < len(readers) {
			server := httptest.NewServer(readers[i])
			t.Cleanup(server.Close)
			news.PeerAddress = strings.TrimPrefix(server.URL, "http://")
		}
		s.informer.Take(news)
	}
	return s, calls
}

// TestStoreIsReadByFew replays what the store met from large systems: all instances at
// once, when the first one's word was old or the history was gone, and for the table of
// instances always, since its changes are rare.
func TestStoreIsReadByFew(t *testing.T) {
	const old = time.Minute
	follow := func(t *testing.T, s *Supervisor, table string, want int64) {
		t.Helper()
		changes, err := s.followTable(table, 1, time.Second)
		require.NoError(t, err)
		assert.Equal(t, want, changes.Version)
	}
	t.Run("through the first one", func(t *testing.T) {
		s, calls := newReading(t, &readerPeer{version: 7}, &readerPeer{version: 8})
		follow(t, s, targetTable, 7)
		assert.Zero(t, *calls)
	})
	t.Run("through the second one when the first one's word is old", func(t *testing.T) {
		s, calls := newReading(t, &readerPeer{version: 7, age: old}, &readerPeer{version: 8})
		follow(t, s, targetTable, 8)
		assert.Zero(t, *calls)
	})
	t.Run("from the store when both are", func(t *testing.T) {
		s, calls := newReading(t, &readerPeer{version: 7, age: old}, &readerPeer{version: 8, age: old})
		follow(t, s, targetTable, 2)
		assert.Equal(t, storeCalls{follows: 1}, *calls)
	})
	t.Run("the table of instances at any age", func(t *testing.T) {
		s, calls := newReading(t, &readerPeer{version: 7, age: old})
		follow(t, s, instanceTable, 7)
		assert.Zero(t, *calls)
	})
	t.Run("a whole table when the history is gone", func(t *testing.T) {
		s, calls := newReading(t, &readerPeer{version: 7, isGone: true}, &readerPeer{version: 8, isGone: true})
		_, err := s.followTable(targetTable, 1, time.Second)
		require.ErrorIs(t, err, follower.ErrHistoryGone)
		table, err := s.readTable(targetTable)
		require.NoError(t, err)
		assert.EqualValues(t, 7, table.Version)
		assert.Zero(t, *calls)
	})
	t.Run("an old whole table is not taken", func(t *testing.T) {
		s, calls := newReading(t, &readerPeer{version: 7, age: old}, &readerPeer{version: 8, age: old})
		_, err := s.readTable(targetTable)
		require.NoError(t, err)
		assert.Equal(t, storeCalls{reads: 1}, *calls)
	})
}

// TestContendersTakeTurns replays a lease without a holder: those of a data centre look
// at it one after the other.
func TestContendersTakeTurns(t *testing.T) {
	s, _ := newReading(t)
	s.targets.Step()
	require.Positive(t, s.targets.Version())
	assert.False(t, s.mayContend(time.Now()))
	assert.True(t, s.mayContend(time.Now().Add(-mostReaders*contendStep)))
}
