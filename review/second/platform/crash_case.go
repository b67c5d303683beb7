package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

func init() { cases["crash"] = playCrash }

const (
	crashReplicas = 5
	// crashSends is how often the client sends the request that crashes replicas, and crashInterval
	// the time between two sends.
	crashSends    = 30
	crashInterval = 2 * time.Second
	// allowedRetries is how many retries may reach replicas once the request has crashed three.
	allowedRetries = 3
	// crashBody is the body of that request.
	crashBody = "a body that must " + crashText
)

// playCrash sends a request that crashes the replicas that run it again and again, with the same path,
// caller and body, to one instance after another. Without trouble its query stays the same as well.
func playCrash(w *world) (bool, error) {
	replicas, err := w.startOrders()
	if err != nil {
		return false, err
	}
	c := w.newClients()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, i := range w.instances {
		go every(ctx, 100*time.Millisecond, func() { c.send(http.MethodPost, i, keptPath+"x?attempt=1", "", 3*time.Second) })
	}
	const calm = 5 * time.Second
	time.Sleep(calm)
	for n := range crashSends {
		attempt := 1
		if w.hasTrouble {
			attempt += n
		}
		path := fmt.Sprintf("%sjob?attempt=%d", keptPath, attempt)
		c.sendBody(http.MethodPost, w.instances[n%len(w.instances)], path, "", crashBody, 3*time.Second)
		time.Sleep(crashInterval)
	}
	return w.judgeCrashes(replicas), nil
}

// startOrders starts a store, a plain service with an unsafe route and four instances.
func (w *world) startOrders() ([]*replica, error) {
	var err error
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	route := strings.Replace(plainRoute("r-order", keptPath, deskA), `"safe"`, `"unsafe"`, 1)
	w.store.put(tableOperator, "config", manifestText(4, route, plainService(deskA)))
	zones := []string{"nl-west-a", "nl-west-b", "nl-west-c"}
	replicas := []*replica{}
	for n := range crashReplicas {
		r, err := w.newReplica(fmt.Sprintf("i-desk-%d", n+1), deskA, zones[n%len(zones)], false)
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
	}
	if err := w.addInstances("nl-west-a", "nl-west-a", "nl-west-b", "nl-west-c"); err != nil {
		return nil, err
	}
	return replicas, w.startAll()
}

// judgeCrashes reports whether the request reached replicas in more than allowedRetries retries later
// than contactTime after it had crashed the third. Each run of it crashes its replica.
func (w *world) judgeCrashes(replicas []*replica) bool {
	crashes := []time.Time{}
	for _, r := range replicas {
		r.mu.Lock()
		crashes = append(crashes, r.crashes...)
		r.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for _, at := range crashes {
		if len(crashes) > 2 && at.After(crashes[2].Add(contactTime)) {
			late++
		}
	}
	w.record.addf("the request has crashed replicas %d times, %d of them later than %v after the third", len(crashes), late, contactTime)
	return late > allowedRetries
}
