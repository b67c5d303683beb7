package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	request, service, replica, path string
	began                           time.Time
}

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
	plainWork       = 20 * time.Millisecond
	adapterLoadTime = 10 * time.Millisecond
	eventTime       = 20 * time.Millisecond
	adapterSlots    = 8
	baseModel       = "daka51"
	streamEvents    = 3
)

// replica is a replica of a service. It is a model engine if hasModel is set: one that holds
// baseModel throughout, and adapters as it is ordered to.
type replica struct {
	id, service, zone string
	hasModel          bool
	address           string
	world             *world
	born              int64
	server            *http.Server
	ended             chan struct{}

	mu       sync.Mutex
	runs     []run
	orders   []order
	accepted int64
	fence    int64
	adapters map[string]bool
	sequence int64
	written  string
	era      int64
}

func (w *world) newReplica(id, service, zone string, hasModel bool) (*replica, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, zone: zone, hasModel: hasModel, address: ln.Addr().String(), world: w, born: time.Now().UnixMilli(),
		ended: make(chan struct{}), adapters: map[string]bool{},
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
	value, era, isThere := r.world.store.lookUp(tableReplicas, r.id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	text := r.entry()
	isLost := era != r.era && (!isThere || !strings.HasPrefix(string(value), strings.TrimSuffix(r.written, "}")))
	if text == r.written && !isLost {
		r.era = era
		return
	}
	full := strings.TrimSuffix(text, "}") + fmt.Sprintf(`,"sequence":%d}`, r.sequence)
	if _, era, ok := r.world.store.put(tableReplicas, r.id, []byte(full)); ok {
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
	names := []string{}
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
		r.report(w)
	case r.hasModel && q.URL.Path == "/v1/order":
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
	if _, err := io.ReadAll(q.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	model, adapter, _ := strings.Cut(q.Header.Get("X-Model"), "/")
	r.mu.Lock()
	if r.hasModel && (model != baseModel || (adapter != "" && !r.adapters[adapter])) {
		r.mu.Unlock()
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	r.runs = append(r.runs, run{request: id, service: r.service, replica: r.id, path: q.URL.Path, began: time.Now()})
	r.mu.Unlock()
	r.world.record.addf("replica %s (%s) runs %s %s", r.id, r.service, id, q.URL.Path)
	w.Header().Set("X-Response-Stamp", r.id+"."+id)
	if !r.hasModel {
		time.Sleep(plainWork)
		_, _ = fmt.Fprintf(w, "%s by %s", id, r.service)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range streamEvents {
		time.Sleep(eventTime)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, id)
		_ = http.NewResponseController(w).Flush()
	}
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"born":%d,"stage":"colocated","models":%s,"busy":false,"sequence":%d,"waiting":0,"running":0,"kvUsed":0,"kvTotal":90000,"handles":0,"coming":[]}`,
		r.born, r.models(), r.accepted)
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
	r.mu.Unlock()
	r.world.record.addf("replica %s answers %d to the order %s %s/%s of %s with generation number %d",
		r.id, o.status, o.Operation, o.Model, o.Adapter, o.Holder, o.Fence)
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
	case isLoad == r.adapters[o.Adapter]:
		r.fence = o.Fence
		return http.StatusOK
	}
	r.fence = o.Fence
	r.accepted++
	if !isLoad {
		delete(r.adapters, o.Adapter)
		return http.StatusOK
	}
	r.adapters[o.Adapter] = true
	if len(r.adapters) > adapterSlots {
		r.world.record.addf("replica %s is ordered to hold %d adapters", r.id, len(r.adapters))
	}
	return http.StatusAccepted
}

func (r *replica) takenOrders() []order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.orders)
}

func (r *replica) takenRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}
