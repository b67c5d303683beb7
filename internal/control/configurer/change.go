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
	// changeTime bounds how long a change is tried.
	changeTime = 5 * time.Second
	// touchTime bounds how long a change waits for enough peers to be heard.
	touchTime  = 2 * time.Second
	touchPoll  = 50 * time.Millisecond
	retryPause = 30 * time.Millisecond
)

// errOvertaken tells that the settings moved on during an attempt.
var errOvertaken = errors.New("settings changed meanwhile")

// Change accepts checked changes together or not at all and returns their
// revision. A repeated call with the same operation ID and changes returns the
// revision of the first. The error is ErrConflict, ErrBadValue,
// ErrUnknownOutcome or transactor.ErrUnavailable; nothing was changed unless it
// is ErrUnknownOutcome.
func (c *Configurer) Change(req messenger.ChangeRequest) (int64, error) {
	digest, err := digestOf(req.Changes)
	if err != nil {
		return 0, err
	}
	if !c.awaitTouch() {
		return 0, errors.Wrap(transactor.ErrUnavailable, "too few peers are heard")
	}
	deadline := c.now().Add(changeTime)
	unknown := false
	for {
		revision, err := c.try(req, digest)
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, transactor.ErrUnknownOutcome):
			unknown = true
		case errors.Is(err, ErrConflict), errors.Is(err, ErrBadValue):
			return 0, err
		case errors.Is(err, transactor.ErrConflict), errors.Is(err, errOvertaken):
			// Another operator was first; the versions decide.
		case !unknown:
			return 0, err
		}
		if !c.now().Before(deadline) {
			return 0, givenUp(unknown)
		}
		c.sleep(rand.N(retryPause))
	}
}

func givenUp(unknown bool) error {
	if unknown {
		return ErrUnknownOutcome
	}
	return errors.Wrap(transactor.ErrUnavailable, "too many changes at once")
}

func (c *Configurer) awaitTouch() bool {
	deadline := c.now().Add(touchTime)
	for !c.inTouch() {
		if !c.now().Before(deadline) {
			return false
		}
		c.sleep(touchPoll)
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

// try makes one attempt at a change. An earlier attempt that took effect is
// found by its operation ID. The operation ID is read after the tree: whatever
// hides the change from the tree has hidden it from the operation ID too.
func (c *Configurer) try(req messenger.ChangeRequest, digest string) (int64, error) {
	revision, version, err := c.readRevision()
	if err != nil {
		return 0, err
	}
	if err := c.follow(revision); err != nil {
		return 0, err
	}
	known, at := c.tree.snapshot()
	var done storedOperation
	isDone, err := c.read(operationTable, req.OperationID, &done)
	switch {
	case err != nil:
		return 0, err
	case isDone && done.Digest != digest:
		return 0, errors.Wrapf(ErrBadValue, "operation ID %.40q stands for another change", req.OperationID)
	case isDone:
		return done.Revision, nil
	case at != revision:
		return 0, errOvertaken
	}
	if err := checkVersions(known, req.Changes); err != nil {
		return 0, err
	}
	if err := checkReferences(known, req.Changes); err != nil {
		return 0, err
	}
	changed := apply(known, req.Changes, revision+1)
	tx, err := c.compose(req, digest, version, known, changed)
	if err != nil {
		return 0, err
	}
	if err := c.transact(tx); err != nil {
		return 0, err
	}
	c.tree.Merge(messenger.SettingsSince{After: revision, Revision: revision + 1, Entries: changed})
	return revision + 1, nil
}

func checkVersions(known entries, changes []messenger.SettingChange) error {
	for _, change := range changes {
		if version := known.version(change.Path); version != change.Version {
			return &ConflictError{Path: change.Path, Version: version}
		}
	}
	return nil
}

// apply returns the entries that changes make.
func apply(known entries, changes []messenger.SettingChange, revision int64) []messenger.SettingEntry {
	changed := make([]messenger.SettingEntry, 0, len(changes))
	for _, change := range changes {
		entry := messenger.SettingEntry{
			Path: change.Path, Version: known[change.Path].Version + 1, Revision: revision, Deleted: change.Delete, Value: change.Value,
		}
		if change.Delete {
			entry.Value = json.RawMessage("null")
		}
		changed = append(changed, entry)
	}
	return changed
}

// compose returns the transaction of a change: the revision row, the changed
// paths, the change and its operation ID, and the end of the oldest kept change.
func (c *Configurer) compose(
	req messenger.ChangeRequest, digest string, version int64, known entries, changed []messenger.SettingEntry,
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
		tx.Conditions = append(tx.Conditions, messenger.Condition{Table: settingsTable, Key: e.Path, Version: known[e.Path].Version})
		err := addWrite(&tx, settingsTable, e.Path, stored{Revision: revision, Deleted: e.Deleted, Value: e.Value})
		if err != nil {
			return tx, err
		}
	}
	err := firstFault(
		addWrite(&tx, revisionTable, revisionKey, storedRevision{Revision: revision}),
		addWrite(&tx, changeTable, changeKey(revision), storedChange{OperationID: req.OperationID, Entries: changed}),
		addWrite(&tx, operationTable, req.OperationID, storedOperation{Revision: revision, Digest: digest}),
	)
	if err != nil {
		return tx, err
	}
	return tx, c.addPrune(&tx, revision-changesKept)
}

func addWrite(tx *messenger.TransactRequest, table, key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(ErrBadValue, err.Error())
	}
	tx.Writes = append(tx.Writes, messenger.Write{Table: table, Key: key, Value: text})
	return nil
}

// addPrune deletes the rows of an old change.
func (c *Configurer) addPrune(tx *messenger.TransactRequest, revision int64) error {
	if revision <= 0 {
		return nil
	}
	var old storedChange
	known, err := c.read(changeTable, changeKey(revision), &old)
	if err != nil || !known {
		return err
	}
	tx.Writes = append(tx.Writes,
		messenger.Write{Table: changeTable, Key: changeKey(revision), Delete: true},
		messenger.Write{Table: operationTable, Key: old.OperationID, Delete: true})
	return nil
}
