// Package deduper makes repeated sends of one request meet at one instance, so
// that a request that may not be repeated runs at most once. A request key is
// either issued by an instance and bound to its incarnation, so that only that
// incarnation ever starts the request, or it is the caller's own and claimed by
// a row in the table service before the request starts.
//
// Every key holds a deadline: an issued one is good for keyLife, and a caller's
// own one, a UUID of version 7, for ownKeyLife from the time in it. Entries and
// claims are kept until that deadline at least, and a key past it is refused. A
// request whose entry or claim is gone therefore never starts again, as long as
// the clocks of two instances differ by less than clockMargin.
package deduper

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
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
	// ErrReused tells that a key came with another request than at first.
	ErrReused = errors.New("request key belongs to another request")
	// ErrFull tells that an instance keeps too many keys to take a further one.
	ErrFull = errors.New("too many request keys")
)

const (
	issuedPrefix = "cr1"
	keyLife      = 10 * time.Minute
	ownKeyLife   = time.Hour
	clockMargin  = 5 * time.Minute
	mostKeyBytes = 200
	mostEntries  = 100_000
	mostBytes    = 64 << 20 // recorded answers of all entries
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
	if len(text) > mostKeyBytes || strings.ContainsFunc(text, isNotGraphic) {
		return Key{}, errors.Wrapf(ErrBadKey, "%.40q", text)
	}
	if rest, isIssued := strings.CutPrefix(text, issuedPrefix+"_"); isIssued {
		return parseIssued(text, rest)
	}
	return parseOwn(text)
}

func isNotGraphic(c rune) bool { return c <= ' ' || c > '~' || c == '/' }

// parseIssued takes apart INSTANCE_INCARNATION_DEADLINE_RANDOM. The ID of an
// instance may hold the separator.
func parseIssued(text, rest string) (Key, error) {
	parts := strings.Split(rest, "_")
	const fixedParts = 3 // after the instance
	n := len(parts) - fixedParts
	if n < 1 || parts[n] == "" || parts[n+2] == "" {
		return Key{}, errors.Wrapf(ErrBadKey, "%.40q", text)
	}
	instance := strings.Join(parts[:n], "_")
	ms, err := strconv.ParseInt(parts[n+1], 36, 64)
	if err != nil || instance == "" {
		return Key{}, errors.Wrapf(ErrBadKey, "%.40q", text)
	}
	return Key{
		Text:     text,
		Home:     Home{Instance: instance, Incarnation: parts[n]},
		Deadline: time.UnixMilli(ms),
	}, nil
}

// parseOwn takes the time out of a UUID of version 7. It must be in lower case,
// so that one UUID is one key.
func parseOwn(text string) (Key, error) {
	const (
		length  = 36
		version = '7'
	)
	digits := strings.ReplaceAll(text, "-", "")
	raw, err := hex.DecodeString(digits)
	isUUID := err == nil && len(text) == length && len(raw) == 16 &&
		text[8] == '-' && text[13] == '-' && text[18] == '-' && text[23] == '-' && text[14] == version
	if !isUUID || text != strings.ToLower(text) {
		return Key{}, errors.Wrapf(ErrBadKey, "%.40q is neither an issued key nor a UUID of version 7 in lower case", text)
	}
	const timeBits, bits = 48, 64
	ms := int64(binary.BigEndian.Uint64(raw) >> (bits - timeBits))
	return Key{Text: text, Deadline: time.UnixMilli(ms).Add(ownKeyLife)}, nil
}

// Print names the content of a request.
type Print [sha256.Size]byte

// PrintOf returns the print of the parts of a request.
func PrintOf(parts ...[]byte) Print {
	h := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Print(h.Sum(nil))
}

// Table holds the keyed requests of one incarnation.
type Table struct {
	mu      sync.Mutex
	entries map[string]*Entry
	// pruned is the latest deadline of an entry that was pruned. Keys up to it
	// stay expired if the clock is set back.
	pruned time.Time
	most   int
	budget budget
}

// Option configures a Table.
type Option func(*Table)

// WithLimits bounds the number of entries and the bytes of recorded answers.
func WithLimits(entries int, bytes int64) Option {
	return func(t *Table) {
		t.most = entries
		t.budget.most = bytes
	}
}

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{entries: map[string]*Entry{}, most: mostEntries, budget: budget{most: mostBytes}}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Begin returns the entry of a key of a team and whether the caller has to run
// its request. The error is ErrExpired, ErrBadKey, ErrReused or ErrFull.
func (t *Table) Begin(team string, key Key, content Print, now time.Time) (*Entry, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := entryName(team, key)
	if e := t.entries[name]; e != nil {
		if e.content != content {
			return nil, false, ErrReused
		}
		mine := e.restart()
		if mine {
			t.budget.release(e) // of the run before
		}
		return e, mine, nil
	}
	if !now.Before(key.Deadline) || !key.Deadline.After(t.pruned) {
		return nil, false, ErrExpired
	}
	life := ownKeyLife
	if key.IsIssued() {
		life = keyLife
	}
	if key.Deadline.After(now.Add(life + clockMargin)) {
		return nil, false, errors.Wrap(ErrBadKey, "deadline too far ahead")
	}
	if len(t.entries) >= t.most {
		return nil, false, ErrFull
	}
	e := &Entry{
		budget: &t.budget, deadline: key.Deadline, content: content,
		operationID: rand.Text(), changed: make(chan struct{}),
	}
	t.entries[name] = e
	return e, true, nil
}

func entryName(team string, key Key) string { return team + "/" + key.Text }

// Forget removes a key that another home answers for.
func (t *Table) Forget(team string, key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(entryName(team, key))
}

// Prune removes finished entries past their deadline.
func (t *Table) Prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.entries {
		if now.Before(e.deadline) || !e.isEnded() {
			continue
		}
		if e.deadline.After(t.pruned) {
			t.pruned = e.deadline
		}
		t.remove(name)
	}
}

func (t *Table) remove(name string) {
	if e := t.entries[name]; e != nil {
		t.budget.release(e)
		delete(t.entries, name)
	}
}
