package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	adapterSlots  = 8
	adapterDelay  = 15 * time.Millisecond
	adapterEvents = 8
	adapterPause  = 10 * time.Millisecond
	// lateAfter is the least time after which an order without an answer is carried out, and
	// lateAtMost the longest.
	lateAfter  = 2 * time.Second
	lateAtMost = 12 * time.Second
	// lateDelay is how long after a newer order the late one is carried out.
	lateDelay = 150 * time.Millisecond
	// evictionDelay is the time between the request that loads an adapter and the one that evicts it.
	evictionDelay = 1600 * time.Millisecond
	// takeOverTime is how long after that the other adapter is asked for: another instance gives the
	// orders then.
	takeOverTime = 5 * time.Second
)

type adapterOrder struct {
	Operation        string `json:"operation"`
	Model            string `json:"model"`
	Adapter          string `json:"adapter"`
	ExpectedRevision *int64 `json:"expectedRevision"`
	Holder           string `json:"holder"`
	FencingToken     int64  `json:"fencingToken"`
}

// adapterReplica is the one replica of an engine service. It holds the model from the start.
type adapterReplica struct {
	id      string
	address string
	born    int64
	site    *site
	// lateAdapter is the adapter whose load is left unanswered and carried out late; empty for none.
	lateAdapter string

	mu       sync.Mutex
	beats    int64
	sequence int64
	fence    int64
	held     []string
	coming   []string
	late     *adapterOrder
	lateAt   time.Time
	overfull string
}

func (r *adapterReplica) holdings() []map[string]any {
	return []map[string]any{{"name": "m0", "version": 1, "adapters": slices.Clone(r.held)}}
}

func (r *adapterReplica) beat() {
	for {
		r.mu.Lock()
		r.beats++
		entry, _ := json.Marshal(map[string]any{
			"service": engineService, "address": r.address, "zone": "a", "version": "v1", "slots": 32, "state": "ready", "coldRemainingMs": 0,
			"stage": "colocated", "models": r.holdings(), "sequence": r.beats, "born": r.born,
			"atHand": map[string]any{"inMemory": []string{"m0"}, "onDisk": []string{"m0"}},
		})
		r.mu.Unlock()
		r.site.store.put("servers", r.id, entry)
		time.Sleep(heartbeat)
	}
}

func (r *adapterReplica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	w.Header().Set("X-Instance-Id", r.id)
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/health":
	case "/v1/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		coming := []string{}
		for _, a := range r.coming {
			coming = append(coming, "m0/"+a+"@1")
		}
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "colocated", "models": r.holdings(), "busy": false, "sequence": r.sequence, "coming": coming, "born": r.born,
		})
	case "/v1/order":
		r.handleOrder(w, q)
	default:
		r.serveStream(w, q)
	}
}

func (r *adapterReplica) handleOrder(w http.ResponseWriter, q *http.Request) {
	var in adapterOrder
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil || in.Holder == "" || in.FencingToken == 0 || in.Adapter == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	isLate := in.Operation == "load" && in.Adapter == r.lateAdapter && r.late == nil
	if isLate {
		r.late, r.lateAt = &in, time.Now()
	}
	r.mu.Unlock()
	if isLate {
		r.site.record.add("the order of %s to load %s, revision %d, gets no answer", in.Holder, in.Adapter, *in.ExpectedRevision)
		for _, g := range r.site.gateways {
			if g.name == in.Holder {
				r.site.record.add("instance %s, which gave it, is killed", g.name)
				g.signal(syscall.SIGKILL)
			}
		}
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status := r.carryOut(in, "")
	w.WriteHeader(status)
	if in.Operation == "unload" && status == http.StatusOK {
		r.releaseLate()
	}
}

// releaseLate has the unanswered order carried out soon, if it is within its time.
func (r *adapterReplica) releaseLate() {
	r.mu.Lock()
	late, age := r.late, time.Since(r.lateAt)
	r.mu.Unlock()
	if late == nil || age < lateAfter || age > lateAtMost-lateDelay {
		return
	}
	r.mu.Lock()
	r.lateAt = time.Time{}
	r.mu.Unlock()
	time.AfterFunc(lateDelay, func() { r.carryOut(*late, fmt.Sprintf(", %.1f s late", (age+lateDelay).Seconds())) })
}

// carryOut carries out an order and returns the status of its answer.
func (r *adapterReplica) carryOut(in adapterOrder, note string) (status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer func() {
		r.site.record.add("order of %s to %s %s, revision %d at %d%s: %d; held %v, coming %v",
			in.Holder, in.Operation, in.Adapter, *in.ExpectedRevision, r.sequence, note, status, r.held, r.coming)
	}()
	isHeld := slices.Contains(r.held, in.Adapter) || slices.Contains(r.coming, in.Adapter)
	switch {
	case in.FencingToken < r.fence && note == "": // a late order was checked when it came
		return http.StatusPreconditionFailed
	case *in.ExpectedRevision != r.sequence:
		return http.StatusConflict
	case (in.Operation == "load") == isHeld:
		r.fence = in.FencingToken
		return http.StatusOK
	}
	r.fence = max(r.fence, in.FencingToken)
	r.sequence++
	if in.Operation == "unload" {
		r.held = slices.DeleteFunc(r.held, func(a string) bool { return a == in.Adapter })
		return http.StatusOK
	}
	if len(r.held)+len(r.coming)+1 > adapterSlots {
		r.overfull = in.Adapter
	}
	r.coming = append(r.coming, in.Adapter)
	time.AfterFunc(adapterDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.coming = slices.DeleteFunc(r.coming, func(a string) bool { return a == in.Adapter })
		r.held = append(r.held, in.Adapter)
	})
	return http.StatusAccepted
}

func (r *adapterReplica) serveStream(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	_, adapter, _ := strings.Cut(q.Header.Get("X-Model"), "/")
	r.mu.Lock()
	isHeld := slices.Contains(r.held, adapter)
	r.mu.Unlock()
	if !isHeld {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Response-Stamp", r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= adapterEvents; i++ {
		time.Sleep(adapterPause)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d of %d\n\n", i, i, adapterEvents)
		_ = http.NewResponseController(w).Flush()
	}
}

// askFor sends a request for an adapter to one of the instances.
func (s *site) askFor(adapter string, n int) {
	c := poisonCall()
	c.model, c.body = "m0/"+adapter, fmt.Sprintf("question %d", n)
	c.prefix = fmt.Sprintf("5c1e07a2:350,%x:500", 0x300000+n)
	c.usage = "850,60"
	g := s.gateways[n%len(s.gateways)]
	a := send(g.front, c)
	s.record.add("request for %s at %s ends: %s", adapter, g.name, a)
}

// askRegularly sends requests for an adapter until done is closed.
func (s *site) askRegularly(adapter string, every time.Duration, done <-chan struct{}) {
	for n := int(adapter[1]); ; n++ {
		go s.askFor(adapter, n)
		select {
		case <-done:
			return
		case <-time.After(every):
		}
	}
}

// limitCase: the holder of the lease on orders is killed with an order that has no answer, which the
// replica carries out late.
func limitCase(program string, rec *record, isTroubled bool) int {
	adapterCount = 12
	s, err := newSite(program, rec, zones)
	if err != nil {
		return notRun(rec, err.Error())
	}
	defer s.close()
	ln, err := listenFree()
	if err != nil {
		return notRun(rec, err.Error())
	}
	r := &adapterReplica{id: "i-lm1", address: ln.Addr().String(), born: time.Now().UnixMilli(), site: s}
	if isTroubled {
		r.lateAdapter = "a10"
	}
	go func() { _ = http.Serve(ln, r) }()
	go r.beat()
	if !s.startGateways() {
		return notRun(rec, "instances are not ready")
	}
	done := make(chan struct{})
	defer close(done)
	for i := range adapterSlots - 1 {
		go s.askRegularly(fmt.Sprintf("a%d", i+1), 400*time.Millisecond, done)
	}
	time.Sleep(4 * contactTime)
	s.askFor("a8", 1)
	time.Sleep(evictionDelay)
	go s.askFor("a10", 2)
	time.Sleep(takeOverTime)
	go s.askRegularly("a11", 100*time.Millisecond, done)
	time.Sleep(lateAtMost - takeOverTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.overfull == "" {
		return verdict(rec, false, "no order went beyond the %d places for adapters", adapterSlots)
	}
	return verdict(rec, true, "the replica was ordered to load %s beyond its %d places for adapters", r.overfull, adapterSlots)
}
