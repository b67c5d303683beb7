package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// order is an order as it arrived at a replica.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int64 `json:"expectedRevision"`
	Holder    string `json:"holder"`
	Fence     int64  `json:"fencingToken"`

	replica string
	at      time.Time
	status  int
}

const (
	plainWork    = 20 * time.Millisecond
	eventTime    = 20 * time.Millisecond
	adapterSlots = 8
	baseModel    = "daka51"
	streamEvents = 3
)

// replica is a replica of a service. It is a model engine if hasModel is set: one that holds
// baseModel throughout, and adapters as it is ordered to.
type replica struct {
	id, service, zone string
	hasModel          bool
	address           string
	world             *world
	store             *store
	born              int64
	server            *http.Server
	ended             chan struct{}

	mu       sync.Mutex
	orders   []order
	accepted int64
	fence    int64
	adapters map[string]bool
	// inUse counts the runs of each adapter, and unloading holds the adapters that go once theirs end.
	inUse     map[string]int
	unloading map[string]bool
	// reports are the earlier states, of which a report shows the one of reportLag ago.
	reports   []reportState
	reportLag time.Duration
	// callTime is how long reports and orders take.
	callTime time.Duration
	// longest is the largest number of events of a stream.
	longest int
	// overfilled is how often an order made the replica hold more adapters than it has places for.
	overfilled int
	isDown     bool
	crashes    []time.Time
	sequence   int64
	written    string
	era        int64
}

const (
	// crashText is what a body contains that crashes the replica that begins to run it.
	crashText = "crash"
	// crashPart is what the names of parts of prompts begin with that do the same, and midwayPart the
	// first part of prompts of which the answer has begun then.
	crashPart    = "bad"
	midwayPart   = "f2:"
	prefixHeader = "X-Prompt-Prefix"
	// crashTime is how long a replica is down, and expiryTime after how long its entry is removed.
	crashTime  = 5 * time.Second
	expiryTime = 3 * heartbeatTime
)

// crash ends the replica, and starts it again under the same ID and address after crashTime.
func (r *replica) crash() {
	r.mu.Lock()
	if r.isDown {
		r.mu.Unlock()
		return
	}
	r.isDown = true
	r.crashes = append(r.crashes, time.Now())
	server := r.server
	r.mu.Unlock()
	r.world.record.addf("replica %s crashes", r.id)
	_ = server.Close()
	time.Sleep(expiryTime)
	r.store.put(tableReplicas, r.id, nil)
	time.Sleep(crashTime - expiryTime)
	ln, err := net.Listen("tcp4", r.address)
	if err != nil {
		r.world.record.addf("replica %s does not start again: %v", r.id, err)
		return
	}
	r.mu.Lock()
	r.isDown, r.born, r.sequence, r.written = false, time.Now().UnixMilli(), 0, ""
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	server = r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	r.world.record.addf("replica %s is back", r.id)
	r.heartbeat()
}

// reportState is the state that a report shows.
type reportState struct {
	at       time.Time
	models   string
	accepted int64
}

func (w *world) newReplica(id, service, zone string, hasModel bool) (*replica, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, zone: zone, hasModel: hasModel, address: ln.Addr().String(), world: w, store: w.store, born: time.Now().UnixMilli(),
		ended: make(chan struct{}), adapters: map[string]bool{}, inUse: map[string]int{}, unloading: map[string]bool{},
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(ln) }()
	r.heartbeat()
	go r.heartbeats()
	return r, nil
}

func (r *replica) close() {
	close(r.ended)
	_ = r.server.Close()
}

func (r *replica) heartbeats() {
	ticker := time.NewTicker(heartbeatTime)
	defer ticker.Stop()
	for {
		select {
		case <-r.ended:
			return
		case <-ticker.C:
			r.heartbeat()
		}
	}
}

// heartbeat writes the entry if more than its sequence has changed, or if the store has come back
// without it.
func (r *replica) heartbeat() {
	value, era, isThere := r.store.lookUp(tableReplicas, r.id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDown {
		return
	}
	r.sequence++
	text := r.entry()
	isLost := era != r.era && (!isThere || !strings.HasPrefix(string(value), strings.TrimSuffix(r.written, "}")))
	if text == r.written && !isLost {
		r.era = era
		return
	}
	full := strings.TrimSuffix(text, "}") + fmt.Sprintf(`,"sequence":%d}`, r.sequence)
	if _, era, ok := r.store.put(tableReplicas, r.id, []byte(full)); ok {
		r.written, r.era = text, era
	}
}

// entry returns the entry without its sequence. The caller holds r.mu.
func (r *replica) entry() string {
	models := "[]"
	if r.hasModel {
		models = r.models()
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldRemainingMs":0,"born":%d,"models":%s}`,
		r.service, r.address, r.zone, r.slots(), r.born, models)
}

func (r *replica) slots() int {
	if r.hasModel {
		return 32
	}
	return 6
}

func (r *replica) models() string {
	names := make([]string, 0, len(r.adapters))
	for a := range r.adapters {
		names = append(names, a)
	}
	slices.Sort(names)
	list, err := json.Marshal(names)
	if err != nil {
		return "[]"
	}
	return fmt.Sprintf(`[{"name":%q,"version":1,"adapters":%s}]`, baseModel, list)
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	w.Header().Set("X-Instance-Id", r.id)
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == "/health":
		w.WriteHeader(http.StatusOK)
	case r.hasModel && q.URL.Path == "/v1/report":
		time.Sleep(r.callTime)
		r.report(w)
	case r.hasModel && q.URL.Path == "/v1/order":
		time.Sleep(r.callTime)
		r.takeOrder(w, q)
	case id == "":
		notRun(w, http.StatusBadRequest)
	default:
		r.serve(w, q, id)
	}
}

func notRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request, id string) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	model, adapter, _ := strings.Cut(q.Header.Get("X-Model"), "/")
	r.mu.Lock()
	if r.hasModel && (model != baseModel || (adapter != "" && !r.adapters[adapter])) {
		r.mu.Unlock()
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	if r.unloading[adapter] {
		r.mu.Unlock()
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	r.inUse[adapter]++
	defer r.endUse(adapter)
	r.mu.Unlock()
	r.world.record.addf("replica %s (%s) runs %s %s", r.id, r.service, id, q.URL.Path)
	if r.isFatal(q, body) {
		if strings.HasPrefix(q.Header.Get(prefixHeader), midwayPart) {
			r.beginStream(w, id)
		}
		go r.crash()
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Stamp", r.id+"."+id)
	if !r.hasModel {
		time.Sleep(plainWork)
		_, _ = fmt.Fprintf(w, "%s by %s", id, r.service)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range r.events() {
		time.Sleep(eventTime)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, id)
		_ = http.NewResponseController(w).Flush()
	}
}

// events returns the number of events of a stream.
func (r *replica) events() int {
	if r.longest <= streamEvents {
		return streamEvents
	}
	return streamEvents + rand.IntN(r.longest-streamEvents)
}

// endUse ends a run of an adapter, and its unload if that has waited for it.
func (r *replica) endUse(adapter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inUse[adapter]--
	if r.inUse[adapter] == 0 && r.unloading[adapter] {
		delete(r.unloading, adapter)
		delete(r.adapters, adapter)
		r.noteState()
		r.world.record.addf("replica %s has unloaded %s, whose runs have ended", r.id, adapter)
	}
}

// noteState keeps the state for later reports. The caller holds r.mu.
func (r *replica) noteState() {
	r.reports = append(r.reports, reportState{at: time.Now(), models: r.models(), accepted: r.accepted})
}

// isFatal reports whether a request crashes the replica: by its body, or by a part of its prompt.
func (r *replica) isFatal(q *http.Request, body []byte) bool {
	return strings.Contains(string(body), crashText) || strings.Contains(q.Header.Get(prefixHeader), crashPart)
}

// beginStream sends the head of a stream and its first event.
func (r *replica) beginStream(w http.ResponseWriter, id string) {
	w.Header().Set("X-Response-Stamp", r.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", id)
	_ = http.NewResponseController(w).Flush()
}

// reported returns the state that a report shows now. The caller holds r.mu.
func (r *replica) reported() reportState {
	out := reportState{models: fmt.Sprintf(`[{"name":%q,"version":1,"adapters":[]}]`, baseModel)}
	limit := time.Now()
	if r.reportLag > 0 {
		limit = limit.Add(-r.reportLag)
	}
	for _, s := range r.reports {
		if !s.at.After(limit) {
			out = s
		}
	}
	return out
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.reported()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"born":%d,"stage":"colocated","models":%s,"busy":false,"sequence":%d,"waiting":0,"running":0,"kvUsed":0,"kvTotal":90000,"handles":0,"coming":[]}`,
		r.born, state.models, state.accepted)
}

// takeOrder answers an order about an adapter. All orders of these cases are about adapters, since
// the only model is on every replica.
func (r *replica) takeOrder(w http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	o.replica, o.at = r.id, time.Now()
	o.status = r.carryOut(o)
	r.orders = append(r.orders, o)
	held, accepted := len(r.adapters), r.accepted
	r.mu.Unlock()
	r.world.record.addf("replica %s answers %d to the order %s %s/%s of %s with generation number %d; it holds %d adapters after %d orders",
		r.id, o.status, o.Operation, o.Model, o.Adapter, o.Holder, o.Fence, held, accepted)
	w.WriteHeader(o.status)
}

// carryOut returns the status of the answer to an order. The caller holds r.mu.
func (r *replica) carryOut(o order) int {
	isLoad := o.Operation == "load"
	switch {
	case o.Fence < r.fence:
		return http.StatusPreconditionFailed
	case o.Expected != nil && *o.Expected != r.accepted:
		return http.StatusConflict
	case o.Model != baseModel || o.Adapter == "":
		return http.StatusBadRequest
	case isLoad == r.adapters[o.Adapter], !isLoad && r.unloading[o.Adapter]:
		r.fence = o.Fence
		return http.StatusOK
	}
	r.fence = o.Fence
	r.accepted++
	defer r.noteState()
	switch {
	case isLoad:
		r.adapters[o.Adapter] = true
		if held := len(r.adapters) - len(r.unloading); held > adapterSlots {
			r.overfilled++
			r.world.record.addf("replica %s is ordered to hold %d adapters beside those that it unloads, and has %d places", r.id, held, adapterSlots)
		}
		return http.StatusAccepted
	case r.inUse[o.Adapter] > 0:
		r.unloading[o.Adapter] = true
		return http.StatusAccepted
	default:
		delete(r.adapters, o.Adapter)
		return http.StatusOK
	}
}

func (r *replica) takenOrders() []order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.orders)
}
