// Package configurer keeps the settings tree: it accepts changes by conditional
// transactions in the table service, and brings the accepted revision into
// force at this instance.
//
// The table service holds one row for the revision of the tree, one for each
// path, one for each of the latest changes, so that an instance that is a few
// changes behind reads only those, and one for the operation ID of each of the
// latest changes, so that a change whose answer was lost is found again.
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
	// ErrConflict tells that a path has another version than the change names;
	// nothing was changed.
	ErrConflict = errors.New("settings path has another version")
	// ErrUnknownOutcome tells that a change may have been accepted.
	ErrUnknownOutcome = errors.New("outcome of change unknown")
)

// ConflictError is ErrConflict with the path and its present version.
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
	// changesKept is the number of changes whose row and operation ID are kept.
	changesKept = 1000
	// mostFollowed is the number of changes up to which they are read one by one.
	mostFollowed = 16
)

// stored is the value of a settings row.
type stored struct {
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

// storedOperation is the value of the row of an operation ID. Digest is that of
// the changes, so that an operation ID stands for them alone.
type storedOperation struct {
	Revision int64
	Digest   string
}

// Configurer changes and follows the settings in the table service.
type Configurer struct {
	tree     *Tree
	get      func(table, key string) (messenger.Row, error)
	scan     func(table, prefix string) ([]messenger.Row, error)
	transact func(messenger.TransactRequest) error
	now      func() time.Time
	sleep    func(time.Duration)
	// inTouch reports whether this instance may accept changes.
	inTouch func() bool
}

// Option configures a Configurer.
type Option func(*Configurer)

// WithInTouch sets the condition for accepting changes: that this instance hears
// enough of its peers.
func WithInTouch(inTouch func() bool) Option {
	return func(c *Configurer) { c.inTouch = inTouch }
}

// New returns a configurer that fills tree.
func New(tables *transactor.Client, tree *Tree, opts ...Option) *Configurer {
	c := &Configurer{
		tree: tree, get: tables.Get, scan: tables.Scan, transact: tables.Transact,
		now: time.Now, sleep: time.Sleep, inTouch: func() bool { return true },
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Poll brings the tree up to the revision of the table service. It reads one row
// if nothing changed.
func (c *Configurer) Poll() error {
	revision, _, err := c.readRevision()
	if err != nil {
		return err
	}
	return c.follow(revision)
}

// follow brings the tree up to a revision of the table service.
func (c *Configurer) follow(revision int64) error {
	known := c.tree.Revision()
	if revision <= known {
		return nil
	}
	if known == 0 || revision-known > mostFollowed {
		return c.reload()
	}
	for r := known + 1; r <= revision; r++ {
		followed, err := c.followOne(r)
		if err != nil {
			return err
		}
		if !followed {
			return c.reload()
		}
	}
	return nil
}

// followOne takes over one change and reports whether it could.
func (c *Configurer) followOne(revision int64) (bool, error) {
	var change storedChange
	known, err := c.read(changeTable, changeKey(revision), &change)
	if err != nil || !known {
		return false, err
	}
	return c.tree.Merge(messenger.SettingsSince{After: revision - 1, Revision: revision, Entries: change.Entries}), nil
}

// changeKey has a fixed width, so that no key is the prefix of another.
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
// entry, so that the highest revision of a scan is the revision of the tree.
func (c *Configurer) reload() error {
	rows, err := c.scan(settingsTable, "")
	if err != nil {
		return err
	}
	set := messenger.SettingsSince{Entries: make([]messenger.SettingEntry, 0, len(rows))}
	for _, row := range rows {
		entry, err := decodeRow(row)
		if err != nil {
			return err
		}
		set.Revision = max(set.Revision, entry.Revision)
		set.Entries = append(set.Entries, entry)
	}
	c.tree.Merge(set)
	return nil
}

func decodeRow(row messenger.Row) (messenger.SettingEntry, error) {
	var s stored
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return messenger.SettingEntry{}, errors.Wrapf(err, "settings row %s", row.Key)
	}
	return messenger.SettingEntry{
		Path: row.Key, Version: row.Version, Revision: s.Revision, Deleted: s.Deleted, Value: s.Value,
	}, nil
}
