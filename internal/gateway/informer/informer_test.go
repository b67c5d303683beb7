package informer

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

var errUnreachable = errors.New("peer is unreachable")

// network connects informers by their addresses, which are the names of their instances.
type network struct {
	now         time.Time
	peers       map[string]*Informer
	sends       atomic.Int64
	unreachable map[string]bool
	// dataCentres holds the data centre of each instance that has one.
	dataCentres map[string]string
	holder      string
	leaving     string
}

func (n *network) dataCentreOf(name string) string { return n.dataCentres[name] }

func newNetwork(names ...string) *network {
	n := &network{now: time.Unix(1000, 0), peers: map[string]*Informer{}, unreachable: map[string]bool{}}
	for _, name := range names {
		n.add(name, 1)
	}
	return n
}

func (n *network) add(name string, incarnation int64) {
	status := func(Recipient) messenger.GatewayNews {
		return messenger.GatewayNews{
			Instance: name, Incarnation: incarnation, PeerAddress: name, DataCentre: n.dataCentreOf(name), Ready: true,
			Holder: name == n.holder, Leaving: name == n.leaving,
		}
	}
	send := func(address string, in messenger.GatewayNews, _ time.Time) (messenger.GatewayNews, error) {
		n.sends.Add(1)
		other := n.peers[address]
		if other == nil || n.unreachable[address] || n.unreachable[name] {
			return messenger.GatewayNews{}, errUnreachable
		}
		other.ReceiveStatus(in)
		return other.status(Recipient{}), nil
	}
	i := New(name, n.dataCentreOf(name), Callbacks{Status: status, Send: send, OnReceive: func(messenger.GatewayNews, time.Time) {}}, logr.Discard())
	i.now = func() time.Time { return n.now }
	n.peers[name] = i
}

// sendRound lets each instance send its status, and advances the clock by one interval.
func (n *network) sendRound() {
	for _, i := range n.peers {
		i.SendStatus()
	}
	n.now = n.now.Add(minInterval)
}

func names(peers []Peer) []string {
	out := []string{}
	for _, p := range peers {
		out = append(out, p.LastStatus.Instance)
	}
	return out
}

func TestInstancesFindEachOtherThroughOneSeed(t *testing.T) {
	n := newNetwork("a", "b", "c")
	n.peers["b"].AddAddress("a")
	n.peers["c"].AddAddress("a")
	n.peers["c"].AddAddress("b")
	n.sendRound()
	assert.Equal(t, []string{"b", "c"}, names(n.peers["a"].Peers()))
	assert.Equal(t, []string{"a", "c"}, names(n.peers["b"].Peers()))
	t.Run("of two one sends and the other answers", func(t *testing.T) {
		n.sendRound()
		n.sends.Store(0)
		n.sendRound()
		assert.EqualValues(t, 3, n.sends.Load())
	})
}

func TestSilentInstanceExpiresAndReturns(t *testing.T) {
	n := newNetwork("a", "b")
	n.peers["a"].AddAddress("b")
	n.sendRound()
	require.Len(t, n.peers["b"].Peers(), 1)
	n.unreachable["a"] = true
	for range maxMissedIntervals {
		n.sendRound()
	}
	assert.Empty(t, n.peers["b"].Peers())
	n.unreachable["a"] = false
	n.sendRound()
	assert.Len(t, n.peers["b"].Peers(), 1)
}

func TestOldIncarnationIsIgnored(t *testing.T) {
	n := newNetwork("a")
	a := n.peers["a"]
	a.ReceiveStatus(messenger.GatewayNews{Instance: "b", Incarnation: 5, PeerAddress: "b"})
	a.ReceiveStatus(messenger.GatewayNews{Instance: "b", Incarnation: 4, PeerAddress: "old"})
	assert.EqualValues(t, 5, a.Peers()[0].LastStatus.Incarnation)
	t.Run("its own status is ignored", func(t *testing.T) {
		a.ReceiveStatus(messenger.GatewayNews{Instance: "a", Incarnation: 9})
		assert.Len(t, a.Peers(), 1)
	})
}

// TestStatusThatWasHeldUpIsNotNew guards against the status of a peer that has gone, read late by an instance
// without processor time, and that has the locator name that peer again.
func TestStatusThatWasHeldUpIsNotNew(t *testing.T) {
	n := newNetwork("a", "b")
	a := n.peers["a"]
	a.bootTime = func() time.Time { return n.now }
	const clockOffset = time.Hour
	statusAt := func(incarnation int64, sentAt time.Time) messenger.GatewayNews {
		return messenger.GatewayNews{
			Instance: "b", Incarnation: incarnation, PeerAddress: "b", Ready: true, SentNanoseconds: sentAt.Add(clockOffset).UnixNano(),
		}
	}
	receive := func(after, delay time.Duration, incarnation int64) {
		n.now = n.now.Add(after)
		a.ReceiveStatus(statusAt(incarnation, n.now.Add(-delay)))
	}
	receive(0, 10*time.Millisecond, 1)
	require.Len(t, a.Peers(), 1)
	t.Run("one that was held up for longer than it is valid", func(t *testing.T) {
		receive(2*time.Second, 2*time.Second, 1)
		assert.Empty(t, a.Peers())
	})
	t.Run("one that was held up for less", func(t *testing.T) {
		receive(time.Second, 600*time.Millisecond, 1)
		assert.Len(t, a.Peers(), 1)
	})
	t.Run("the first one of the next incarnation, whose clock is another one", func(t *testing.T) {
		receive(time.Second, 5*time.Hour, 2)
		assert.Len(t, a.Peers(), 1)
	})
}
