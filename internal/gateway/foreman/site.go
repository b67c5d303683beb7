package foreman

import (
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/placer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// site is what the holder knows of a target beyond the target table. What it counts
// as held, together with the table, is never less than what the target holds after
// the orders that it has accepted by the number in orders: a decision that fits
// beside the one is safe at the other. Requests that were refused for want of a model
// or an adapter say nothing here, since they may be older than its load.
type site struct {
	turn sync.Mutex // held while an order is given
	// orders is the number of accepted orders; -1 if it must be asked for.
	orders int64
	born   int64
	// learned counts how often the target told of more than what was counted.
	learned int
	// acceptedAt is when the target took the latest order.
	acceptedAt time.Time
	// open is the load or unload of a model that is being carried out or whose fate
	// is not known; nil if there is none.
	open *openOrder
	// coming are the adapters and models that may be there without the table telling.
	coming map[placer.AdapterKey]*arrival
	// going are the adapters that are being unloaded, which take a place until then.
	going map[placer.AdapterKey]*departure
	// unloaded are the adapters that are gone though the table may still tell of them,
	// each with the deadline after which it is believed.
	unloaded map[placer.AdapterKey]time.Time
	// next is the model that is to be loaded once open, an unload, is done.
	next string
	// restsUntil is the deadline until which a target that could not be reached
	// gets no orders.
	restsUntil time.Time
}

// openOrder is an order whose effect the target table does not show yet.
type openOrder struct {
	order Order
	// until is the deadline after which it is taken for not carried out.
	until time.Time
	// shown tells that the target table has told of the model, so that its silence says
	// that the model is gone.
	shown bool
	// serves is when the model that is loaded, by it or after it, is expected to serve.
	serves time.Time
}

// arrival is a load whose effect the target table does not show yet.
type arrival struct {
	// until is the deadline after which it is taken for not carried out.
	until time.Time
	// isBack tells that the table may still tell of an earlier stay, which ended just
	// before: its word counts once it has left that out.
	isBack bool
}

// departure is the unload of an adapter that a request may still use.
type departure struct {
	until time.Time
	// shown tells that the target table has told of the adapter, so that its silence
	// says that the adapter is gone.
	shown bool
}

// decision is what an order was decided on.
type decision struct {
	target *registrar.Target
	site   *site
	// learned is that of the site at the time.
	learned int
}

// site returns what is known of a target. What is known of a later incarnation stays for
// one who still sees an earlier one. It is called with the lock held.
func (f *Foreman) site(t *registrar.Target) *site {
	s := f.sites[t.ID]
	if s == nil || s.born < t.Born {
		s = &site{
			orders: -1, born: t.Born, coming: map[placer.AdapterKey]*arrival{},
			going: map[placer.AdapterKey]*departure{}, unloaded: map[placer.AdapterKey]time.Time{},
		}
		f.sites[t.ID] = s
	}
	return s
}

// decide returns the ground of an order that is decided now. It is called with the
// lock held.
func (f *Foreman) decide(t *registrar.Target) decision {
	s := f.site(t)
	return decision{target: t, site: s, learned: s.learned}
}

// learn takes what a target tells that was not counted, and returns it.
func (s *site) learn(t *registrar.Target, state State, now time.Time) []placer.AdapterKey {
	told := append([]placer.AdapterKey(nil), state.Coming...)
	for _, h := range state.Holdings {
		told = append(told, placer.AdapterKey{Model: h.Model})
		for _, adapter := range h.Adapters {
			told = append(told, placer.AdapterKey{Model: h.Model, Adapter: adapter})
		}
	}
	news := []placer.AdapterKey{}
	for _, h := range told {
		if !s.counts(t, h) {
			s.coming[h] = &arrival{until: now.Add(openLife)}
			news = append(news, h)
		}
	}
	if len(news) > 0 {
		s.learned++
	}
	return news
}

// counts reports whether an adapter or a model is among what the target may hold.
func (s *site) counts(t *registrar.Target, h placer.AdapterKey) bool {
	if _, ok := s.coming[h]; ok {
		return true
	}
	if _, ok := s.going[h]; ok {
		return true
	}
	if _, ok := s.unloaded[h]; ok {
		return false
	}
	isOpen := s.open != nil && s.open.order.Model == h.Model
	return isHeld(t, h) || (h.Adapter == "" && (isOpen || s.next == h.Model))
}

// isHeld reports whether the target table tells of an adapter, or of a model where
// none is named.
func isHeld(t *registrar.Target, h placer.AdapterKey) bool {
	held, ok := t.Holding(h.Model)
	return ok && (h.Adapter == "" || held.Has(h.Adapter))
}

// extend keeps an order that was accepted open until its effect shows.
func (s *site) extend(order Order, until time.Time) {
	h := placer.AdapterKey{Model: order.Model, Adapter: order.Adapter}
	switch {
	case order.Adapter == "":
		if s.open != nil && s.open.order.Model == order.Model {
			s.open.until = until
		}
		if !order.IsUnload {
			s.arrive(h, until)
		}
	case order.IsUnload:
		if gone := s.going[h]; gone != nil {
			gone.until = until
		}
	default:
		s.arrive(h, until)
	}
}

// arrive counts an adapter or a model as there until the table tells of it or a deadline
// has passed.
func (s *site) arrive(h placer.AdapterKey, until time.Time) {
	a := s.coming[h]
	if a == nil {
		a = &arrival{}
		s.coming[h] = a
	}
	if _, isBack := s.unloaded[h]; isBack {
		a.isBack = true
		delete(s.unloaded, h)
	}
	a.until = until
}

// beginTerm takes note of a new right to give orders: others may have given orders
// since the one before, so that what was under way is no ground for more.
func (s *site) beginTerm() {
	s.orders = -1
	clear(s.unloaded)
	if s.open != nil && !s.open.order.IsUnload {
		s.arrive(placer.AdapterKey{Model: s.open.order.Model}, s.open.until)
	}
	s.open = nil
	s.next = ""
}

// settle forgets what the target table shows by now, and what is past its deadline.
func (s *site) settle(t *registrar.Target, now time.Time) {
	for h, gone := range s.going {
		held := isHeld(t, h)
		gone.shown = gone.shown || held
		if (gone.shown && !held) || now.After(gone.until) {
			delete(s.going, h)
		}
	}
	for h, a := range s.coming {
		held := isHeld(t, h)
		if (held && !a.isBack) || now.After(a.until) {
			delete(s.coming, h)
		}
		a.isBack = a.isBack && held
	}
	for h, until := range s.unloaded {
		if !isHeld(t, h) || now.After(until) {
			delete(s.unloaded, h)
		}
	}
	s.settleOpen(t, now)
}

func (s *site) settleOpen(t *registrar.Target, now time.Time) {
	if s.open == nil {
		return
	}
	_, held := t.Holding(s.open.order.Model)
	s.open.shown = s.open.shown || held
	isDone := held
	if s.open.order.IsUnload {
		isDone = s.open.shown && !held
	}
	if !isDone && now.Before(s.open.until) {
		return
	}
	if !isDone || !s.open.order.IsUnload {
		s.next = ""
	}
	s.open = nil
}

// siteState returns a target with what its open orders may still do: a load counts
// as done, and an unload as not done. It is called with the lock held.
func (f *Foreman) siteState(t *registrar.Target, overlays []balancer.Overlay) *placer.Site {
	out := &placer.Site{
		Target: t, Models: map[string]bool{}, Adapters: map[string][]string{},
		Moving: map[placer.AdapterKey]bool{}, InFlight: f.balancer.TotalInFlight(t.ID),
	}
	s := f.site(t)
	for _, h := range t.Holdings {
		out.Models[h.Model] = true
		for _, adapter := range h.Adapters {
			if _, gone := s.unloaded[placer.AdapterKey{Model: h.Model, Adapter: adapter}]; !gone {
				addHeld(out, placer.AdapterKey{Model: h.Model, Adapter: adapter})
			}
		}
	}
	for _, o := range overlays {
		if o.Held {
			addHeld(out, placer.AdapterKey{Model: o.Model, Adapter: o.Adapter})
		}
	}
	for h := range s.coming {
		addHeld(out, h)
		out.Moving[h] = true
	}
	for h := range s.going {
		addHeld(out, h)
		out.Moving[h] = true
	}
	if s.open != nil {
		out.Models[s.open.order.Model] = true
		if s.open.order.IsUnload {
			out.Closing = s.open.order.Model
		}
	}
	if s.next != "" {
		out.Models[s.next] = true
	}
	out.Resting = f.now().Before(s.restsUntil) || f.balancer.IsResting(t.ID)
	out.Busy = out.Resting || s.open != nil || s.next != ""
	return out
}

// addHeld counts an adapter, or a model where none is named.
func addHeld(site *placer.Site, h placer.AdapterKey) {
	if h.Adapter == "" {
		site.Models[h.Model] = true
		return
	}
	site.Adapters[h.Model] = append(without(site.Adapters[h.Model], h.Adapter), h.Adapter)
}

func without(names []string, name string) []string {
	out := make([]string, 0, len(names)+1)
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}
