package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// changeTimeout bounds the attempts at a change.
	changeTimeout = 5 * time.Second
	// peersTimeout bounds the time for which a change waits until enough peers are
	// reachable.
	peersTimeout      = 2 * time.Second
	peersPollInterval = 50 * time.Millisecond
	maxRetryDelay     = 30 * time.Millisecond
)

// errSettingsChanged means that the revision changed during an attempt.
var errSettingsChanged = errors.New("settings changed meanwhile")

// Change applies all changes of a request atomically and returns their revision. The
// request must have passed Check. A repeated call with the same operation ID and
// changes returns the revision of the first one. The error is ErrConflict,
// ErrBadValue, ErrUnknownOutcome or transactor.ErrUnavailable, or that of a stored row
// that cannot be decoded; nothing was changed unless it is ErrUnknownOutcome.
func (c *Configurer) Change(req messenger.ChangeRequest) (int64, error) {
	digest, err := digestOf(req.Changes)
	if err != nil {
		return 0, err
	}
	if !c.awaitPeers() {
		return 0, errors.Wrap(transactor.ErrUnavailable, "too few peers are heard")
	}
	deadline := c.now().Add(changeTimeout)
	unknown := false
	for {
		revision, err := c.tryChange(req, digest)
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, transactor.ErrUnknownOutcome):
			unknown = true
		case errors.Is(err, ErrConflict), errors.Is(err, ErrBadValue):
			return 0, err
		case errors.Is(err, transactor.ErrConflict), errors.Is(err, errSettingsChanged):
			// Another change was accepted first; the next attempt compares the versions.
		case !unknown:
			return 0, err
		}
		if !c.now().Before(deadline) {
			return 0, timeoutError(unknown)
		}
		c.sleep(rand.N(maxRetryDelay))
	}
}

// timeoutError returns the error of a change that was not accepted in time; unknown
// means that an attempt had an unknown outcome.
func timeoutError(unknown bool) error {
	if unknown {
		return ErrUnknownOutcome
	}
	return errors.Wrap(transactor.ErrUnavailable, "too many changes at once")
}

// awaitPeers waits until this instance may accept changes, and reports whether it may.
func (c *Configurer) awaitPeers() bool {
	deadline := c.now().Add(peersTimeout)
	for !c.reachesPeers() {
		if !c.now().Before(deadline) {
			return false
		}
		c.sleep(peersPollInterval)
	}
	return true
}

func digestOf(changes []messenger.SettingChange) (string, error) {
	text, err := json.Marshal(changes)
	if err != nil {
		return "", errors.Wrap(ErrBadValue, err.Error())
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}

// tryChange makes one attempt at a change. It detects an earlier attempt that took
// effect by its operation ID. It reads the operation ID after it has updated the tree:
// an attempt that the tree contains is then found by its operation ID, and is not
// mistaken for a conflict with another change.
func (c *Configurer) tryChange(req messenger.ChangeRequest, digest string) (int64, error) {
	revision, version, err := c.readRevision()
	if err != nil {
		return 0, err
	}
	if err := c.advanceTo(revision); err != nil {
		return 0, err
	}
	current, treeRevision := c.tree.snapshot()
	var done storedOperation
	isDone, err := c.read(operationTable, req.OperationID, &done)
	switch {
	case err != nil:
		return 0, err
	case isDone && done.Digest != digest:
		return 0, errors.Wrapf(ErrBadValue, "operation ID %.40q stands for another change", req.OperationID)
	case isDone:
		return done.Revision, nil
	case treeRevision != revision:
		return 0, errSettingsChanged
	}
	if err := checkVersions(current, req.Changes); err != nil {
		return 0, err
	}
	if err := checkReferences(current, req.Changes); err != nil {
		return 0, err
	}
	changed := apply(current, req.Changes, revision+1)
	tx, err := c.compose(req, digest, version, current, changed)
	if err != nil {
		return 0, err
	}
	if err := c.transact(tx); err != nil {
		return 0, err
	}
	c.tree.Merge(messenger.SettingsSince{After: revision, Revision: revision + 1, Entries: changed})
	return revision + 1, nil
}

func checkVersions(current entries, changes []messenger.SettingChange) error {
	for _, change := range changes {
		if version := current.version(change.Path); version != change.Version {
			return &ConflictError{Path: change.Path, Version: version}
		}
	}
	return nil
}

// apply returns the entries that result from changes.
func apply(current entries, changes []messenger.SettingChange, revision int64) []messenger.SettingEntry {
	changed := make([]messenger.SettingEntry, 0, len(changes))
	for _, change := range changes {
		entry := messenger.SettingEntry{
			Path: change.Path, Version: current[change.Path].Version + 1, Revision: revision, Deleted: change.Delete, Value: change.Value,
		}
		if change.Delete {
			entry.Value = json.RawMessage("null")
		}
		changed = append(changed, entry)
	}
	return changed
}

// compose returns the transaction of a change: it writes the revision row, the
// changed paths, the change and its operation ID, and deletes the oldest kept change.
func (c *Configurer) compose(
	req messenger.ChangeRequest, digest string, version int64, current entries, changed []messenger.SettingEntry,
) (messenger.TransactRequest, error) {
	tx := messenger.TransactRequest{
		OperationID: req.OperationID,
		Conditions: []messenger.Condition{
			{Table: revisionTable, Key: revisionKey, Version: version},
			{Table: operationTable, Key: req.OperationID},
		},
	}
	revision := changed[0].Revision
	for _, e := range changed {
		tx.Conditions = append(tx.Conditions, messenger.Condition{Table: settingsTable, Key: e.Path, Version: current[e.Path].Version})
		err := addWrite(&tx, settingsTable, e.Path, storedSetting{Revision: revision, Deleted: e.Deleted, Value: e.Value})
		if err != nil {
			return tx, err
		}
	}
	err := firstError(
		addWrite(&tx, revisionTable, revisionKey, storedRevision{Revision: revision}),
		addWrite(&tx, changeTable, changeKey(revision), storedChange{OperationID: req.OperationID, Entries: changed}),
		addWrite(&tx, operationTable, req.OperationID, storedOperation{Revision: revision, Digest: digest}),
	)
	if err != nil {
		return tx, err
	}
	return tx, c.pruneChange(&tx, revision-keptChanges)
}

func addWrite(tx *messenger.TransactRequest, table, key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(ErrBadValue, err.Error())
	}
	tx.Writes = append(tx.Writes, messenger.Write{Table: table, Key: key, Value: text})
	return nil
}

// pruneChange adds the deletion of the rows of an old change to a transaction.
func (c *Configurer) pruneChange(tx *messenger.TransactRequest, revision int64) error {
	if revision <= 0 {
		return nil
	}
	var old storedChange
	found, err := c.read(changeTable, changeKey(revision), &old)
	if err != nil || !found {
		return err
	}
	tx.Writes = append(tx.Writes,
		messenger.Write{Table: changeTable, Key: changeKey(revision), Delete: true},
		messenger.Write{Table: operationTable, Key: old.OperationID, Delete: true})
	return nil
}
