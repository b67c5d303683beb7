package listener

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/peer/detector"
	"github.com/crocusring/crocusring/internal/request/deduper"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	locateLife = 10 * time.Second
	// mostAddresses bounds the addresses of a locate answer.
	mostAddresses = 8
	// overloadMargin is how many requests more than the others on average this
	// instance runs before it names another one first.
	overloadMargin = 16
	// otherDataCentreFactor is how much higher the load of an instance counts
	// that is in another data centre.
	otherDataCentreFactor = 1.25
)

// handleLocate tells a caller which addresses to use. It needs no credential:
// addresses are no secret, and a key is worth nothing without one. The key is
// bound to the first instance.
func (l *Listener) handleLocate(ctx *fasthttp.RequestCtx) {
	answer := messenger.LocateAnswer{Addresses: []string{}}
	l.namedMu.Lock()
	now := l.now()
	answer.Deadline = now.Add(locateLife)
	list := l.candidates(now)
	for _, in := range list {
		answer.Addresses = append(answer.Addresses, in.Address)
		l.named[in.ID] = answer.Deadline
	}
	l.namedMu.Unlock()
	if len(list) > 0 {
		answer.Key = deduper.Issue(deduper.Home{Instance: list[0].ID, Incarnation: list[0].Incarnation}, now)
	}
	writeJSON(ctx, answer)
}

// NamedUntil returns when the last locate answer of this instance lapses that
// names an instance.
func (l *Listener) NamedUntil(instance string) time.Time {
	l.namedMu.Lock()
	defer l.namedMu.Unlock()
	return l.named[instance]
}

// candidates returns the instances that take new callers, in the order in which
// to use them.
func (l *Listener) candidates(now time.Time) []*keeper.Instance {
	list := []*keeper.Instance{}
	for id, in := range l.Fleet.View().Instances {
		if id != l.Home.Instance && !in.Leaving && in.Incarnation != "" && detector.Judge(now, in) == detector.Alive {
			list = append(list, in)
		}
	}
	if !l.Leaving() {
		list = append(list, &keeper.Instance{
			ID: l.Home.Instance, Incarnation: l.Home.Incarnation, Address: l.Address,
			DataCentre: l.DataCentre, InFlight: l.InFlight(), HeardAt: now, AliveUntil: now.Add(locateLife),
		})
	}
	return order(now, list, l.Home.Instance, l.DataCentre, rand.Float64)
}

// order sorts instances by how well they suit a caller who asked the instance
// own: own first unless it has much more load than the others, then by load.
// Loads are a heartbeat old, so that random numbers spread callers over the
// instances with little load. One that only peers hear comes last.
func order(now time.Time, list []*keeper.Instance, own, dataCentre string, random func() float64) []*keeper.Instance {
	total := 0
	for _, in := range list {
		total += in.InFlight
	}
	costs := map[string]float64{}
	for _, in := range list {
		mean := float64(total-in.InFlight) / float64(max(1, len(list)-1))
		costs[in.ID] = cost(in, dataCentre) * (0.5 + random())
		isOverloaded := float64(in.InFlight) > mean+overloadMargin
		if in.ID == own && !isOverloaded {
			costs[in.ID] = 0
		}
	}
	slices.SortFunc(list, func(a, b *keeper.Instance) int {
		return cmp.Or(
			cmp.Compare(directness(now, a), directness(now, b)),
			cmp.Compare(costs[a.ID], costs[b.ID]),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return list[:min(len(list), mostAddresses)]
}

func cost(in *keeper.Instance, dataCentre string) float64 {
	load := float64(in.InFlight + 1)
	if in.DataCentre != dataCentre {
		load *= otherDataCentreFactor
	}
	return load
}

// directness is 0 for an instance that was heard directly of late and 1 otherwise.
func directness(now time.Time, in *keeper.Instance) int {
	if detector.IsHeard(now, in) {
		return 0
	}
	return 1
}

// addresses returns where callers may go instead of this instance.
func (l *Listener) addresses() []string {
	list := []string{}
	for _, in := range l.candidates(l.now()) {
		if in.ID != l.Home.Instance {
			list = append(list, in.Address)
		}
	}
	return list
}
