package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store. Rows of the system have an empty part.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a sound stand-in of the platform's metadata store: linearizable, never slow,
// and without losses.
type store struct {
	address string
	began   time.Time

	mu      sync.Mutex
	changed *sync.Cond
	version int64
	rows    map[string]row
	history []row
}

func newStore() (*store, error) {
	ln, err := listenFree()
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), began: time.Now(), rows: map[string]row{}}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// put writes a row, or removes it if value is nil.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: value})
}

// write applies one change. The lock must be held.
func (s *store) write(r row) {
	r.Version, r.Removed = s.version, r.Value == nil
	name := r.Table + "/" + r.Key
	if _, ok := s.rows[name]; !ok && r.Removed {
		return
	}
	s.history = append(s.history, r)
	s.rows[name] = r
	if r.Removed {
		delete(s.rows, name)
	}
	s.changed.Broadcast()
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, isTruncated bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": isTruncated, "ver": s.version, "nowMs": time.Since(s.began).Milliseconds() + 1000,
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix := r.FormValue("table") + "/"
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil {
		limit = 500
	}
	found := []row{}
	for name, x := range s.rows {
		if strings.HasPrefix(name, prefix) && x.Key >= r.FormValue("from") {
			found = append(found, x)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	isTruncated := len(found) > limit
	s.answer(w, http.StatusOK, found[:min(limit, len(found))], isTruncated)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.FormValue("waitMs"))
	if errors.Join(err, waitErr) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), s.changed.Broadcast)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		rows := []row{}
		for _, x := range s.history {
			if x.Table == r.FormValue("table") && x.Version > after {
				rows = append(rows, x)
			}
		}
		if len(rows) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			s.answer(w, http.StatusOK, rows, false)
			return
		}
		s.changed.Wait()
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expectedRevision"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		if s.rows[e.Table+"/"+e.Key].Version != e.Version {
			s.answer(w, http.StatusPreconditionFailed, []row{}, false)
			return
		}
	}
	for _, x := range slices.Concat(tx.Writes, tx.Remove) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, x := range tx.Writes {
		if x.Value == nil {
			x.Value = []byte{}
		}
		s.write(x)
	}
	for _, x := range tx.Remove {
		x.Value = nil
		s.write(x)
	}
	s.answer(w, http.StatusOK, []row{}, false)
}
