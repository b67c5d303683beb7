// Package deduper deduplicates requests by a request key (idempotency key): all
// sends of one request are handled by one incarnation of an instance, the home of
// the key, so that a request that may not be repeated runs at most once. There are
// two kinds of keys. An issued key is made by an instance and contains its home. A
// caller key is made by the caller; it is bound to a home by a claim, a row in the
// table service, before the request starts.
//
// Every key contains a deadline. An issued key is valid for issuedKeyTTL, and a
// caller key, a UUID of version 7, for callerKeyTTL from the time in it. Entries
// and claims are kept at least until that deadline, and a key past its deadline is
// refused. A request whose entry or claim has been deleted therefore never starts
// again, as long as the clocks of two instances differ by less than maxClockSkew.
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
	// ErrBadKey reports that a request key is malformed.
	ErrBadKey = errors.New("malformed request key")
	// ErrExpired reports that a key is past its deadline, so that the outcome of its
	// request is no longer known.
	ErrExpired = errors.New("request key expired")
	// ErrReused reports that a key was first sent with a different request.
	ErrReused = errors.New("request key belongs to another request")
	// ErrFull reports that the table has no room for another key.
	ErrFull = errors.New("too many request keys")
)

const (
	issuedPrefix     = "cr1"
	issuedKeyTTL     = 10 * time.Minute
	callerKeyTTL     = time.Hour
	maxClockSkew     = 5 * time.Minute
	maxKeyBytes      = 200
	maxEntries       = 100_000
	maxRecordedBytes = 64 << 20 // of the recorded answers of all entries
)

// Home identifies the one incarnation of an instance that may start a request.
type Home struct {
	Instance    string
	Incarnation string
}

// Key is a parsed request key: a key issued by an instance, or a caller key, which the
// caller generated itself. Home is zero for a caller key.
type Key struct {
	Text     string
	Home     Home
	Deadline time.Time
}

// IsIssued reports whether the key was issued by an instance.
func (k Key) IsIssued() bool { return k.Home != Home{} }

// Issue returns a new key for home.
func Issue(home Home, now time.Time) string {
	deadline := strconv.FormatInt(now.Add(issuedKeyTTL).UnixMilli(), 36)
	return strings.Join([]string{issuedPrefix, home.Instance, home.Incarnation, deadline, rand.Text()}, "_")
}

// ParseKey parses a key. The error is ErrBadKey.
func ParseKey(text string) (Key, error) {
	if len(text) > maxKeyBytes || strings.ContainsFunc(text, isForbidden) {
		return Key{}, errors.Wrapf(ErrBadKey, "%.40q", text)
	}
	if rest, isIssued := strings.CutPrefix(text, issuedPrefix+"_"); isIssued {
		return parseIssued(text, rest)
	}
	return parseCallerKey(text)
}

// isForbidden reports whether a character may not be part of a key: keys consist of
// graphic ASCII characters, without the separator of entry names and row keys.
func isForbidden(c rune) bool { return c <= ' ' || c > '~' || c == '/' }

// parseIssued parses INSTANCE_INCARNATION_DEADLINE_RANDOM. The ID of an instance
// may contain the separator.
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

// parseCallerKey parses a UUID of version 7; the deadline follows from the time in it.
// The UUID must be in lower case, so that each UUID has only one spelling as a key.
func parseCallerKey(text string) (Key, error) {
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
	return Key{Text: text, Deadline: time.UnixMilli(ms).Add(callerKeyTTL)}, nil
}

// Digest is the digest of the content of a request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of the parts of a request.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Digest(h.Sum(nil))
}

// Table holds the keyed requests of one incarnation of an instance.
type Table struct {
	mu      sync.Mutex
	entries map[string]*Entry
	// prunedUntil is the latest deadline of an entry that was pruned. Keys with a
	// deadline up to it remain expired even if the clock is set back.
	prunedUntil time.Time
	limit       int // entries
	budget      budget
}

// Option configures a Table.
type Option func(*Table)

// WithLimits bounds the number of entries and the total bytes of recorded answers.
func WithLimits(entries int, bytes int64) Option {
	return func(t *Table) {
		t.limit = entries
		t.budget.limit = bytes
	}
}

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{entries: map[string]*Entry{}, limit: maxEntries, budget: budget{limit: maxRecordedBytes}}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Begin returns the entry for a key of a team and whether the request must be run
// by the caller of Begin. The error is ErrExpired, ErrBadKey, ErrReused or ErrFull.
func (t *Table) Begin(team string, key Key, digest Digest, now time.Time) (*Entry, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := entryName(team, key)
	if e := t.entries[name]; e != nil {
		if e.digest != digest {
			return nil, false, ErrReused
		}
		mustRun := e.restart()
		if mustRun {
			t.budget.release(e) // the answer of the previous run
		}
		return e, mustRun, nil
	}
	if !now.Before(key.Deadline) || !key.Deadline.After(t.prunedUntil) {
		return nil, false, ErrExpired
	}
	ttl := callerKeyTTL
	if key.IsIssued() {
		ttl = issuedKeyTTL
	}
	if key.Deadline.After(now.Add(ttl + maxClockSkew)) {
		return nil, false, errors.Wrap(ErrBadKey, "deadline too far ahead")
	}
	if len(t.entries) >= t.limit {
		return nil, false, ErrFull
	}
	e := &Entry{
		budget: &t.budget, deadline: key.Deadline, digest: digest,
		operationID: rand.Text(), changed: make(chan struct{}),
	}
	t.entries[name] = e
	return e, true, nil
}

func entryName(team string, key Key) string { return team + "/" + key.Text }

// Forget removes a key whose request must not run here, because another home or an
// earlier entry has claimed the key.
func (t *Table) Forget(team string, key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(entryName(team, key))
}

// Prune removes the entries that have ended and are past their deadline.
func (t *Table) Prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.entries {
		if now.Before(e.deadline) || !e.isEnded() {
			continue
		}
		if e.deadline.After(t.prunedUntil) {
			t.prunedUntil = e.deadline
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
