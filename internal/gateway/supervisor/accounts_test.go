package supervisor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

func TestReadsOfNewerManifestsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("a peer that names versions that do not exist leaves room for others", func(t *testing.T) {
		p := newPeerFetches()
		reads := map[string]int{}
		for range 100 {
			for _, peer := range []string{"odd", "sound"} {
				if p.begin(peer, now) {
					reads[peer]++
					p.end(peer, peer == "sound")
				}
			}
			now = now.Add(fetchInterval / 2)
		}
		assert.LessOrEqual(t, reads["odd"], 1+int(100*fetchInterval/2/peerFetchInterval))
		assert.Greater(t, reads["sound"], 40)
	})
	t.Run("a read that hangs does not hold up the next one", func(t *testing.T) {
		p := newPeerFetches()
		assert.True(t, p.begin("hangs", now))
		assert.False(t, p.begin("sound", now), "the interval has not passed")
		now = now.Add(fetchInterval)
		assert.False(t, p.begin("hangs", now))
		assert.True(t, p.begin("sound", now))
		now = now.Add(fetchInterval)
		assert.False(t, p.begin("third", now), "two reads are open")
	})
}

func TestWhichInstancesAreLocated(t *testing.T) {
	peer := func(name string, isUnconfirmed bool) informer.Peer {
		return informer.Peer{LastStatus: messenger.GatewayNews{Instance: name, IsUnconfirmed: isUnconfirmed}}
	}
	for _, c := range []struct {
		name                   string
		isReady, isUnconfirmed bool
		peers                  []informer.Peer
		isListed               bool
		listed                 int
	}{
		{name: "all confirmed", isReady: true, peers: []informer.Peer{peer("a", false)}, isListed: true, listed: 1},
		{name: "a peer unconfirmed", isReady: true, peers: []informer.Peer{peer("a", true), peer("b", false)}, isListed: true, listed: 1},
		{name: "this one unconfirmed", isReady: true, isUnconfirmed: true, peers: []informer.Peer{peer("a", false)}, listed: 1},
		{name: "none confirmed", isReady: true, isUnconfirmed: true, peers: []informer.Peer{peer("a", true)}, isListed: true, listed: 1},
		{name: "the only other one not ready here", peers: []informer.Peer{peer("a", true)}, listed: 1},
		{name: "alone", isReady: true, isUnconfirmed: true, isListed: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			isListed, peers := omitUnconfirmed(c.isReady, c.isUnconfirmed, c.peers)
			assert.Equal(t, c.isListed, isListed)
			assert.Len(t, peers, c.listed)
		})
	}
}
