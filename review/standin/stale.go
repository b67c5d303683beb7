package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	drainTime = 2 * time.Second
	// lateWrite is how long a write of the replica is held back by the store that does not answer it.
	lateWrite = 5200 * time.Millisecond
	// upTime is how long the replica is up again when it begins to leave.
	upTime = 800 * time.Millisecond
	// leavingTime is how long a replica goes on to serve after its entry says that it leaves.
	leavingTime = 8 * time.Second
	stalePause  = 60 * time.Millisecond
)

// arrival is a request that reached a replica.
type arrival struct {
	id string
	at time.Time
}

// leaver is a replica of a plain service that keeps its ID over a restart.
type leaver struct {
	id      string
	address string
	site    *site

	mu        sync.Mutex
	isUp      bool
	isLeaving bool
	born      int64
	beats     int64
	arrivals  []arrival
	server    *http.Server
}

func (l *leaver) start(ln net.Listener) {
	l.mu.Lock()
	l.isUp, l.isLeaving, l.beats, l.born = true, false, 0, time.Now().UnixMilli()
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve)}
	server := l.server
	l.mu.Unlock()
	l.site.record.add("replica %s starts, born %d", l.id, l.born)
	l.write(l.entry())
	go func() { _ = server.Serve(ln) }()
}

// entry counts a heartbeat and returns the entry.
func (l *leaver) entry() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beats++
	state := "ready"
	if l.isLeaving {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{
		"service": plainService, "address": l.address, "zone": "a", "version": "v1", "slots": 6, "state": state, "coldRemainingMs": 0,
		"sequence": l.beats, "born": l.born,
	})
	return entry
}

func (l *leaver) write(entry []byte) { l.site.store.put("servers", l.id, entry) }

func (l *leaver) beat() {
	for {
		time.Sleep(heartbeat)
		l.mu.Lock()
		isUp := l.isUp
		l.mu.Unlock()
		if isUp {
			l.write(l.entry())
		}
	}
}

func (l *leaver) serve(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != l.id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	l.mu.Lock()
	l.arrivals = append(l.arrivals, arrival{q.Header.Get("X-Request-Id"), time.Now()})
	l.mu.Unlock()
	time.Sleep(stalePause)
	l.mu.Lock()
	if l.isLeaving {
		w.Header().Set("Server-Leaving", "1")
	}
	l.mu.Unlock()
	answer := "answer to " + q.Header.Get("X-Request-Id")
	w.Header().Set("X-Response-Stamp", l.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// staleCase: a replica crashes and starts again under its ID, and then leaves; a heartbeat of before
// the crash, which the store had left unanswered, is carried out late.
func staleCase(program string, rec *record, isTroubled bool) int {
	s, err := newSite(program, rec, zones)
	if err != nil {
		return notRun(rec, err.Error())
	}
	defer s.close()
	var replicas []*leaver
	for i := range 3 {
		ln, err := listenFree()
		if err != nil {
			return notRun(rec, err.Error())
		}
		l := &leaver{id: fmt.Sprintf("i-api%d", i+1), address: ln.Addr().String(), site: s}
		replicas = append(replicas, l)
		l.start(ln)
		go l.beat()
	}
	if !s.startGateways() {
		return notRun(rec, "instances are not ready")
	}
	done := make(chan struct{})
	defer close(done)
	sent := &sendTimes{at: map[string]time.Time{}}
	go s.sendOrders(done, sent)
	time.Sleep(2 * contactTime)
	l := replicas[0]
	return l.leave(sent, isTroubled)
}

// sendTimes holds when clients sent their requests.
type sendTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (s *site) sendOrders(done <-chan struct{}, sent *sendTimes) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(25 * time.Millisecond):
		}
		g := s.gateways[n%len(s.gateways)]
		go func() {
			began := time.Now()
			a := send(g.front, call{method: "POST", path: unsafePath + "2f", body: "order", budget: 3 * time.Second})
			sent.mu.Lock()
			sent.at[a.id] = began
			sent.mu.Unlock()
			s.record.add("request %s at %s ends: %s", a.id, g.name, a)
		}()
	}
}

func (l *leaver) leave(sent *sendTimes, isTroubled bool) int {
	rec := l.site.record
	late := l.entry() // the heartbeat that the store does not answer
	l.mu.Lock()
	l.isUp = false
	_ = l.server.Close()
	l.mu.Unlock()
	rec.add("replica %s crashes; its last heartbeat, %s, has no answer", l.id, late)
	if isTroubled {
		time.AfterFunc(lateWrite, func() {
			l.write(late)
			rec.add("the store carries out the heartbeat of before the crash")
		})
	}
	time.Sleep(replicaDown)
	ln, err := net.Listen("tcp4", l.address)
	if err != nil {
		return notRun(rec, err.Error())
	}
	l.start(ln)
	time.Sleep(upTime)
	l.mu.Lock()
	l.isLeaving = true
	l.mu.Unlock()
	l.write(l.entry())
	leftAt := time.Now()
	rec.add("replica %s reports that it is draining", l.id)
	time.Sleep(leavingTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isUp = false
	_ = l.server.Close()
	l.site.store.put("servers", l.id, nil)
	sent.mu.Lock()
	defer sent.mu.Unlock()
	n := 0
	for _, a := range l.arrivals {
		if at, ok := sent.at[a.id]; ok && at.After(leftAt.Add(drainTime)) {
			n++
			rec.add("request %s, sent %d ms after the replica reported that it leaves, reached it", a.id, at.Sub(leftAt).Milliseconds())
		}
	}
	return verdict(rec, n > 0, "%d requests that clients sent later than %v after the replica had reported that it leaves reached it", n, drainTime)
}
