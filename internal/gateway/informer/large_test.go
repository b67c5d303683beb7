package informer

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	largeCentres    = 3
	largePerCentre  = 30
	largeSize       = largeCentres * largePerCentre
	largeStartTime  = 2 * time.Second
	largeLength     = 12 * time.Second
	largeClockSteps = 25 * time.Millisecond
)

// large is a system of many instances in several data centres that know each other's
// addresses. Each tells its news when that is due.
type large struct {
	*network
	due map[string]time.Time

	mu sync.Mutex
	// until holds the deadlines of what each was told, by its name and the teller's.
	until map[[2]string]time.Time
	// holderAt is when each heard of the holder of the lease last.
	holderAt map[string]time.Time
}

func newLarge(holder string) *large {
	l := &large{
		network: newNetwork(), due: map[string]time.Time{}, until: map[[2]string]time.Time{}, holderAt: map[string]time.Time{},
	}
	l.centres, l.holder = map[string]string{}, holder
	for c := range largeCentres {
		for k := range largePerCentre {
			l.centres[fmt.Sprintf("c%d-%02d", c, k)] = fmt.Sprintf("c%d", c)
		}
	}
	for name := range l.centres {
		l.add(name, 1)
		l.peers[name].heard = func(news messenger.GatewayNews, until time.Time) { l.note(name, news, until) }
		for other := range l.centres {
			l.peers[name].AddAddress(other)
		}
	}
	return l
}

func (l *large) note(name string, news messenger.GatewayNews, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until[[2]string{name, news.Instance}] = until
	if news.Holder {
		l.holderAt[name] = l.now
	}
}

// step lets those tell whose time it is, and moves the time on.
func (l *large) step() {
	for name, i := range l.peers {
		if !l.now.Before(l.due[name]) {
			i.Tell()
			l.due[name] = l.now.Add(i.Interval())
		}
	}
	l.now = l.now.Add(largeClockSteps)
}

// TestPeersOfALargeSystem replays the news of many instances, one of which holds the
// lease. What a peer told must count until its next news: else the load that others
// see comes and goes.
func TestPeersOfALargeSystem(t *testing.T) {
	l := newLarge("c1-17")
	start := l.now
	for l.now.Sub(start) < largeStartTime {
		l.step()
	}
	l.sends.Store(0)
	for l.now.Sub(start) < largeLength {
		l.step()
		for pair, until := range l.until {
			if !l.now.Before(until) {
				require.Failf(t, "news lapsed", "%s no longer counts what %s told", pair[0], pair[1])
			}
		}
		for name, at := range l.holderAt {
			require.Less(t, l.now.Sub(at), 2*l.peers[name].Interval(), "%s hears the holder as often as near peers", name)
		}
	}
	assert.Len(t, l.until, largeSize*(largeSize-1))
	perSecond := float64(l.sends.Load()) / largeSize / (largeLength - largeStartTime).Seconds()
	assert.Less(t, perSecond, 1/intervalPerPeer.Seconds(), "sends of an instance a second")
}

// TestLeavingIsToldToAllAtOnce replays the planned stop of an instance of a large system:
// the locators of all others must no longer name it.
func TestLeavingIsToldToAllAtOnce(t *testing.T) {
	l := newLarge("c1-17")
	start := l.now
	for l.now.Sub(start) < largeStartTime {
		l.step()
	}
	l.leaving = "c2-29"
	l.peers[l.leaving].Tell()
	for name, i := range l.peers {
		for _, peer := range i.Peers() {
			assert.Equal(t, peer.News.Instance == l.leaving, peer.News.Leaving, "%s of %s", name, peer.News.Instance)
		}
	}
}
