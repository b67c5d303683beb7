package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryMB is memoryMb of the smaller machines of the site.
	memoryMB = 414
	// bursts is how often many clients come at once, and burstClients how many to each instance.
	bursts       = 8
	burstClients = 64
	memoryCheck  = 20 * time.Millisecond
	// usualBodyBytes is the size of the bodies of a streaming route on the sheet.
	usualBodyBytes = 2900
	// endsAllowed is one less than the ends of a process that the rule counts.
	endsAllowed = 2
)

// residentMB returns the memory of a process, in MB.
func (g *gateway) residentMB() int {
	g.mu.Lock()
	pid := g.command.Process.Pid
	g.mu.Unlock()
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb * 1024 / 1_000_000
		}
	}
	return 0
}

// watchMemory does what the platform does with a process that exceeds its memory: it kills it, and
// starts it again after a short delay.
func (s *site) watchMemory(g *gateway, done <-chan struct{}) {
	most := 0
	for {
		select {
		case <-done:
			s.record.add("instance %s used %d MB at most", g.name, most)
			return
		case <-time.After(memoryCheck):
		}
		used := g.residentMB()
		most = max(most, used)
		if used <= memoryMB {
			continue
		}
		s.record.add("instance %s uses %d MB of %d and is killed", g.name, used, memoryMB)
		g.mu.Lock()
		g.ends++
		g.mu.Unlock()
		g.kill()
		time.Sleep(500 * time.Millisecond)
		if err := g.start(); err != nil {
			s.record.add("instance %s cannot be started: %v", g.name, err)
			return
		}
	}
}

// memoryCase: many clients come at once, with the longest bodies that the manifest allows.
func memoryCase(program string, rec *record, isTroubled bool) int {
	s, err := newSite(program, rec, []string{"a", "b"})
	if err != nil {
		return notRun(rec, err.Error())
	}
	defer s.close()
	for i := range 6 {
		r, err := startReplica(fmt.Sprintf("lm%d", i+1), replicaConfig{
			Service: engineService, Zone: "a", Slots: 32, Models: []string{"m0"}, Events: 57, Pause: 40 * time.Millisecond, Down: replicaDown,
		}, s.store, rec, func(run) {})
		if err != nil {
			return notRun(rec, err.Error())
		}
		s.replicas = append(s.replicas, r)
	}
	if !s.startGateways() {
		return notRun(rec, "instances are not ready")
	}
	done := make(chan struct{})
	var watchers sync.WaitGroup
	for _, g := range s.gateways {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			s.watchMemory(g, done)
		}()
	}
	time.Sleep(2 * contactTime)
	length := usualBodyBytes
	if isTroubled {
		length = maxBodyBytes
	}
	body := strings.Repeat("x", length)
	lost := 0
	for range bursts {
		lost += s.burst(body)
		time.Sleep(contactTime)
		for range 50 { // an instance that was killed is started again meanwhile
			if awaitReady(s.gateways, 10*time.Second) {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(contactTime)
	}
	close(done)
	watchers.Wait()
	machines := 0
	for _, g := range s.gateways {
		if g.ends > endsAllowed {
			machines++
		}
	}
	return verdict(rec, machines >= 2, "the processes of %d of %d machines ended %d times or more, over their memory; %d requests were lost with them",
		machines, len(s.gateways), endsAllowed+1, lost)
}

// burst has clients send at once, and returns how many requests ended without a whole answer.
func (s *site) burst(body string) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for _, g := range s.gateways {
		for n := range burstClients {
			group.Add(1)
			go func() {
				defer group.Done()
				c := poisonCall()
				c.prefix = fmt.Sprintf("5c1e07a2:350,%x:1110", 0x700000+n)
				c.body, c.patience = body, 0
				a := send(g.front, c)
				s.record.add("request %s with %d bytes at %s ends: %s", a.id, len(body), g.name, a)
				mu.Lock()
				defer mu.Unlock()
				if !a.isWhole {
					lost++
				}
			}()
		}
	}
	group.Wait()
	return lost
}
