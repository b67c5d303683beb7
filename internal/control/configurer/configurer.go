// Package configurer manages the settings tree: it writes changes to the table service
// by conditional transactions, and updates this instance's copy of the tree to the
// latest accepted revision.
//
// The table service holds one row for the revision of the tree, one for each path,
// one for each of the latest changes, and one for the operation ID of each of the
// latest changes. The rows of changes let an instance that is a few changes behind
// read only those changes. The rows of operation IDs identify a change that is
// repeated because its answer was lost.
package configurer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

var (
	// ErrConflict means that the version of a path differs from the one in the change
	// request; nothing was changed.
	ErrConflict = errors.New("settings path has another version")
	// ErrUnknownOutcome means that a change may or may not have been accepted.
	ErrUnknownOutcome = errors.New("outcome of change unknown")
)

// ConflictError is an ErrConflict with the path and its current version.
type ConflictError struct {
	Path    string
	Version int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("settings path %s has version %d", e.Path, e.Version)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

const (
	settingsTable  = "settings"
	revisionTable  = "settings-revision"
	changeTable    = "settings-change"
	operationTable = "settings-operation"
	revisionKey    = "revision"
	// keptChanges is the number of latest changes whose row and operation ID are kept.
	keptChanges = 1000
	// maxIncrementalChanges bounds the changes that are read one by one; an instance
	// that is further behind reads the whole tree.
	maxIncrementalChanges = 16
)

// storedSetting is the value of a settings row.
type storedSetting struct {
	Revision int64
	Deleted  bool
	Value    json.RawMessage
}

// storedRevision is the value of the revision row.
type storedRevision struct {
	Revision int64
}

// storedChange is the value of the row of one change.
type storedChange struct {
	OperationID string
	Entries     []messenger.SettingEntry
}

// storedOperation is the value of the row of an operation ID. Digest is the digest of
// the changes, by which reuse of the ID for other changes is rejected.
type storedOperation struct {
	Revision int64
	Digest   string
}

// Configurer changes the settings in the table service and keeps a Tree up to date
// with them.
type Configurer struct {
	tree     *Tree
	get      func(table, key string) (messenger.Row, error)
	scan     func(table, prefix string) ([]messenger.Row, error)
	transact func(messenger.TransactRequest) error
	now      func() time.Time
	sleep    func(time.Duration)
	// reachesPeers reports whether this instance may accept changes: whether it
	// receives messages from enough of its peers.
	reachesPeers func() bool
}

// Option configures a Configurer.
type Option func(*Configurer)

// WithPeerCheck sets the condition for accepting changes: that this instance receives
// messages from enough of its peers.
func WithPeerCheck(reachesPeers func() bool) Option {
	return func(c *Configurer) { c.reachesPeers = reachesPeers }
}

// New returns a configurer that keeps tree up to date.
func New(tables *transactor.Client, tree *Tree, opts ...Option) *Configurer {
	c := &Configurer{
		tree: tree, get: tables.Get, scan: tables.Scan, transact: tables.Transact,
		now: time.Now, sleep: time.Sleep, reachesPeers: func() bool { return true },
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Poll updates the tree to the revision of the table service. It reads one row if
// nothing changed.
func (c *Configurer) Poll() error {
	revision, _, err := c.readRevision()
	if err != nil {
		return err
	}
	return c.advanceTo(revision)
}

// advanceTo updates the tree to a revision of the table service.
func (c *Configurer) advanceTo(revision int64) error {
	current := c.tree.Revision()
	if revision <= current {
		return nil
	}
	if current == 0 || revision-current > maxIncrementalChanges {
		return c.reload()
	}
	for r := current + 1; r <= revision; r++ {
		merged, err := c.mergeChange(r)
		if err != nil {
			return err
		}
		if !merged {
			return c.reload()
		}
	}
	return nil
}

// mergeChange reads one change and merges it into the tree. It reports whether the
// change is still stored and leaves no gap.
func (c *Configurer) mergeChange(revision int64) (bool, error) {
	var change storedChange
	found, err := c.read(changeTable, changeKey(revision), &change)
	if err != nil || !found {
		return false, err
	}
	return c.tree.Merge(messenger.SettingsSince{After: revision - 1, Revision: revision, Entries: change.Entries}), nil
}

// changeKey returns the key of a change's row. It has a fixed width, so that no key is
// a prefix of another.
func changeKey(revision int64) string {
	return fmt.Sprintf("%020d", revision)
}

// read decodes a row into out and reports whether the row exists.
func (c *Configurer) read(table, key string, out any) (bool, error) {
	row, err := c.get(table, key)
	if err != nil || row.Version == 0 {
		return false, err
	}
	if err := json.Unmarshal(row.Value, out); err != nil {
		return false, errors.Wrapf(err, "row %s of table %s", key, table)
	}
	return true, nil
}

// readRevision returns the revision of the tree and the version of its row; both are 0
// if no change has been accepted yet.
func (c *Configurer) readRevision() (revision, version int64, err error) {
	row, err := c.get(revisionTable, revisionKey)
	if err != nil || row.Version == 0 {
		return 0, 0, err
	}
	var value storedRevision
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return 0, 0, errors.Wrap(err, "revision row")
	}
	return value.Revision, row.Version, nil
}

// reload reads the whole tree. Each change writes its revision into at least one
// entry, so the highest revision of a scan is the revision of the tree.
func (c *Configurer) reload() error {
	rows, err := c.scan(settingsTable, "")
	if err != nil {
		return err
	}
	all := messenger.SettingsSince{Entries: make([]messenger.SettingEntry, 0, len(rows))}
	for _, row := range rows {
		entry, err := decodeRow(row)
		if err != nil {
			return err
		}
		all.Revision = max(all.Revision, entry.Revision)
		all.Entries = append(all.Entries, entry)
	}
	c.tree.Merge(all)
	return nil
}

func decodeRow(row messenger.Row) (messenger.SettingEntry, error) {
	var s storedSetting
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return messenger.SettingEntry{}, errors.Wrapf(err, "settings row %s", row.Key)
	}
	return messenger.SettingEntry{
		Path: row.Key, Version: row.Version, Revision: s.Revision, Deleted: s.Deleted, Value: s.Value,
	}, nil
}
