package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeAnswerTime = 4 * time.Millisecond
	storeWriteTime  = 5 * time.Millisecond
	storeHistory    = 20 * time.Second
	readsPerSecond  = 2000
	writesPerSecond = 400
	maxFeedWait     = 30 * time.Second
	// clockOffset keeps the store's clock above zero.
	clockOffset = 1000
)

// row is a row of the store, as the platform's protocol encodes it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// change is a row as one transaction left it.
type change struct {
	row
	at time.Time
}

// store is the platform's metadata store in memory.
type store struct {
	address string
	started time.Time
	server  *http.Server

	mu      sync.Mutex
	cond    *sync.Cond
	version int64
	era     int64
	rows    map[string]row
	log     []change
	isAway  bool
	conns   map[net.Conn]bool
	second  int64
	reads   int
	writes  int
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), started: time.Now(), era: 1, rows: map[string]row{}, conns: map[net.Conn]bool{}}
	s.cond = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	s.server = &http.Server{Handler: s.limit(mux), ConnState: s.track, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// track closes new connections while the store is away.
func (s *store) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
		if s.isAway {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	default:
	}
}

// leave makes the store unavailable: its connections end, and new ones are closed.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.cond.Broadcast()
}

// returnFromCopy makes the store available again with the state that it had at a moment. It
// returns the newest versions before and after.
func (s *store) returnFromCopy(moment time.Time) (before, after int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.version
	kept := []change{}
	s.rows = map[string]row{}
	s.version = 0
	for _, c := range s.log {
		if c.at.After(moment) {
			break
		}
		kept = append(kept, c)
		s.version = c.Version
		s.apply(c.row)
	}
	s.log = kept
	s.era++
	s.isAway = false
	return before, s.version
}

func (s *store) apply(r row) {
	name := r.Table + "/" + r.Key
	if r.Removed {
		delete(s.rows, name)
		return
	}
	s.rows[name] = r
}

// commit applies rows in one transaction. The caller holds s.mu.
func (s *store) commit(rows []row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		s.apply(r)
		s.log = append(s.log, change{row: r, at: time.Now()})
	}
	s.cond.Broadcast()
}

// put writes a row for the operator or a replica, or removes it if value is nil. It returns the
// version, the era and false while the store is away.
func (s *store) put(table, key string, value []byte) (version, era int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isAway {
		return 0, s.era, false
	}
	s.commit([]row{{Table: table, Key: key, Value: value, Removed: value == nil}})
	return s.version, s.era, true
}

// lookUp returns the value of a row, and the era; false if there is none.
func (s *store) lookUp(table, key string) (value []byte, era int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[table+"/"+key]
	return r.Value, s.era, ok
}

func (s *store) newest() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// limit refuses calls beyond the rates of the store, and delays the others.
func (s *store) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if now := time.Now().Unix(); now != s.second {
			s.second, s.reads, s.writes = now, 0, 0
		}
		count, most := &s.reads, readsPerSecond
		if r.Method == http.MethodPost {
			count, most = &s.writes, writesPerSecond
		}
		*count++
		isOver := *count > most
		isAway := s.isAway
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		if isAway {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(storeAnswerTime)
		if isOver {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// rowsAnswer is the body of the store's answers.
type rowsAnswer struct {
	Rows      []row `json:"rows"`
	Truncated bool  `json:"truncated"`
	Version   int64 `json:"ver"`
	NowMS     int64 `json:"nowMs"`
}

// answer writes an answer, or ends the connection if the store has gone meanwhile. The caller
// holds s.mu.
func (s *store) answer(w http.ResponseWriter, status int, out rowsAnswer) {
	if s.isAway {
		panic(http.ErrAbortHandler)
	}
	out.Version, out.NowMS = s.version, time.Since(s.started).Milliseconds()+clockOffset
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const mostRows = 500
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit > mostRows {
		limit = mostRows
	}
	out := rowsAnswer{Rows: []row{}}
	target := r.FormValue("target")
	for _, x := range s.rows {
		if x.Table == r.FormValue("table") && x.Key >= r.FormValue("from") && (target == "" || x.Key < target) {
			out.Rows = append(out.Rows, x)
		}
	}
	slices.SortFunc(out.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(out.Rows) > limit {
		out.Rows, out.Truncated = out.Rows[:limit], true
	}
	s.answer(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.FormValue("waitMs"))
	if err != nil {
		wait = 0
	}
	end := time.Now().Add(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	timer := time.AfterFunc(time.Until(end), s.cond.Broadcast)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.era
	for {
		if s.isAway || s.era != era {
			panic(http.ErrAbortHandler)
		}
		if after > s.version || !s.hasHistory(after) {
			s.answer(w, http.StatusGone, rowsAnswer{Rows: []row{}})
			return
		}
		out := rowsAnswer{Rows: []row{}}
		for _, c := range s.log {
			if c.Table == r.FormValue("table") && c.Version > after {
				out.Rows = append(out.Rows, c.row)
			}
		}
		if len(out.Rows) > 0 || !time.Now().Before(end) {
			s.answer(w, http.StatusOK, out)
			return
		}
		s.cond.Wait()
	}
}

// hasHistory reports whether the changes after a version are still in the history. The caller holds
// s.mu.
func (s *store) hasHistory(after int64) bool {
	limit := time.Now().Add(-storeHistory)
	for _, c := range s.log {
		if c.Version > after {
			return c.at.After(limit)
		}
	}
	return true
}

// transaction is the body of a write under conditions.
type transaction struct {
	Conditions []row `json:"expectedRevision"`
	Writes     []row `json:"writes"`
	Remove     []row `json:"remove"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeWriteTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isAway {
		panic(http.ErrAbortHandler)
	}
	rows := append([]row{}, tx.Writes...)
	for _, x := range tx.Remove {
		x.Removed, x.Value = true, nil
		rows = append(rows, x)
	}
	for _, x := range rows {
		if x.Table == tableOperator || x.Table == tableReplicas {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, c := range tx.Conditions {
		if s.rows[c.Table+"/"+c.Key].Version != c.Version {
			s.answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: s.current(tx.Conditions)})
			return
		}
	}
	s.commit(rows)
	s.answer(w, http.StatusOK, rowsAnswer{Rows: []row{}})
}

// current returns the rows that conditions name. The caller holds s.mu.
func (s *store) current(conditions []row) []row {
	out := []row{}
	for _, c := range conditions {
		if x, ok := s.rows[c.Table+"/"+c.Key]; ok {
			out = append(out, x)
		}
	}
	return out
}

// leaseText returns the lease row as text, for the record.
func (s *store) leaseText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows["lease/control"]
	if !ok {
		return "no row"
	}
	return fmt.Sprintf("version %d: %s", r.Version, r.Value)
}
