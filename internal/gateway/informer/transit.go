package informer

import (
	"time"

	"github.com/crocusring/crocusring/internal/node/timekeeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// transit is what is known of the times that the statuses of a peer are on their way. Its clock and the
// local one cannot be compared; but the status whose difference between both is the least was on its way
// for the shortest time, and the others are late by what their differences are greater.
type transit struct {
	incarnation int64
	least       time.Duration
	leastAt     time.Time
}

// delayOf returns how much longer a status was on its way than the fastest one of the peer; 0 for a status
// that does not say when it was sent. It may have waited at this instance itself. The caller holds i.mu.
func (i *Informer) delayOf(status messenger.GatewayNews) time.Duration {
	if status.SentNanoseconds <= 0 {
		return 0
	}
	now := i.bootTime()
	difference := now.Sub(time.Unix(0, status.SentNanoseconds))
	known := i.transits[status.Instance]
	if known != nil && known.incarnation > status.Incarnation {
		return 0 // of an earlier incarnation, whose clock may be another one
	}
	if known == nil || known.incarnation < status.Incarnation {
		i.transits[status.Instance] = &transit{incarnation: status.Incarnation, least: difference, leastAt: now}
		return 0
	}
	least := known.least + timekeeper.MaxDrift(now.Sub(known.leastAt))
	if difference <= least {
		known.least, known.leastAt = difference, now
		return 0
	}
	return difference - least
}
