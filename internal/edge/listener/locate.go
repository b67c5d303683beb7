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
	// locateTTL is how long callers may use a locate answer, and how long after its end
	// they may request the answer to a keyed request again.
	locateTTL = 10 * time.Second
	// maxLocateAddresses limits the addresses of a locate answer.
	maxLocateAddresses = 8
	// overloadMargin is by how many requests in flight this instance must exceed the
	// mean of the others before it names another one first.
	overloadMargin = 16
	// otherDataCentreFactor multiplies the load of an instance in another data centre
	// when candidates are compared.
	otherDataCentreFactor = 1.25
)

// handleLocate answers with the addresses that a caller should use and a request key
// whose home is the first of them. It needs no credential: addresses are not secret,
// and a key cannot be used without a credential.
func (l *Listener) handleLocate(ctx *fasthttp.RequestCtx) {
	answer := messenger.LocateAnswer{Addresses: []string{}}
	l.locatedMu.Lock()
	now := l.now()
	answer.Deadline = now.Add(locateTTL)
	list := l.candidates(now)
	for _, in := range list {
		answer.Addresses = append(answer.Addresses, in.Address)
		l.locatedUntil[in.ID] = answer.Deadline
	}
	l.locatedMu.Unlock()
	if len(list) > 0 {
		answer.Key = deduper.Issue(deduper.Home{Instance: list[0].ID, Incarnation: list[0].Incarnation}, now)
	}
	writeJSON(ctx, answer)
}

// LocatedUntil returns when the last locate answer of this instance that names the given
// instance expires.
func (l *Listener) LocatedUntil(instance string) time.Time {
	l.locatedMu.Lock()
	defer l.locatedMu.Unlock()
	return l.locatedUntil[instance]
}

// candidates returns the instances that accept new callers, best first.
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
			DataCentre: l.DataCentre, InFlight: l.InFlight(), HeartbeatAt: now, AliveUntil: now.Add(locateTTL),
		})
	}
	return sortCandidates(now, list, l.Home.Instance, l.DataCentre, rand.Float64)
}

// sortCandidates sorts instances for a locate answer of the instance own and returns the
// first ones: own first unless its load is much higher than that of the others, then
// by load. Loads are as old as the last heartbeat; random factors keep all callers from
// being sent to the same instance with little load. Instances whose heartbeats reach
// only peers come last.
func sortCandidates(now time.Time, list []*keeper.Instance, own, dataCentre string, random func() float64) []*keeper.Instance {
	total := 0
	for _, in := range list {
		total += in.InFlight
	}
	costs := map[string]float64{}
	for _, in := range list {
		mean := float64(total-in.InFlight) / float64(max(1, len(list)-1))
		costs[in.ID] = weightedLoad(in, dataCentre) * (0.5 + random())
		isOverloaded := float64(in.InFlight) > mean+overloadMargin
		if in.ID == own && !isOverloaded {
			costs[in.ID] = 0
		}
	}
	slices.SortFunc(list, func(a, b *keeper.Instance) int {
		return cmp.Or(
			cmp.Compare(directRank(now, a), directRank(now, b)),
			cmp.Compare(costs[a.ID], costs[b.ID]),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return list[:min(len(list), maxLocateAddresses)]
}

func weightedLoad(in *keeper.Instance, dataCentre string) float64 {
	load := float64(in.InFlight + 1)
	if in.DataCentre != dataCentre {
		load *= otherDataCentreFactor
	}
	return load
}

// directRank is 0 for an instance whose heartbeats this instance received recently, and 1
// otherwise.
func directRank(now time.Time, in *keeper.Instance) int {
	if detector.HasRecentHeartbeat(now, in) {
		return 0
	}
	return 1
}

// addresses returns the addresses of other instances that callers may use
// instead of this one.
func (l *Listener) addresses() []string {
	list := []string{}
	for _, in := range l.candidates(l.now()) {
		if in.ID != l.Home.Instance {
			list = append(list, in.Address)
		}
	}
	return list
}
