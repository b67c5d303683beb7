package supervisor

import (
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	manifestTable  = "manifests"
	statusInterval = 200 * time.Millisecond
)

// startHungReader starts the peer interface of an instance that has read the manifest's table once and
// whose calls to the store hang since, and returns its address.
func startHungReader(t *testing.T, name string) string {
	t.Helper()
	s := New(messenger.GatewaySettings{Instance: name, DataCentre: "a"}, Platform{
		ManifestTable: manifestTable,
		Read:          func(string) (messenger.TableSnapshot, error) { return messenger.TableSnapshot{Version: 1}, nil },
		Follow: func(string, messenger.StoreVersion, time.Duration) (follower.Changes, error) {
			<-t.Context().Done()
			return follower.Changes{}, t.Context().Err()
		},
	}, logr.Discard())
	require.True(t, s.manifests.Step())
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: s.servePeer}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

// TestChangeBehindHungReadersIsInForce guards against an instance that follows the manifest through others
// whose calls to the store hang, and that has a change later than it must be in force.
func TestChangeBehindHungReadersIsInForce(t *testing.T) {
	const applyBound, newVersion = 3 * time.Second, 2
	s := New(messenger.GatewaySettings{Instance: "a9", DataCentre: "a"}, Platform{
		ManifestTable: manifestTable,
		Read: func(string) (messenger.TableSnapshot, error) {
			return messenger.TableSnapshot{Version: newVersion}, nil
		},
		Follow: func(string, messenger.StoreVersion, time.Duration) (follower.Changes, error) {
			return follower.Changes{Version: newVersion}, nil
		},
	}, logr.Discard())
	statuses := []messenger.GatewayNews{}
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		statuses = append(statuses, messenger.GatewayNews{
			Instance: name, Incarnation: 1, DataCentre: "a", PeerAddress: startHungReader(t, name), Ready: true,
		})
	}
	receiveStatuses := func() {
		for _, status := range statuses {
			s.informer.ReceiveStatus(status)
		}
	}
	receiveStatuses()
	go every(t.Context(), statusInterval, receiveStatuses)
	began := time.Now() // the change is acknowledged right after the readers' last answers
	for s.manifests.Version().Number < newVersion && time.Since(began) < 2*applyBound {
		s.manifests.Step()
	}
	assert.Less(t, time.Since(began), applyBound)
}
