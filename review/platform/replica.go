package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// entryTTL is the silence after which the platform removes an entry.
	entryTTL = 3 * heartbeat
	loadTime = 1400 * time.Millisecond
)

// crashPoint says how far a run gets that crashes its replica.
type crashPoint int

const (
	beforeAnswer crashPoint = iota
	midAnswer
)

// replicaConfig describes a replica. Models is nil for one of a plain service.
type replicaConfig struct {
	Service string
	Zone    string
	Slots   int
	Models  []string
	// Events is the number of events of a stream and Pause the time between two; a plain run
	// takes Pause.
	Events int
	Pause  time.Duration
	// Crashes reports whether a run with a body crashes the replica, and where.
	Crashes func(body string) (crashPoint, bool)
	// Down is how long a crashed replica is away.
	Down time.Duration
	// IsDark makes a crashed replica silent: nothing answers on its channels, old or new.
	IsDark bool
}

// run is a request that a replica began to run.
type run struct {
	ID       string
	Body     string
	Replica  string
	At       time.Time
	Instance string
	IsCrash  bool
}

// replica is a sound replica whose process may be crashed by a request. Each of its starts is a
// new incarnation with a new ID at the same address.
type replica struct {
	config  replicaConfig
	name    string
	address string
	store   *store
	record  *record
	onRun   func(run)

	mu       sync.Mutex
	starts   int
	id       string
	born     int64
	isUp     bool
	isBusy   bool
	orders   int64
	fence    int64
	beats    int64
	held     []string
	running  int
	listener *portListener
	conns    map[net.Conn]bool
	dark     *darkPort
	beatAt   time.Time
}

func startReplica(name string, config replicaConfig, s *store, rec *record, onRun func(run)) (*replica, error) {
	ln, err := listenFree()
	if err != nil {
		return nil, err
	}
	r := &replica{config: config, name: name, address: ln.Addr().String(), store: s, record: rec, onRun: onRun, conns: map[net.Conn]bool{}}
	r.begin(ln, config.Models)
	go r.beat()
	return r, nil
}

// begin starts an incarnation that holds some models.
func (r *replica) begin(ln net.Listener, held []string) {
	r.mu.Lock()
	r.starts++
	r.id = fmt.Sprintf("i-%s-%d", r.name, r.starts)
	r.born = time.Now().UnixMilli()
	r.isUp, r.isBusy, r.orders, r.fence, r.running, r.beats = true, false, 0, 0, 0, 0
	r.held = slices.Clone(held)
	start := r.starts
	r.listener = &portListener{Listener: ln}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(w, q, start) }), ConnState: r.track}
	listener := r.listener
	r.mu.Unlock()
	r.record.add("replica %s starts at %s", r.id, r.address)
	r.writeEntry()
	go func() { _ = server.Serve(listener) }()
}

// portListener hands out plain connections.
type portListener struct{ net.Listener }

func (r *replica) track(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, c)
	}
}

// writeEntry writes the entry of the replica to the store. The platform changes the row only
// when more than the sequence changes; writing it each time is allowed as well.
func (r *replica) writeEntry() {
	r.mu.Lock()
	if !r.isUp {
		r.mu.Unlock()
		return
	}
	r.beats++
	r.beatAt = time.Now()
	id := r.id
	entry, _ := json.Marshal(map[string]any{
		"service": r.config.Service, "address": r.address, "zone": r.config.Zone, "version": "v1", "slots": r.config.Slots,
		"state": "ready", "coldRemainingMs": 0, "stage": "colocated", "models": holdings(r.held), "sequence": r.beats, "born": r.born,
		"atHand": map[string]any{"inMemory": r.held, "onDisk": r.config.Models},
	})
	r.mu.Unlock()
	r.store.put("servers", id, entry)
}

func holdings(models []string) []map[string]any {
	out := []map[string]any{}
	for _, m := range models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

// beat writes the entry each heartbeat, and does what the platform does with the entry of a
// replica that is silent.
func (r *replica) beat() {
	for {
		time.Sleep(heartbeat)
		r.mu.Lock()
		isUp := r.isUp
		r.mu.Unlock()
		if isUp {
			r.writeEntry()
		}
	}
}

// crash ends the process of the replica: its channels are reset and its port is closed, or, if it
// goes dark with its machine, nothing is heard of either. It is back after some seconds.
func (r *replica) crash(start int, cause string) {
	r.mu.Lock()
	if !r.isUp || r.starts != start {
		r.mu.Unlock()
		return
	}
	r.isUp = false
	id, silentSince := r.id, r.beatAt
	conns := r.conns
	r.conns = map[net.Conn]bool{}
	_ = r.listener.Close()
	if r.config.IsDark {
		r.dark = newDarkPort(r.address)
	} else {
		for c := range conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
	r.mu.Unlock()
	r.record.add("replica %s crashes (%s)", id, cause)
	time.AfterFunc(time.Until(silentSince.Add(entryTTL)), func() { r.store.put("servers", id, nil) })
	time.AfterFunc(r.config.Down, r.restart)
}

// restart begins a new incarnation. What the machine sends on old channels then is a reset.
func (r *replica) restart() {
	r.mu.Lock()
	if r.dark != nil {
		r.dark.close()
		r.dark = nil
	}
	r.mu.Unlock()
	for range 100 {
		ln, err := net.Listen("tcp4", r.address)
		if err == nil {
			r.begin(ln, nil)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.record.add("replica %s cannot listen again", r.name)
}

// isCurrent reports whether the incarnation of a request still runs.
func (r *replica) isCurrent(start int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isUp && r.starts == start
}

// die ends a handler whose process has ended. Its channel was reset, or stays silent until the
// machine is back.
func (r *replica) die() {
	r.mu.Lock()
	isSilent := r.dark != nil
	r.mu.Unlock()
	if isSilent {
		select {}
	}
	panic(http.ErrAbortHandler)
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request, start int) {
	if !r.isCurrent(start) {
		r.die()
	}
	h := w.Header()
	h["Date"] = nil
	h.Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	r.mu.Lock()
	id := r.id
	r.mu.Unlock()
	h.Set("X-Instance-Id", id)
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/health":
		return
	case "/v1/report":
		r.report(w)
	case "/v1/order":
		r.order(w, q, start)
	default:
		r.serveRequest(w, q, start, id)
	}
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "colocated", "models": holdings(r.held), "busy": r.isBusy, "sequence": r.orders, "waiting": 0, "running": r.running,
		"kvUsed": 0, "kvTotal": 112181, "handles": 0, "born": r.born,
	})
}

func (r *replica) order(w http.ResponseWriter, q *http.Request, start int) {
	var in struct {
		Operation        string `json:"operation"`
		Model            string `json:"model"`
		ExpectedRevision *int64 `json:"expectedRevision"`
		Holder           string `json:"holder"`
		FencingToken     int64  `json:"fencingToken"`
	}
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil || in.Holder == "" || in.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	isLoad := in.Operation == "load"
	switch {
	case in.FencingToken < r.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case r.isBusy || in.ExpectedRevision != nil && *in.ExpectedRevision != r.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case slices.Contains(r.held, in.Model) == isLoad:
		r.fence = in.FencingToken
		return
	}
	r.fence = in.FencingToken
	r.orders++
	r.isBusy = true
	r.record.add("replica %s gets the order to %s %s from %s with fencing token %d", r.id, in.Operation, in.Model, in.Holder, in.FencingToken)
	w.WriteHeader(http.StatusAccepted)
	time.AfterFunc(loadTime, func() {
		if !r.isCurrent(start) {
			return
		}
		r.mu.Lock()
		r.isBusy = false
		r.held = slices.DeleteFunc(r.held, func(m string) bool { return m == in.Model })
		if isLoad {
			r.held = append(r.held, in.Model)
		}
		r.mu.Unlock()
		r.writeEntry()
	})
}

// takeSlot returns the status of a refusal, or 0.
func (r *replica) takeSlot(model string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.config.Models != nil && !slices.Contains(r.held, model):
		return http.StatusMisdirectedRequest
	case r.running >= 2*r.config.Slots:
		return http.StatusServiceUnavailable
	}
	r.running++
	return 0
}

func (r *replica) serveRequest(w http.ResponseWriter, q *http.Request, start int, id string) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if status := r.takeSlot(q.Header.Get("X-Model")); status != 0 {
		refuse(w, status)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	text := string(body[:min(len(body), 64)])
	point, isCrash := crashPoint(0), false
	if r.config.Crashes != nil {
		point, isCrash = r.config.Crashes(text)
	}
	request := q.Header.Get("X-Request-Id")
	r.record.add("replica %s runs request %s (%.24s)", id, request, text)
	r.onRun(run{ID: request, Body: text, Replica: id, At: time.Now(), IsCrash: isCrash})
	if isCrash && point == beforeAnswer {
		time.Sleep(r.config.Pause)
		r.crash(start, "request "+request)
		r.die()
	}
	w.Header().Set("X-Response-Stamp", id+"."+request)
	if r.config.Models == nil {
		time.Sleep(r.config.Pause)
		if !r.isCurrent(start) {
			r.die()
		}
		answer := "answer to " + request
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer)
		return
	}
	r.stream(w, q, start, request, isCrash)
}

// stream sends the events of a run. A run that crashes the replica does so at half of them.
func (r *replica) stream(w http.ResponseWriter, q *http.Request, start int, request string, isCrash bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := 1; i <= r.config.Events; i++ {
		time.Sleep(r.config.Pause)
		if q.Context().Err() != nil {
			return
		}
		if !r.isCurrent(start) {
			r.die()
		}
		if isCrash && i > r.config.Events/2 {
			r.crash(start, "request "+request)
			r.die()
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d of %d\n\n", i, request, i, r.config.Events)
		_ = control.Flush()
	}
}
