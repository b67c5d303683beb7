package deduper

import (
	"crypto/rand"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// ErrClaimUnavailable tells that a claim could not be settled; the request was
// not started by this call.
var ErrClaimUnavailable = errors.New("request key cannot be claimed now")

const (
	claimTable    = "claims"
	claimAttempts = 3
	// claimBucket is the span of deadlines whose claims share the first part of
	// their row keys, so that they are found together when they are pruned.
	claimBucket = 10 * time.Minute
	// pruneReach is how far back a new pruner looks for claims left by others.
	pruneReach   = 24 * time.Hour
	mostDeletes  = 100 // in one transaction
	mostPerPrune = 20  // scans and transactions in one call of Prune
)

// claim is the value of a row that binds a caller's own key to a home.
type claim struct {
	Instance    string
	Incarnation string
	OperationID string
}

// bucket returns the first part of the row keys of claims with a deadline.
func bucket(deadline time.Time) int64 {
	return deadline.Unix() / int64(claimBucket/time.Second)
}

func bucketPrefix(bucket int64) string {
	return strconv.FormatInt(bucket, 10) + "/"
}

// Claimer claims callers' own keys in the table service.
type Claimer struct {
	home   Home
	tables *transactor.Client
	// pruned is the first bucket that may still hold claims; 0 before the first
	// call of Prune.
	pruned int64
}

// NewClaimer returns a claimer for the incarnation home.
func NewClaimer(home Home, tables *transactor.Client) *Claimer {
	return &Claimer{home: home, tables: tables}
}

// Claimed is the result of a claim. Fresh tells that this very call bound the
// entry's key, so that the request was never started before.
type Claimed struct {
	Home  Home
	Fresh bool
}

// Claim binds a key to this home, or finds the home that it is bound to. An
// answer that was lost is settled by a further conditional write, which meets
// the first one. The error is ErrClaimUnavailable.
func (c *Claimer) Claim(team string, key Key, operationID string) (Claimed, error) {
	name := bucketPrefix(bucket(key.Deadline)) + team + "/" + key.Text
	value, err := json.Marshal(claim{
		Instance: c.home.Instance, Incarnation: c.home.Incarnation,
		OperationID: operationID,
	})
	if err != nil {
		return Claimed{}, errors.Wrap(ErrClaimUnavailable, err.Error())
	}
	for range claimAttempts {
		err = c.tables.Transact(messenger.TransactRequest{
			OperationID: operationID,
			Conditions:  []messenger.Condition{{Table: claimTable, Key: name}},
			Writes:      []messenger.Write{{Table: claimTable, Key: name, Value: value}},
		})
		var conflict *transactor.ConflictError
		switch {
		case err == nil:
			return Claimed{Home: c.home, Fresh: true}, nil
		case errors.As(err, &conflict) && len(conflict.Rows) > 0:
			return claimedBy(conflict.Rows[0], operationID)
		case !errors.Is(err, transactor.ErrUnknownOutcome):
			return Claimed{}, errors.Wrap(ErrClaimUnavailable, err.Error())
		}
	}
	return Claimed{}, errors.Wrap(ErrClaimUnavailable, err.Error())
}

func claimedBy(row messenger.Row, operationID string) (Claimed, error) {
	var owner claim
	if err := json.Unmarshal(row.Value, &owner); err != nil {
		return Claimed{}, errors.Wrapf(ErrClaimUnavailable, "claim row %s: %v", row.Key, err)
	}
	return Claimed{
		Home:  Home{Instance: owner.Instance, Incarnation: owner.Incarnation},
		Fresh: owner.OperationID == operationID,
	}, nil
}

// Prune deletes the claims whose keys have been expired on all instances for
// some time. One caller at a time suffices; more do no harm. It ends early where
// there is much to delete, so as to leave the table service to requests.
func (c *Claimer) Prune(now time.Time) error {
	if c.pruned == 0 {
		c.pruned = bucket(now.Add(-pruneReach))
	}
	left := mostPerPrune
	for c.pruned < bucket(now.Add(-clockMargin)) {
		if left <= 0 {
			return nil
		}
		left--
		rows, err := c.tables.Scan(claimTable, bucketPrefix(c.pruned))
		if err != nil {
			return errors.Wrap(err, "scan claims")
		}
		for part := range slices.Chunk(rows, mostDeletes) {
			if left <= 0 {
				return nil
			}
			left--
			if err := c.deleteRows(part); err != nil {
				return err
			}
		}
		c.pruned++
	}
	return nil
}

func (c *Claimer) deleteRows(rows []messenger.Row) error {
	deletes := make([]messenger.Write, 0, len(rows))
	for _, row := range rows {
		deletes = append(deletes, messenger.Write{Table: claimTable, Key: row.Key, Delete: true})
	}
	err := c.tables.Transact(messenger.TransactRequest{OperationID: rand.Text(), Writes: deletes})
	if err != nil {
		return errors.Wrap(err, "delete claims")
	}
	return nil
}
