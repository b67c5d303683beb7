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
	largeDataCentres   = 3
	largePerDataCentre = 30
	largeInstances     = largeDataCentres * largePerDataCentre
	largeWarmUp        = 2 * time.Second
	largeDuration      = 12 * time.Second
	largeClockStep     = 25 * time.Millisecond
)

// largeNetwork is a system of many instances in several data centres that have each
// other's addresses. Each sends its status when that is due.
type largeNetwork struct {
	*network
	sendDue map[string]time.Time

	mu sync.Mutex
	// expiresAt holds the expiry of the last status that each instance received, by the
	// names of the receiver and the sender.
	expiresAt map[[2]string]time.Time
	// holderReceivedAt is when each instance last received the status of the holder of
	// the lease on orders.
	holderReceivedAt map[string]time.Time
}

func newLargeNetwork(holder string) *largeNetwork {
	l := &largeNetwork{
		network: newNetwork(), sendDue: map[string]time.Time{}, expiresAt: map[[2]string]time.Time{}, holderReceivedAt: map[string]time.Time{},
	}
	l.dataCentres, l.holder = map[string]string{}, holder
	for c := range largeDataCentres {
		for k := range largePerDataCentre {
			l.dataCentres[fmt.Sprintf("c%d-%02d", c, k)] = fmt.Sprintf("c%d", c)
		}
	}
	for name := range l.dataCentres {
		l.add(name, 1)
		l.peers[name].onReceive = func(status messenger.GatewayNews, expiresAt time.Time) { l.record(name, status, expiresAt) }
		for other := range l.dataCentres {
			l.peers[name].AddAddress(other)
		}
	}
	return l
}

func (l *largeNetwork) record(name string, status messenger.GatewayNews, expiresAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expiresAt[[2]string{name, status.Instance}] = expiresAt
	if status.Holder {
		l.holderReceivedAt[name] = l.now
	}
}

// step lets the instances whose status is due send it, and advances the clock.
func (l *largeNetwork) step() {
	for name, i := range l.peers {
		if !l.now.Before(l.sendDue[name]) {
			i.SendStatus()
			l.sendDue[name] = l.now.Add(i.Interval())
		}
	}
	l.now = l.now.Add(largeClockStep)
}

// TestPeersOfLargeSystem guards against a status that expires before the next one arrives
// in a system of many instances: the load that the others see would then alternate. One
// of the instances holds the lease on orders; its status must reach all peers as often as
// those of their own data centre.
func TestPeersOfLargeSystem(t *testing.T) {
	l := newLargeNetwork("c1-17")
	start := l.now
	for l.now.Sub(start) < largeWarmUp {
		l.step()
	}
	l.sends.Store(0)
	for l.now.Sub(start) < largeDuration {
		l.step()
		for pair, expiresAt := range l.expiresAt {
			if !l.now.Before(expiresAt) {
				require.Failf(t, "status expired", "%s dropped the status of %s", pair[0], pair[1])
			}
		}
		for name, at := range l.holderReceivedAt {
			require.Less(t, l.now.Sub(at), 2*l.peers[name].Interval(), "%s must receive the holder's status as often as that of local peers", name)
		}
	}
	assert.Len(t, l.expiresAt, largeInstances*(largeInstances-1))
	perSecond := float64(l.sends.Load()) / largeInstances / (largeDuration - largeWarmUp).Seconds()
	assert.Less(t, perSecond, 1/intervalPerPeer.Seconds(), "status messages that an instance sends per second")
}

// TestLeavingReachesAllAtOnce guards against a planned stop in a large system that some
// instances learn of late: the locators of the others must no longer return the address
// of the instance that leaves.
func TestLeavingReachesAllAtOnce(t *testing.T) {
	l := newLargeNetwork("c1-17")
	start := l.now
	for l.now.Sub(start) < largeWarmUp {
		l.step()
	}
	l.leaving = "c2-29"
	l.peers[l.leaving].SendStatus()
	for name, i := range l.peers {
		for _, peer := range i.Peers() {
			assert.Equal(t, peer.LastStatus.Instance == l.leaving, peer.LastStatus.Leaving, "%s of %s", name, peer.LastStatus.Instance)
		}
	}
}
