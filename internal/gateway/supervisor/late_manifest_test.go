package supervisor

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// followedStore is the store of an instance that follows the manifest through others. Its first answers are lost.
type followedStore struct {
	began       time.Time
	version     atomic.Int64
	lostAnswers atomic.Int64
}

func (f *followedStore) milliseconds() int64 { return 1000 + time.Since(f.began).Milliseconds() }

func (f *followedStore) row() messenger.StoreRow {
	version := f.version.Load()
	return messenger.StoreRow{Key: "config", Version: version, Value: []byte{byte('0' + version)}}
}

func (f *followedStore) follow(_ string, after messenger.StoreVersion, _ time.Duration) (follower.Changes, error) {
	if f.lostAnswers.Add(-1) >= 0 {
		time.Sleep(700 * time.Millisecond)
		return follower.Changes{}, transactor.ErrUnavailable
	}
	changes := follower.Changes{Version: f.version.Load(), Proof: messenger.GatewayProof{StoreMilliseconds: f.milliseconds()}}
	if f.version.Load() > after.Number {
		changes.Rows = []messenger.StoreRow{f.row()}
	}
	return changes, nil
}

// startFollowing returns an instance without revoked keys that has the first manifest, in a data centre with peers.
func startFollowing(t *testing.T, store *followedStore, peerAddresses ...string) *Supervisor {
	t.Helper()
	s := New(messenger.GatewaySettings{Instance: "a9", DataCentre: "a", Bounds: messenger.GatewayBounds{ApplyMilliseconds: 2000}}, Platform{
		ManifestTable: manifestTable, ManifestKey: "config", DecodeManifest: decodeTestManifest, Follow: store.follow,
		Read: func(string) (messenger.TableSnapshot, error) {
			return messenger.TableSnapshot{}, transactor.ErrUnavailable
		},
		Clock: func() (int64, int64, bool) {
			now := store.milliseconds()
			return now, now + 1, true
		},
	}, logr.Discard())
	store.version.Store(1)
	s.manifests.Adopt(messenger.TableSnapshot{Version: 1, Rows: []messenger.StoreRow{store.row()}, Proof: messenger.GatewayProof{StoreMilliseconds: store.milliseconds() - 5}})
	require.EqualValues(t, 1, s.inForceManifest())
	statuses := []messenger.GatewayNews{}
	for i, address := range peerAddresses {
		statuses = append(statuses, messenger.GatewayNews{Instance: "a" + string(rune('1'+i)), Incarnation: 1, DataCentre: "a", PeerAddress: address, Ready: true})
	}
	receiveStatuses := func() {
		for _, status := range statuses {
			s.informer.ReceiveStatus(status)
		}
	}
	receiveStatuses()
	go every(t.Context(), statusInterval, receiveStatuses)
	return s
}

// TestManifestIsInForceWhateverReadersDo guards against a change that is in force too late since those that read the store
// for an instance hang, where no keys are revoked, and one of its own calls is lost beside.
func TestManifestIsInForceWhateverReadersDo(t *testing.T) {
	store := &followedStore{began: time.Now()}
	store.lostAnswers.Store(1)
	addresses := []string{}
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		addresses = append(addresses, startHungReader(t, name))
	}
	s := startFollowing(t, store, addresses...)
	store.version.Store(2)
	began := time.Now()
	go s.manifests.Run(t.Context())
	go s.confirmRegularly(t.Context())
	for s.inForceManifest() < 2 && time.Since(began) < 5*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Less(t, time.Since(began), applyTime(s.settings.Bounds))
}

// TestManifestOfPeerIsReadWithoutKeys guards against an instance that hears of a newer manifest and does not read it, since
// no keys are revoked.
func TestManifestOfPeerIsReadWithoutKeys(t *testing.T) {
	store := &followedStore{began: time.Now()}
	s := startFollowing(t, store)
	store.version.Store(2)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(messenger.TableSnapshot{Version: 2, Rows: []messenger.StoreRow{store.row()}})
	}))
	t.Cleanup(peer.Close)
	s.receivePeerManifest(messenger.GatewayNews{
		Instance: "a1", PeerAddress: strings.TrimPrefix(peer.URL, "http://"), Proof: messenger.GatewayProof{RowVersion: 2, StoreMilliseconds: store.milliseconds()},
	})
	assert.Eventually(t, func() bool { return s.inForceManifest() == 2 }, time.Second, 5*time.Millisecond)
}

// TestLatenessIsMeasured guards against an instance whose operators do not see that its manifests are late.
func TestLatenessIsMeasured(t *testing.T) {
	store := &followedStore{began: time.Now().Add(-time.Minute)}
	s := startFollowing(t, store)
	store.version.Store(2)
	since := store.milliseconds() - 1500
	require.NoError(t, s.manifests.Confirm(s.followStore(originDirect), s.readStore(originDirect)))
	again := messenger.TableSnapshot{Version: 2, Rows: []messenger.StoreRow{store.row()}}
	store.began = store.began.Add(-time.Minute)
	s.manifests.Adopt(again) // in force already
	store.began = store.began.Add(time.Minute)
	s.receivePeerManifest(messenger.GatewayNews{
		Instance: "a1", Proof: messenger.GatewayProof{RowVersion: 2, StoreMilliseconds: since + 10, SinceStoreMilliseconds: since},
	})
	s.measureLateness(s.lateness.takeDue(time.Now()))
	text := func() string {
		out := &strings.Builder{}
		require.NoError(t, s.measurer.WriteText(out))
		return out.String()
	}
	assert.NotContains(t, text(), "latemilliseconds", "peers may still tell that they have had it earlier")
	s.measureLateness(s.lateness.takeDue(time.Now().Add(latenessSettleTime)))
	assert.Regexp(t, `crocusring_manifest_latemilliseconds\{name="Direct",quantile="0.99"\} 15\d\d`, text())
	s.measureLateness(s.lateness.takeDue(time.Now().Add(latenessSettleTime)))
	assert.Contains(t, text(), `crocusring_manifest_latemilliseconds_count{name="Direct"} 1`, "once")
}
