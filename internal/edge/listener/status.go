package listener

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/peer/detector"
	"github.com/crocusring/crocusring/internal/request/deduper"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// handleLocate tells a caller which addresses to use. It needs no credential:
// addresses are no secret, and a key is worth nothing without one.
func (l *Listener) handleLocate(ctx *fasthttp.RequestCtx) {
	now := l.now()
	answer := messenger.LocateAnswer{Addresses: l.addresses(), Deadline: now.Add(locateLife)}
	if !l.Leaving() {
		answer.Key = deduper.Issue(l.Home, now)
	}
	writeJSON(ctx, answer)
}

// addresses returns the addresses of the instances that take new callers, this
// one first, since a key is bound to it, then by load.
func (l *Listener) addresses() []string {
	now := l.now()
	list := []*keeper.Instance{}
	for id, in := range l.Fleet.View().Instances {
		isAlive := id == l.Home.Instance || detector.Judge(now, in) == detector.Alive
		if in.Leaving || !isAlive || (id == l.Home.Instance && l.Leaving()) {
			continue
		}
		list = append(list, in)
	}
	slices.SortFunc(list, func(a, b *keeper.Instance) int {
		return cmp.Or(
			boolRank(a.ID == l.Home.Instance)-boolRank(b.ID == l.Home.Instance),
			cmp.Compare(a.InFlight, b.InFlight),
			cmp.Compare(a.ID, b.ID),
		)
	})
	addresses := make([]string, 0, len(list))
	for _, in := range list {
		addresses = append(addresses, in.Address)
	}
	return addresses
}

func boolRank(first bool) int {
	if first {
		return 0
	}
	return 1
}

func (l *Listener) handleStatus(ctx *fasthttp.RequestCtx) {
	if _, err := l.operator(ctx); err != nil {
		refuse(ctx, "", err)
		return
	}
	writeJSON(ctx, l.Status())
}

func (l *Listener) handleReady(ctx *fasthttp.RequestCtx) {
	if err := l.checkReady(); err != nil {
		refuse(ctx, "", err)
		return
	}
	ctx.SetBodyString("ready\n")
}

func (l *Listener) handleMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	if err := l.Measurer.WriteJSON(ctx.Response.BodyWriter()); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

// checkReady returns why no requests are taken as errNotReady, or nil.
func (l *Listener) checkReady() error {
	if err := l.Ready(); err != nil {
		return errors.Wrap(errNotReady, err.Error())
	}
	return nil
}
