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

// receiveTimeout is how long a test waits for a datagram, and silenceTime how long none
// may arrive.
const (
	receiveTimeout = 5 * time.Second
	silenceTime    = 3 * sumInterval
)

// socket receives the datagrams that are sent to a peer.
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

// receive returns the next load that arrives within a time; false if none does.
func (s *socket) receive(t *testing.T, within time.Duration) (messenger.GatewayLoad, bool) {
	t.Helper()
	require.NoError(t, s.conn.SetReadDeadline(time.Now().Add(within)))
	buffer := make([]byte, maxDatagramBytes)
	n, _, err := s.conn.ReadFromUDP(buffer)
	if err != nil {
		return messenger.GatewayLoad{}, false
	}
	var load messenger.GatewayLoad
	require.NoError(t, json.Unmarshal(buffer[:n], &load))
	return load, true
}

// newInstance returns an instance of data centre a that has four peers there and five in
// data centre b. local and remote are the sockets of the first peer in each.
func newInstance(t *testing.T) (s *Supervisor, local, remote *socket) {
	t.Helper()
	s = New(messenger.GatewaySettings{Instance: "a1", DataCentre: "a"}, Platform{}, logr.Discard())
	local, remote = newSocket(t), newSocket(t)
	s.loadConn = newSocket(t).conn
	silent := newSocket(t)
	for name, at := range map[string]*socket{
		"a2": local, "a3": silent, "a4": silent, "a5": silent, "b1": remote, "b2": silent, "b3": silent, "b4": silent, "b5": silent,
	} {
		s.informer.ReceiveStatus(peerStatus(name, at))
	}
	return s, local, remote
}

func peerStatus(name string, at *socket) messenger.GatewayNews {
	return messenger.GatewayNews{
		Instance: name, Incarnation: 1, DataCentre: name[:1], PeerAddress: name, LoadAddress: at.address(), Ready: true,
	}
}

// TestDataCentreSendsOneSum guards against messages between data centres that grow with
// the square of the number of instances: another data centre must receive one sum of the
// loads of all instances, and only through its first instances.
func TestDataCentreSendsOneSum(t *testing.T) {
	s, local, remote := newInstance(t)
	until := time.Now().Add(time.Minute)
	s.balancer.SetPeerLoads("a2", 1, 1, map[string]balancer.Load{"t": {InFlight: 3, Pending: 40}}, until)
	s.balancer.SetPeerLoads("a3", 1, 1, map[string]balancer.Load{"t": {InFlight: 2}, "u": {InFlight: 1}}, until)
	s.balancer.SetPeerLoads("b4", 1, 1, map[string]balancer.Load{"t": {InFlight: 7}}, until)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		s.sendSums(ctx)
		close(done)
	}()
	first, ok := remote.receive(t, receiveTimeout)
	require.True(t, ok)
	assert.Equal(t, "a", first.DataCentre)
	assert.True(t, first.IsWhole, "the first sum is whole")
	assert.Equal(t, messenger.GatewayLoadTargets{"t": {InFlight: 5, Pending: 40}, "u": {InFlight: 1}}, first.Targets)
	t.Run("then the changed targets", func(t *testing.T) {
		s.balancer.SetPeerLoads("a3", 1, 2, map[string]balancer.Load{"u": {}}, time.Time{})
		next, ok := remote.receive(t, receiveTimeout)
		require.True(t, ok)
		want := messenger.GatewayLoadTargets{"u": {}}
		if next.IsWhole { // the change came just before a whole sum
			want = messenger.GatewayLoadTargets{"t": {InFlight: 5, Pending: 40}}
		}
		assert.Equal(t, want, next.Targets)
	})
	cancel()
	<-done
	_, isSent := local.receive(t, silenceTime)
	assert.False(t, isSent, "the own data centre receives the load of each instance, not the sum")
}

// sumOfB returns a sum that data centre b sends.
func sumOfB() messenger.GatewayLoad {
	return messenger.GatewayLoad{
		Instance: "b1", DataCentre: "b", Incarnation: 1, Sequence: 1, IsWhole: true,
		Targets: messenger.GatewayLoadTargets{"t": {InFlight: 4}},
	}
}

// assertPassedOn checks that a peer receives a sum marked as passed on.
func assertPassedOn(t *testing.T, sum messenger.GatewayLoad, at *socket) {
	t.Helper()
	got, ok := at.receive(t, receiveTimeout)
	require.True(t, ok)
	sum.IsPassedOn = true
	assert.Equal(t, sum, got)
}

func TestSumOfAnotherDataCentreIsPassedOn(t *testing.T) {
	s, local, _ := newInstance(t)
	sum := sumOfB()
	s.handleDatagram(sum)
	assert.Equal(t, 4, s.balancer.TotalInFlight("t"))
	assertPassedOn(t, sum, local)
	t.Run("only once, also while two instances act as representative", func(t *testing.T) {
		passed := sum
		passed.IsPassedOn = true
		s.handleDatagram(passed)
		_, ok := local.receive(t, silenceTime)
		assert.False(t, ok)
	})
	t.Run("only by the representative", func(t *testing.T) {
		s.informer.ReceiveStatus(peerStatus("a0", local))
		s.handleDatagram(sum)
		_, ok := local.receive(t, silenceTime)
		assert.False(t, ok)
	})
}

// TestSumReachesSmallDataCentre guards against a small data centre, without a cell, that
// drops the sums of a large one: its representative must pass a sum on to its peer.
func TestSumReachesSmallDataCentre(t *testing.T) {
	s := New(messenger.GatewaySettings{Instance: "c1", DataCentre: "c"}, Platform{}, logr.Discard())
	s.loadConn = newSocket(t).conn
	local := newSocket(t)
	s.informer.ReceiveStatus(peerStatus("c2", local))
	sum := sumOfB()
	s.handleDatagram(sum)
	assertPassedOn(t, sum, local)
}

// TestSilentRepresentativeIsReplaced guards against a frozen instance that keeps acting
// for its data centre: the next one must take over before the frozen one expires.
func TestSilentRepresentativeIsReplaced(t *testing.T) {
	s, _, _ := newInstance(t)
	s.informer.ReceiveStatus(peerStatus("a0", newSocket(t)))
	assert.False(t, s.isRepresentative(s.cell()))
	frozenAt := time.Now()
	require.Eventually(t, func() bool { return s.isRepresentative(s.cell()) }, time.Second, time.Millisecond)
	assert.Less(t, time.Since(frozenAt), time.Second)
}
