// Package configurer keeps the settings tree: it accepts changes by conditional
// transactions in the table service, and brings the accepted revision into
// force at this instance.
package configurer

import (
	"encoding/json"

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

func (e *ConflictError) Error() string { return "settings path " + e.Path + " has another version" }

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

const (
	settingsTable  = "settings"
	revisionTable  = "settings-revision"
	revisionKey    = "revision"
	changeAttempts = 8
)

// stored is the value of a settings row.
type stored struct {
	Revision    int64
	OperationID string
	Deleted     bool
	Value       json.RawMessage
}

// storedRevision is the value of the revision row.
type storedRevision struct {
	Revision int64
}

// Configurer changes and follows the settings in the table service.
type Configurer struct {
	tables *transactor.Client
	tree   *Tree
}

// New returns a configurer that fills tree.
func New(tables *transactor.Client, tree *Tree) *Configurer {
	return &Configurer{tables: tables, tree: tree}
}

// Poll brings the tree up to the revision of the table service.
func (c *Configurer) Poll() error {
	revision, _, err := c.readRevision()
	if err != nil {
		return err
	}
	if revision <= c.tree.Revision() {
		return nil
	}
	return c.reload()
}

func (c *Configurer) readRevision() (revision, version int64, err error) {
	row, err := c.tables.Get(revisionTable, revisionKey)
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
	rows, err := c.tables.Scan(settingsTable, "")
	if err != nil {
		return err
	}
	entries := make([]messenger.SettingEntry, 0, len(rows))
	var revision int64
	for _, row := range rows {
		entry, err := decodeRow(row)
		if err != nil {
			return err
		}
		revision = max(revision, entry.Revision)
		entries = append(entries, entry)
	}
	c.tree.Merge(entries, revision)
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

// Check reports what is wrong with a change that an operator asks for. The
// error is ErrBadPath, ErrForbidden or ErrBadValue.
func Check(operator Operator, changes []messenger.SettingChange) error {
	if len(changes) == 0 {
		return errors.Wrap(ErrBadValue, "no changes")
	}
	seen := map[string]bool{}
	for _, change := range changes {
		path, err := ParsePath(change.Path)
		if err != nil {
			return err
		}
		if !operator.MayChange(path) {
			return errors.Wrap(ErrForbidden, change.Path)
		}
		if seen[change.Path] {
			return errors.Wrapf(ErrBadValue, "%s is changed twice", change.Path)
		}
		seen[change.Path] = true
		if change.Delete {
			continue
		}
		if err := CheckValue(path, change.Value); err != nil {
			return errors.Wrap(err, change.Path)
		}
	}
	return nil
}

// Change accepts checked changes together or not at all and returns their
// revision. The error is ErrConflict, ErrUnknownOutcome or
// transactor.ErrUnavailable.
func (c *Configurer) Change(req messenger.ChangeRequest) (int64, error) {
	unknown := false
	for range changeAttempts {
		revision, err := c.try(req)
		switch {
		case err == nil:
			return revision, c.reload()
		case errors.Is(err, transactor.ErrConflict):
			continue // another operator was first; the versions decide
		case errors.Is(err, transactor.ErrUnknownOutcome):
			unknown = true
			continue
		case unknown:
			return 0, errors.Wrap(ErrUnknownOutcome, err.Error())
		default:
			return 0, err
		}
	}
	if unknown {
		return 0, ErrUnknownOutcome
	}
	return 0, errors.Wrap(transactor.ErrUnavailable, "too many changes at once")
}

// try makes one attempt at a change. An earlier attempt that took effect is
// found by its operation ID.
func (c *Configurer) try(req messenger.ChangeRequest) (int64, error) {
	revision, version, err := c.readRevision()
	if err != nil {
		return 0, err
	}
	tx := messenger.TransactRequest{
		OperationID: req.OperationID,
		Conditions:  []messenger.Condition{{Table: revisionTable, Key: revisionKey, Version: version}},
	}
	for _, change := range req.Changes {
		row, err := c.tables.Get(settingsTable, change.Path)
		if err != nil {
			return 0, err
		}
		present, err := c.visible(row)
		if err != nil {
			return 0, err
		}
		if present.OperationID == req.OperationID && row.Version > 0 {
			return present.Revision, nil
		}
		if visibleVersion(row, present) != change.Version {
			return 0, &ConflictError{Path: change.Path, Version: visibleVersion(row, present)}
		}
		tx.Conditions = append(tx.Conditions, messenger.Condition{Table: settingsTable, Key: change.Path, Version: row.Version})
		value, err := json.Marshal(stored{
			Revision: revision + 1, OperationID: req.OperationID, Deleted: change.Delete, Value: change.Value,
		})
		if err != nil {
			return 0, errors.Wrap(ErrBadValue, err.Error())
		}
		tx.Writes = append(tx.Writes, messenger.Write{Table: settingsTable, Key: change.Path, Value: value})
	}
	value, err := json.Marshal(storedRevision{Revision: revision + 1})
	if err != nil {
		return 0, errors.Wrap(ErrBadValue, err.Error())
	}
	tx.Writes = append(tx.Writes, messenger.Write{Table: revisionTable, Key: revisionKey, Value: value})
	return revision + 1, c.tables.Transact(tx)
}

func (c *Configurer) visible(row messenger.Row) (stored, error) {
	var s stored
	if row.Version == 0 {
		return s, nil
	}
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return s, errors.Wrapf(err, "settings row %s", row.Key)
	}
	return s, nil
}

// visibleVersion is the version that an operator names: 0 for a deleted path.
func visibleVersion(row messenger.Row, s stored) int64 {
	if s.Deleted {
		return 0
	}
	return row.Version
}
