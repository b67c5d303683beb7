package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["holder"] = playHolder }

const (
	engineName   = "lehu0a"
	streamPath   = "/stream/"
	adapterCount = 38
	engineCount  = 3
	// demandWidth is how many adapters are asked for at a time.
	demandWidth = 6
	// rounds is how often the planned work and the drill are played at most.
	rounds = 5
)

// playHolder lets the lease on orders change hands by planned work, brings the store back from a copy
// that is older than that, and looks whether two holders give orders with one generation number. Each
// round begins anew, with other processes.
func playHolder(w *world) (bool, error) {
	var lastErr error
	hasRun := false
	for round := range rounds {
		w.record.addf("round %d", round+1)
		isBroken, err := w.playHolderRound()
		switch {
		case isBroken:
			return true, nil
		case err != nil:
			w.record.addf("the round could not run: %v", err)
			lastErr = err
		default:
			hasRun = true
		}
	}
	if hasRun {
		return false, nil
	}
	return false, lastErr
}

// playHolderRound plays one round from the start of all processes to their end.
func (w *world) playHolderRound() (bool, error) {
	defer w.clear()
	engines, err := w.startEngines(engineCount, adapterCount)
	if err != nil {
		return false, err
	}
	defer func() {
		for _, r := range engines {
			r.close()
		}
	}()
	c := w.newClients()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	demand := &demand{}
	for _, i := range w.instances {
		go every(ctx, 100*time.Millisecond, func() {
			c.send(http.MethodPost, i, streamPath+"x", demand.model(), 8*time.Second)
		})
	}
	if err := w.playRound(engines, demand); err != nil {
		return false, err
	}
	return w.judgeHolders(engines), nil
}

// demand is which adapters clients ask for. It moves on as in model_shift.
type demand struct {
	first atomic.Int64
}

func (d *demand) shift(w *world) {
	first := d.first.Add(demandWidth)
	w.record.addf("clients ask for %d other adapters, from a%d", demandWidth, 1+first%adapterCount)
}

// model returns the model and adapter that the next request asks for.
func (d *demand) model() string {
	return fmt.Sprintf("%s/a%d", baseModel, 1+(d.first.Load()+rand.Int64N(demandWidth))%adapterCount)
}

// startEngines starts a store, a service of model engines and four instances.
func (w *world) startEngines(count, adapters int) ([]*replica, error) {
	var err error
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	w.store.put(tableOperator, "config", manifestText(4, streamRoute("r-stream", streamPath, engineName), engineService(engineName, adapters)))
	engines := []*replica{}
	zones := []string{"nl-west-a", "nl-west-b", "nl-west-c"}
	for n := range count {
		r, err := w.newReplica(fmt.Sprintf("i-engine-%d", n+1), engineName, zones[n%len(zones)], true)
		if err != nil {
			return nil, err
		}
		engines = append(engines, r)
	}
	if err := w.addInstances("nl-west-a", "nl-west-a", "nl-west-b", "nl-west-c"); err != nil {
		return nil, err
	}
	return engines, w.startAll()
}

// playRound stops the holder in a planned way and starts it again. Once the next holder has given
// orders, the store goes away and comes back from a copy made right before the stop.
func (w *world) playRound(engines []*replica, demand *demand) error {
	const (
		// settle is how long the replicas need to write their entries.
		settle = 2500 * time.Millisecond
		away   = 2 * time.Second
		// handover is when the next holder may give orders.
		handover = leaseTime + 700*time.Millisecond
		// shiftAfter is when the demand moves on after the store is back, and then again.
		shiftAfter = time.Second
		shifts     = 3
		// beforeStop is how much earlier than the stop the copy was made.
		beforeStop = 200 * time.Millisecond
		observed   = 8 * time.Second
	)
	first, err := w.shiftUntilOrders(engines, demand, "", time.Now())
	if err != nil {
		return err
	}
	time.Sleep(settle)
	holder := w.instanceNamed(first.Holder)
	if holder == nil {
		return errors.New("orders of an unknown holder")
	}
	stopped := time.Now()
	w.record.addf("planned work: SIGTERM to %s, the holder with generation number %d; lease: %s", holder.name, first.Fence, w.store.leaseText())
	restarted := make(chan error, 1)
	go func() { restarted <- holder.stopAndStart(500 * time.Millisecond) }()
	time.Sleep(handover)
	next, err := w.shiftUntilOrders(engines, demand, holder.name, stopped)
	if err != nil {
		return err
	}
	time.Sleep(settle)
	w.record.addf("%s gives orders with generation number %d; lease: %s", next.Holder, next.Fence, w.store.leaseText())
	back := w.drill(away, stopped.Add(-beforeStop))
	w.record.addf("lease: %s", w.store.leaseText())
	for range shifts {
		time.Sleep(shiftAfter)
		demand.shift(w)
	}
	time.Sleep(time.Until(back.Add(observed)))
	w.record.addf("lease: %s", w.store.leaseText())
	return <-restarted
}

func (w *world) instanceNamed(name string) *instance {
	for _, i := range w.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

var errNoOrders = errors.New("no orders are given")

// shiftUntilOrders moves the demand on until an order of a holder other than one was accepted later
// than a moment, and returns that order.
func (w *world) shiftUntilOrders(engines []*replica, demand *demand, other string, since time.Time) (order, error) {
	const (
		shifts   = 8
		interval = 1200 * time.Millisecond
	)
	for range shifts {
		demand.shift(w)
		for end := time.Now().Add(interval); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if o, ok := firstOrder(engines, other, since); ok {
				return o, nil
			}
		}
	}
	return order{}, errNoOrders
}

// firstOrder returns an order of a holder other than one that was accepted later than a moment.
func firstOrder(engines []*replica, other string, since time.Time) (order, bool) {
	for _, r := range engines {
		for _, o := range r.takenOrders() {
			if o.at.After(since) && o.Holder != other && isAccepted(o) {
				return o, true
			}
		}
	}
	return order{}, false
}

func isAccepted(o order) bool { return o.status == http.StatusAccepted || o.status == http.StatusOK }

// judgeHolders reports whether a replica has accepted orders of two holders with one generation
// number.
func (w *world) judgeHolders(engines []*replica) bool {
	isBroken := false
	for _, r := range engines {
		last := map[int64]order{}
		counts := map[string]int{}
		for _, o := range r.takenOrders() {
			if !isAccepted(o) {
				continue
			}
			counts[fmt.Sprintf("%s with generation number %d", o.Holder, o.Fence)]++
			before, ok := last[o.Fence]
			if ok && before.Holder != o.Holder {
				isBroken = true
				w.record.addf("replica %s accepted an order of %s at %.3f and one of %s at %.3f, %.3f s later, both with generation number %d",
					r.id, before.Holder, w.record.seconds(before.at), o.Holder, w.record.seconds(o.at), o.at.Sub(before.at).Seconds(), o.Fence)
			}
			last[o.Fence] = o
		}
		for who, n := range counts {
			w.record.addf("replica %s accepted %d orders of %s", r.id, n, who)
		}
	}
	return isBroken
}
