package supervisor

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// hearTimeout is how long a test waits for a datagram, and quietTime how long none may come.
const (
	hearTimeout = 5 * time.Second
	quietTime   = 3 * sumInterval
)

// socket is where a peer takes datagrams.
type socket struct {
	conn *net.UDPConn
}

func newSocket(t *testing.T) *socket {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &socket{conn: conn}
}

func (s *socket) address() string { return s.conn.LocalAddr().String() }

// hear returns the next load that comes within a time; false if none does.
func (s *socket) hear(t *testing.T, within time.Duration) (messenger.GatewayLoad, bool) {
	t.Helper()
	require.NoError(t, s.conn.SetReadDeadline(time.Now().Add(within)))
	buffer := make([]byte, maxDatagram)
	n, _, err := s.conn.ReadFromUDP(buffer)
	if err != nil {
		return messenger.GatewayLoad{}, false
	}
	var load messenger.GatewayLoad
	require.NoError(t, json.Unmarshal(buffer[:n], &load))
	return load, true
}

// newInstance returns an instance of data centre a that knows four more instances there
// and five of data centre b, with the sockets of the first of each by name.
func newInstance(t *testing.T) (s *Supervisor, near, far *socket) {
	t.Helper()
	s = New(messenger.GatewaySettings{Instance: "a1", DataCentre: "a"}, Platform{}, logr.Discard())
	near, far = newSocket(t), newSocket(t)
	s.loads = newSocket(t).conn
	silent := newSocket(t)
	for name, at := range map[string]*socket{
		"a2": near, "a3": silent, "a4": silent, "a5": silent, "b1": far, "b2": silent, "b3": silent, "b4": silent, "b5": silent,
	} {
		s.informer.Take(peerNews(name, at))
	}
	return s, near, far
}

func peerNews(name string, at *socket) messenger.GatewayNews {
	return messenger.GatewayNews{
		Instance: name, Incarnation: 1, DataCentre: name[:1], PeerAddress: name, LoadAddress: at.address(), Ready: true,
	}
}

// TestDataCentreTellsOneSum replays loads of a large system: another data centre hears
// of all instances together, and each instance there through the first one.
func TestDataCentreTellsOneSum(t *testing.T) {
	s, near, far := newInstance(t)
	until := time.Now().Add(time.Minute)
	s.balancer.SetPeer("a2", 1, 1, map[string]balancer.Load{"t": {InFlight: 3, Pending: 40}}, until)
	s.balancer.SetPeer("a3", 1, 1, map[string]balancer.Load{"t": {InFlight: 2}, "u": {InFlight: 1}}, until)
	s.balancer.SetPeer("b4", 1, 1, map[string]balancer.Load{"t": {InFlight: 7}}, until)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		s.relayLoads(ctx)
		close(done)
	}()
	first, ok := far.hear(t, hearTimeout)
	require.True(t, ok)
	assert.Equal(t, "a", first.DataCentre)
	assert.True(t, first.IsWhole, "the first sum tells all")
	assert.Equal(t, messenger.GatewayLoadTargets{"t": {InFlight: 5, Pending: 40}, "u": {InFlight: 1}}, first.Targets)
	t.Run("then what changes", func(t *testing.T) {
		s.balancer.SetPeer("a3", 1, 2, map[string]balancer.Load{"u": {}}, time.Time{})
		next, ok := far.hear(t, hearTimeout)
		require.True(t, ok)
		want := messenger.GatewayLoadTargets{"u": {}}
		if next.IsWhole { // the change came just before a whole sum
			want = messenger.GatewayLoadTargets{"t": {InFlight: 5, Pending: 40}}
		}
		assert.Equal(t, want, next.Targets)
	})
	cancel()
	<-done
	_, isTold := near.hear(t, quietTime)
	assert.False(t, isTold, "the own data centre hears of each instance by itself")
}

// sumOfB returns the sum that data centre b tells.
func sumOfB() messenger.GatewayLoad {
	return messenger.GatewayLoad{
		Instance: "b1", DataCentre: "b", Incarnation: 1, Sequence: 1, IsWhole: true,
		Targets: messenger.GatewayLoadTargets{"t": {InFlight: 4}},
	}
}

// assertPassedOn checks that a sum comes to a peer, marked as passed on.
func assertPassedOn(t *testing.T, sum messenger.GatewayLoad, at *socket) {
	t.Helper()
	heard, ok := at.hear(t, hearTimeout)
	require.True(t, ok)
	sum.IsPassedOn = true
	assert.Equal(t, sum, heard)
}

func TestSumOfAnotherDataCentreIsPassedOn(t *testing.T) {
	s, near, _ := newInstance(t)
	sum := sumOfB()
	s.takeDatagram(sum)
	assert.Equal(t, 4, s.balancer.TotalInFlight("t"))
	assertPassedOn(t, sum, near)
	t.Run("once, also while two take themselves for the first", func(t *testing.T) {
		passed := sum
		passed.IsPassedOn = true
		s.takeDatagram(passed)
		_, ok := near.hear(t, quietTime)
		assert.False(t, ok)
	})
	t.Run("by the first instance alone", func(t *testing.T) {
		s.informer.Take(peerNews("a0", near))
		s.takeDatagram(sum)
		_, ok := near.hear(t, quietTime)
		assert.False(t, ok)
	})
}

// TestSumReachesAFewInstances replays a large data centre beside a small one: a sum that
// comes to the first instance of that is passed on to its one peer.
func TestSumReachesAFewInstances(t *testing.T) {
	s := New(messenger.GatewaySettings{Instance: "c1", DataCentre: "c"}, Platform{}, logr.Discard())
	s.loads = newSocket(t).conn
	near := newSocket(t)
	s.informer.Take(peerNews("c2", near))
	sum := sumOfB()
	s.takeDatagram(sum)
	assertPassedOn(t, sum, near)
}

// TestSilentFirstInstanceIsPassedOver replays the freeze of the instance that acts for
// its data centre: the next one takes over before it counts as gone.
func TestSilentFirstInstanceIsPassedOver(t *testing.T) {
	s, _, _ := newInstance(t)
	s.informer.Take(peerNews("a0", newSocket(t)))
	assert.False(t, s.isFirst(s.cell()))
	frozen := time.Now()
	require.Eventually(t, func() bool { return s.isFirst(s.cell()) }, time.Second, time.Millisecond)
	assert.Less(t, time.Since(frozen), time.Second)
}
