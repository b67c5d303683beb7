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
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const targetTable = "targets"

// readerPeer is an instance that reads the store for others.
type readerPeer struct {
	age                time.Duration
	epoch, version     int64
	isHistoryTruncated bool
	// refusals is the number of calls for changes that it refuses before it has read the table.
	refusals int
	calls    int
}

func (p *readerPeer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls++
	var out any = messenger.TableSnapshot{Epoch: p.epoch, Version: p.version, AgeMilliseconds: p.age.Milliseconds()}
	if p.refusals > 0 {
		out = messenger.TableSnapshot{Epoch: p.epoch - 1, Version: p.version, AgeMilliseconds: time.Minute.Milliseconds()}
	}
	if r.URL.Path == pathChanges {
		if p.refusals > 0 {
			p.refusals--
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if p.isHistoryTruncated {
			w.WriteHeader(http.StatusGone)
			return
		}
		out = messenger.TableChanges{Epoch: p.epoch, Version: p.version, AgeMilliseconds: p.age.Milliseconds()}
	}
	_ = json.NewEncoder(w).Encode(out)
}

// storeCalls counts the calls to the store.
type storeCalls struct{ reads, follows int }

// newReadingInstance returns an instance of a large data centre for which readers read
// the store.
func newReadingInstance(t *testing.T, readers ...*readerPeer) (*Supervisor, *storeCalls) {
	t.Helper()
	calls := &storeCalls{}
	s := New(messenger.GatewaySettings{Instance: "a9", DataCentre: "a"}, Platform{
		TargetTable: targetTable,
		Read: func(string) (messenger.TableSnapshot, error) {
			calls.reads++
			return messenger.TableSnapshot{Version: 1}, nil
		},
		Follow: func(string, messenger.StoreVersion, time.Duration) (follower.Changes, error) {
			calls.follows++
			return follower.Changes{Version: 2}, nil
		},
	}, logr.Discard())
	for i, name := range []string{"a1", "a2", "a3", "a4"} {
		status := messenger.GatewayNews{Instance: name, Incarnation: 1, DataCentre: "a", PeerAddress: name, Ready: true}
		if i < len(readers) {
			server := httptest.NewServer(readers[i])
			t.Cleanup(server.Close)
			status.PeerAddress = strings.TrimPrefix(server.URL, "http://")
		}
		s.informer.ReceiveStatus(status)
	}
	return s, calls
}

// TestStoreIsReadByFew guards against many instances of a large system that call the
// store at once. They did so when the first reader's copy was out of date or the history
// of changes was dropped, and always for the table of instances, since it changes rarely.
func TestStoreIsReadByFew(t *testing.T) {
	const old = time.Minute
	follow := func(t *testing.T, s *Supervisor, table string, want int64) {
		t.Helper()
		changes, err := s.followTable(table, messenger.StoreVersion{Number: 1}, time.Second)
		require.NoError(t, err)
		assert.Equal(t, want, changes.Version)
	}
	t.Run("through the first reader", func(t *testing.T) {
		s, calls := newReadingInstance(t, &readerPeer{version: 7}, &readerPeer{version: 8})
		follow(t, s, targetTable, 7)
		assert.Zero(t, *calls)
	})
	t.Run("through the second reader when the first one's copy is out of date", func(t *testing.T) {
		s, calls := newReadingInstance(t, &readerPeer{version: 7, age: old}, &readerPeer{version: 8})
		follow(t, s, targetTable, 8)
		assert.Zero(t, *calls)
	})
	t.Run("from the store when both copies are out of date", func(t *testing.T) {
		s, calls := newReadingInstance(t, &readerPeer{version: 7, age: old}, &readerPeer{version: 8, age: old})
		follow(t, s, targetTable, 2)
		assert.Equal(t, storeCalls{follows: 1}, *calls)
	})
	t.Run("the table of instances from a copy of any age", func(t *testing.T) {
		s, calls := newReadingInstance(t, &readerPeer{version: 7, age: old})
		follow(t, s, instanceTable, 7)
		assert.Zero(t, *calls)
	})
	t.Run("a whole table when the history was dropped", func(t *testing.T) {
		s, calls := newReadingInstance(t, &readerPeer{version: 7, isHistoryTruncated: true}, &readerPeer{version: 8, isHistoryTruncated: true})
		_, err := s.followTable(targetTable, messenger.StoreVersion{Number: 1}, time.Second)
		require.ErrorIs(t, err, follower.ErrHistoryTruncated)
		table, err := s.readTable(targetTable)
		require.NoError(t, err)
		assert.EqualValues(t, 7, table.Version)
		assert.Zero(t, *calls)
	})
	t.Run("a whole table that is out of date is not used", func(t *testing.T) {
		s, calls := newReadingInstance(t, &readerPeer{version: 7, age: old}, &readerPeer{version: 8, age: old})
		_, err := s.readTable(targetTable)
		require.NoError(t, err)
		assert.Equal(t, storeCalls{reads: 1}, *calls)
	})
}

// TestReaderInAnEarlierEpochIsPassedOver guards against an instance that gets no changes since the one that it follows the
// store through has not observed its epoch, or knows none.
func TestReaderInAnEarlierEpochIsPassedOver(t *testing.T) {
	s, calls := newReadingInstance(t, &readerPeer{epoch: 5, version: 90}, &readerPeer{epoch: 6, version: 70})
	s.targets.Adopt(messenger.TableSnapshot{Epoch: 6, Version: 60})
	changes, err := s.followTable(targetTable, s.targets.Version(), time.Second)
	require.NoError(t, err)
	assert.Equal(t, messenger.StoreVersion{Epoch: 6, Number: 70}, changes.StoreVersion())
	table, err := s.readTable(targetTable)
	require.NoError(t, err)
	assert.Equal(t, messenger.StoreVersion{Epoch: 6, Number: 70}, table.StoreVersion())
	assert.Zero(t, *calls)
}

// TestInstanceInAnEarlierEpochTellsSo guards against changes of an earlier epoch for an instance that has observed a later one, and
// against an instance that does not learn of that epoch.
func TestInstanceInAnEarlierEpochTellsSo(t *testing.T) {
	s, _ := newReadingInstance(t)
	asked := make(chan struct{}, 1)
	s.platform.Get = func(string, string) (messenger.Row, error) {
		asked <- struct{}{}
		return messenger.Row{}, nil
	}
	s.targets.Adopt(messenger.TableSnapshot{Epoch: 5, Version: 90})
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI(pathChanges + "?name=" + targetTable + "&epoch=6&after=70&wait=1000")
	s.serveChanges(&ctx)
	assert.Equal(t, http.StatusServiceUnavailable, ctx.Response.StatusCode())
	<-asked
}

// TestCallWithoutAnEpochIsServed guards against an instance of a release without epochs that is told again and again that there
// are no changes since its version, and reads the whole table each time.
func TestCallWithoutAnEpochIsServed(t *testing.T) {
	s, _ := newReadingInstance(t)
	s.targets.Adopt(messenger.TableSnapshot{Epoch: 5, Version: 90})
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI(pathChanges + "?name=" + targetTable + "&after=90&wait=0")
	s.serveChanges(&ctx)
	assert.Equal(t, http.StatusOK, ctx.Response.StatusCode())
}

// TestContendersTakeTurns guards against a lease without a holder that all instances of a
// data centre contend for at once: they must do so one after the other.
func TestContendersTakeTurns(t *testing.T) {
	s, _ := newReadingInstance(t)
	s.targets.Step()
	require.Positive(t, s.targets.Version().Number)
	assert.False(t, s.mayContend(time.Now()))
	assert.True(t, s.mayContend(time.Now().Add(-maxReaders*contendDelay)))
}

// TestTableOfALaterEpochIsReadThroughAReader guards against a read of the whole table from the store by each instance of
// a data centre, since no reader has read it again yet when the store is back.
func TestTableOfALaterEpochIsReadThroughAReader(t *testing.T) {
	for name, x := range map[string]struct {
		readers []*readerPeer
		reads   int
	}{
		"a reader is soon there": {readers: []*readerPeer{{epoch: 6, version: 70, refusals: 3}}},
		"none comes":             {reads: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s, calls := newReadingInstance(t, x.readers...)
			s.targets.Adopt(messenger.TableSnapshot{Epoch: 5, Version: 90})
			s.epochs.current.Store(6)
			began := time.Now()
			_, err := s.readTable(targetTable)
			require.NoError(t, err)
			assert.Equal(t, x.reads, calls.reads)
			assert.Less(t, time.Since(began), 2*maxRereadWait)
		})
	}
}
