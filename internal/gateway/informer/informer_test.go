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

var errAway = errors.New("peer is away")

// network connects informers by their addresses, which are their names.
type network struct {
	now   time.Time
	peers map[string]*Informer
	sends atomic.Int64
	away  map[string]bool
	// centres holds the data centres of those that are not in the usual one.
	centres map[string]string
	holder  string
	leaving string
}

func (n *network) centreOf(name string) string { return n.centres[name] }

func newNetwork(names ...string) *network {
	n := &network{now: time.Unix(1000, 0), peers: map[string]*Informer{}, away: map[string]bool{}}
	for _, name := range names {
		n.add(name, 1)
	}
	return n
}

func (n *network) add(name string, incarnation int64) {
	news := func(Audience) messenger.GatewayNews {
		return messenger.GatewayNews{
			Instance: name, Incarnation: incarnation, PeerAddress: name, DataCentre: n.centreOf(name), Ready: true,
			Holder: name == n.holder, Leaving: name == n.leaving,
		}
	}
	send := func(address string, in messenger.GatewayNews, _ time.Time) (messenger.GatewayNews, error) {
		n.sends.Add(1)
		other := n.peers[address]
		if other == nil || n.away[address] || n.away[name] {
			return messenger.GatewayNews{}, errAway
		}
		other.Take(in)
		return other.news(Audience{}), nil
	}
	i := New(name, n.centreOf(name), Calls{News: news, Send: send, Heard: func(messenger.GatewayNews, time.Time) {}}, logr.Discard())
	i.now = func() time.Time { return n.now }
	n.peers[name] = i
}

// round lets all tell and moves the time by an interval.
func (n *network) round() {
	for _, i := range n.peers {
		i.Tell()
	}
	n.now = n.now.Add(leastInterval)
}

func names(peers []Peer) []string {
	out := []string{}
	for _, p := range peers {
		out = append(out, p.News.Instance)
	}
	return out
}

func TestInstancesFindEachOtherThroughOneSeed(t *testing.T) {
	n := newNetwork("a", "b", "c")
	n.peers["b"].AddAddress("a")
	n.peers["c"].AddAddress("a")
	n.peers["c"].AddAddress("b")
	n.round()
	assert.Equal(t, []string{"b", "c"}, names(n.peers["a"].Peers()))
	assert.Equal(t, []string{"a", "c"}, names(n.peers["b"].Peers()))
	t.Run("of two one sends and the other answers", func(t *testing.T) {
		n.round()
		n.sends.Store(0)
		n.round()
		assert.EqualValues(t, 3, n.sends.Load())
	})
}

func TestSilentInstanceIsGoneAndReturns(t *testing.T) {
	n := newNetwork("a", "b")
	n.peers["a"].AddAddress("b")
	n.round()
	require.Len(t, n.peers["b"].Peers(), 1)
	n.away["a"] = true
	for range missedNews {
		n.round()
	}
	assert.Empty(t, n.peers["b"].Peers())
	n.away["a"] = false
	n.round()
	assert.Len(t, n.peers["b"].Peers(), 1)
}

func TestOldIncarnationIsNotTaken(t *testing.T) {
	n := newNetwork("a")
	a := n.peers["a"]
	a.Take(messenger.GatewayNews{Instance: "b", Incarnation: 5, PeerAddress: "b"})
	a.Take(messenger.GatewayNews{Instance: "b", Incarnation: 4, PeerAddress: "old"})
	assert.EqualValues(t, 5, a.Peers()[0].News.Incarnation)
	t.Run("its own news come back", func(t *testing.T) {
		a.Take(messenger.GatewayNews{Instance: "a", Incarnation: 9})
		assert.Len(t, a.Peers(), 1)
	})
}
