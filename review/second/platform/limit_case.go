package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["limit"] = playLimit }

const (
	// reportLag is how old the values of a report are, and callTime how long a replica takes to answer
	// an order or a question for its state.
	reportLag = 200 * time.Millisecond
	callTime  = 40 * time.Millisecond
	// longestStream is the largest number of events of a stream.
	longestStream = 20
	// limitEngines and limitAdapters are the numbers of replicas and of adapters.
	limitEngines  = 6
	limitAdapters = 76
	// usualAdapters is how many adapters clients ask for outside of a burst: all of them have places.
	usualAdapters = 12
	// burstTime is how long a burst lasts, and burstInterval the time from one to the next.
	burstTime     = 4500 * time.Millisecond
	burstInterval = 6500 * time.Millisecond
	// usualInterval is the time between two requests to an instance, and burstRequests how many are
	// sent in a burst in place of ten.
	usualInterval = 90 * time.Millisecond
	burstRequests = 17
)

// playLimit lets clients ask for rare adapters at once, again and again, and looks whether a replica
// is ordered to hold more than it has places for.
func playLimit(w *world) (bool, error) {
	engines, err := w.startEngines(limitEngines, limitAdapters)
	if err != nil {
		return false, err
	}
	for _, r := range engines {
		r.mu.Lock()
		r.reportLag, r.callTime, r.longest = reportLag, callTime, longestStream
		r.mu.Unlock()
	}
	c := w.newClients()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	began := time.Now()
	for _, i := range w.instances {
		send := func(adapters int) {
			c.send(http.MethodPost, i, streamPath+"x", fmt.Sprintf("%s/a%d", baseModel, 1+rand.IntN(adapters)), 8*time.Second)
		}
		isBurst := func() bool { return w.hasTrouble && time.Since(began)%burstInterval > burstInterval-burstTime }
		go every(ctx, usualInterval, func() {
			if !isBurst() {
				send(usualAdapters)
			}
		})
		go every(ctx, usualInterval*10/burstRequests, func() {
			if isBurst() {
				send(limitAdapters)
			}
		})
	}
	const (
		checks   = 10
		interval = 10 * time.Second
	)
	for range checks {
		time.Sleep(interval)
		if w.judgeLimit(engines) {
			return true, nil
		}
	}
	return false, nil
}

// judgeLimit reports whether a replica was ordered to hold more adapters than it has places for.
func (w *world) judgeLimit(engines []*replica) bool {
	total := 0
	for _, r := range engines {
		r.mu.Lock()
		w.record.addf("replica %s: %d orders, %d of them for more adapters than it has places for", r.id, len(r.orders), r.overfilled)
		total += r.overfilled
		r.mu.Unlock()
	}
	return total > 0
}
