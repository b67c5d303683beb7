package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// poisonBody is the body of the request that crashes each replica that begins to run it.
const poisonBody = "poison: the same path, caller and body each time"

const (
	poisonInterval = 4 * time.Second
	replicaDown    = 2 * time.Second
	maxRetries     = 3
)

var zones = []string{"a", "a", "b", "c"}

func poisonCall() call {
	return call{
		method: "POST", path: streamPath + "2f", model: "m0", usage: "1460,171", prefix: "5c1e07a2:350,77aa01:1110", body: poisonBody,
		budget: 15 * time.Second, patience: 2400 * time.Millisecond,
	}
}

// poisoned is a site on which a request crashes replicas.
type poisoned struct {
	*site
	mu      sync.Mutex
	arrived []time.Time
	ordinal int
}

func newPoisoned(program string, rec *record, isDark bool) (*poisoned, error) {
	s, err := newSite(program, rec, zones)
	if err != nil {
		return nil, err
	}
	p := &poisoned{site: s}
	for i := range 8 {
		r, err := startReplica(fmt.Sprintf("lm%d", i+1), replicaConfig{
			Service: engineService, Zone: zones[i%len(zones)], Slots: 32, Models: []string{"m0"}, Events: 20, Pause: 20 * time.Millisecond,
			Crashes: func(body string) (crashPoint, bool) { return midAnswer, strings.HasPrefix(body, poisonBody) },
			Down:    replicaDown, IsDark: isDark,
		}, s.store, rec, p.observe)
		if err != nil {
			return nil, err
		}
		s.replicas = append(s.replicas, r)
	}
	return p, nil
}

// observe counts the runs of the request that crashes replicas.
func (p *poisoned) observe(r run) {
	if !r.IsCrash {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrived = append(p.arrived, r.At)
}

// sendPoison has the request come again, at another instance each time, and returns its answer.
func (p *poisoned) sendPoison() answer {
	g := p.gateways[p.ordinal%len(p.gateways)]
	p.ordinal++
	p.record.add("the client sends the poison request to %s", g.name)
	a := send(g.front, poisonCall())
	p.record.add("the client's poison request %s ends: %s", a.id, a)
	return a
}

// sendOthers sends ordinary requests, all different, until done is closed.
func (p *poisoned) sendOthers(done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		g := p.gateways[n%len(p.gateways)]
		go func() {
			c := poisonCall()
			c.body = fmt.Sprintf("ordinary request %d", n)
			c.prefix = fmt.Sprintf("5c1e07a2:350,%x:1110", 0x900000+n)
			a := send(g.front, c)
			p.record.add("ordinary request %s at %s ends: %s", a.id, g.name, a)
		}()
	}
}

// retries returns how many runs of the request began later than contactTime after the third, those
// from excluded on and before included left out: machines were not in touch then.
func (p *poisoned) retries(notInTouchFrom, inTouchFrom time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for i, at := range p.arrived {
		isOut := !at.Before(notInTouchFrom) && at.Before(inTouchFrom)
		if i >= 3 && at.After(p.arrived[2].Add(contactTime)) && !isOut {
			n++
		}
	}
	return n
}

// restartCase: a request that crashes replicas is refused in the end; then the processes of all
// instances are killed at once and start again, and the request comes again.
func restartCase(program string, rec *record, isTroubled bool) int {
	p, err := newPoisoned(program, rec, false)
	if err != nil {
		return notRun(rec, err.Error())
	}
	defer p.close()
	if !p.startGateways() {
		return notRun(rec, "instances are not ready")
	}
	done := make(chan struct{})
	defer close(done)
	go p.sendOthers(done)
	time.Sleep(2 * contactTime)
	isRefused := false
	for range 8 {
		if a := p.sendPoison(); a.status == 400 {
			isRefused = true
			break
		}
		time.Sleep(poisonInterval)
	}
	if !isRefused {
		rec.add("the poison request was never refused before the disruption")
	}
	var killedAt, inTouchFrom time.Time
	if isTroubled {
		killedAt = time.Now()
		rec.add("all instances are killed")
		killAll(p.gateways)
		time.Sleep(500 * time.Millisecond)
		if !p.startGateways() {
			return notRun(rec, "instances are not ready again")
		}
		inTouchFrom = time.Now().Add(contactTime)
	}
	time.Sleep(contactTime + poisonInterval)
	for range 7 {
		p.sendPoison()
		time.Sleep(poisonInterval)
	}
	n := p.retries(killedAt, inTouchFrom)
	return verdict(rec, n > maxRetries, "%d runs of the request reached replicas later than %v after it had crashed the third, allowed are %d",
		n, contactTime, maxRetries)
}

// darkCase: a request crashes replicas, whose machines go dark with them.
func darkCase(program string, rec *record, isTroubled bool) int {
	p, err := newPoisoned(program, rec, isTroubled)
	if err != nil {
		return notRun(rec, err.Error())
	}
	defer p.close()
	if !p.startGateways() {
		return notRun(rec, "instances are not ready")
	}
	done := make(chan struct{})
	defer close(done)
	go p.sendOthers(done)
	time.Sleep(2 * contactTime)
	for range 12 {
		p.sendPoison()
		time.Sleep(poisonInterval)
	}
	n := p.retries(time.Time{}, time.Time{})
	return verdict(rec, n > maxRetries, "%d runs of the request reached replicas later than %v after it had crashed the third, allowed are %d",
		n, contactTime, maxRetries)
}
