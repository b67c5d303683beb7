// Package deduper makes repeated sends of one request meet at one instance. A
// request key is either issued by an instance and bound to its incarnation, so
// that only that incarnation ever starts the request, or it is the caller's own
// and claimed by a row in the table service before the request starts.
package deduper

import (
	"crypto/rand"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrBadKey tells that a request key is not well formed.
	ErrBadKey = errors.New("malformed request key")
	// ErrExpired tells that a key is past its deadline, so that what became of
	// its request is no longer known.
	ErrExpired = errors.New("request key expired")
)

const (
	issuedPrefix = "cr1"
	keyLife      = 10 * time.Minute
	mostKeyBytes = 200
	mostEntries  = 100_000
)

// Home names the one incarnation of an instance that may start a request.
type Home struct {
	Instance    string
	Incarnation string
}

// Key is a taken-apart request key. Home is zero for a caller's own key.
type Key struct {
	Text     string
	Home     Home
	Deadline time.Time
}

// IsIssued reports whether the key was issued by an instance.
func (k Key) IsIssued() bool { return k.Home != Home{} }

// Issue returns a fresh key for home.
func Issue(home Home, now time.Time) string {
	deadline := strconv.FormatInt(now.Add(keyLife).UnixMilli(), 36)
	return strings.Join([]string{issuedPrefix, home.Instance, home.Incarnation, deadline, rand.Text()}, "_")
}

// ParseKey takes apart a key. The error is ErrBadKey.
func ParseKey(text string) (Key, error) {
	if text == "" || len(text) > mostKeyBytes || strings.ContainsAny(text, " \t\r\n/") {
		return Key{}, errors.Wrapf(ErrBadKey, "%.40q", text)
	}
	parts := strings.Split(text, "_")
	if parts[0] != issuedPrefix {
		return Key{Text: text}, nil
	}
	const partCount = 5
	if len(parts) != partCount || parts[1] == "" || parts[2] == "" {
		return Key{}, errors.Wrapf(ErrBadKey, "%.40q", text)
	}
	ms, err := strconv.ParseInt(parts[3], 36, 64)
	if err != nil {
		return Key{}, errors.Wrapf(ErrBadKey, "deadline in %.40q", text)
	}
	return Key{
		Text:     text,
		Home:     Home{Instance: parts[1], Incarnation: parts[2]},
		Deadline: time.UnixMilli(ms),
	}, nil
}

// ErrFull tells that an instance keeps too many keys to take a further one.
var ErrFull = errors.New("too many request keys")

// Table holds the keyed requests of one incarnation.
type Table struct {
	mu      sync.Mutex
	entries map[string]*Entry
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: map[string]*Entry{}}
}

// Begin returns the entry of a key of a team and whether the caller has to run
// its request. The error is ErrExpired or ErrFull.
func (t *Table) Begin(team string, key Key, now time.Time) (*Entry, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := team + "/" + key.Text
	if e := t.entries[name]; e != nil {
		return e, e.restart(), nil
	}
	deadline := now.Add(keyLife)
	if key.IsIssued() {
		deadline = key.Deadline
	}
	if !now.Before(deadline) {
		return nil, false, ErrExpired
	}
	if deadline.After(now.Add(keyLife)) {
		return nil, false, errors.Wrap(ErrBadKey, "deadline too far ahead")
	}
	if len(t.entries) >= mostEntries {
		return nil, false, ErrFull
	}
	e := &Entry{deadline: deadline, changed: make(chan struct{})}
	t.entries[name] = e
	return e, true, nil
}

// Forget removes a key that another home answers for.
func (t *Table) Forget(team string, key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, team+"/"+key.Text)
}

// Prune removes finished entries past their deadline.
func (t *Table) Prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.entries {
		if now.After(e.deadline) && e.isEnded() {
			delete(t.entries, name)
		}
	}
}
