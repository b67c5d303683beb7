package balancer

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// maxHedgeUtilisation is the share of the slots of a service in use above which it is short of
// room for second runs of requests.
const maxHedgeUtilisation = 0.7

// ErrShort is an ErrFull for second runs only: the service as a whole is short of room.
var ErrShort = errors.Wrap(ErrFull, "too little room for a second run")

// isShort reports whether so many slots of a service are in use that it takes no second runs.
// Targets that take no requests count as in use. The lock must be held.
func (b *Balancer) isShort(view *registrar.View, service string, now time.Time) bool {
	inUse, all := 0, 0
	targets := view.TargetsOf(service)
	typical := b.typicalHealth(targets, now)
	full := &FullError{}
	for _, t := range targets {
		slots := max(t.Slots, 1)
		all += slots
		if _, _, isAccepting := b.acceptance(t, typical, now, full); t.Leaving || !isAccepting {
			inUse += slots
			continue
		}
		inUse += b.totalLoad(t.ID, now).InFlight
	}
	return float64(inUse) > maxHedgeUtilisation*float64(all)
}
