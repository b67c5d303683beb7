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

// ErrClaimUnavailable reports that the outcome of a claim could not be determined;
// the request was not started by this call.
var ErrClaimUnavailable = errors.New("request key cannot be claimed now")

const (
	claimTable       = "claims"
	maxClaimAttempts = 3
	// claimBucketSpan is the range of deadlines whose claims share a prefix of their
	// row keys, so that one scan finds them when they are pruned.
	claimBucketSpan = 10 * time.Minute
	// pruneLookback is how far back a new claimer searches for expired claims that
	// earlier claimers have not deleted.
	pruneLookback    = 24 * time.Hour
	maxDeletes       = 100 // in one transaction
	maxCallsPerPrune = 20  // scans and transactions in one call of Prune
)

// claim is the value of a row that binds a caller key to a home.
type claim struct {
	Instance    string
	Incarnation string
	OperationID string
}

// bucketOf returns the bucket of the claims with a deadline: the number of its span
// since the Unix epoch.
func bucketOf(deadline time.Time) int64 {
	return deadline.Unix() / int64(claimBucketSpan/time.Second)
}

// bucketPrefix returns the prefix of the row keys of the claims in a bucket.
func bucketPrefix(bucket int64) string {
	return strconv.FormatInt(bucket, 10) + "/"
}

// Claimer claims caller keys in the table service.
type Claimer struct {
	home   Home
	tables *transactor.Client
	// nextBucket is the first bucket that may still hold claims; 0 before the first
	// call of Prune.
	nextBucket int64
}

// NewClaimer returns a claimer that claims keys for home.
func NewClaimer(home Home, tables *transactor.Client) *Claimer {
	return &Claimer{home: home, tables: tables}
}

// Claimed is the result of a claim. Fresh is set if the key was bound by this call
// or an earlier one with the same operation ID, so that no other entry has started
// the request.
type Claimed struct {
	Home  Home
	Fresh bool
}

// Claim binds a key to this home, or returns the home to which it is bound. If the
// answer of the table service is lost, the conditional write is repeated: it
// conflicts with the first one if that was applied, and returns its row. The error
// is ErrClaimUnavailable.
func (c *Claimer) Claim(team string, key Key, operationID string) (Claimed, error) {
	rowKey := bucketPrefix(bucketOf(key.Deadline)) + team + "/" + key.Text
	value, err := json.Marshal(claim{
		Instance: c.home.Instance, Incarnation: c.home.Incarnation,
		OperationID: operationID,
	})
	if err != nil {
		return Claimed{}, errors.Wrap(ErrClaimUnavailable, err.Error())
	}
	for range maxClaimAttempts {
		err = c.tables.Transact(messenger.TransactRequest{
			OperationID: operationID,
			Conditions:  []messenger.Condition{{Table: claimTable, Key: rowKey}},
			Writes:      []messenger.Write{{Table: claimTable, Key: rowKey, Value: value}},
		})
		var conflict *transactor.ConflictError
		switch {
		case err == nil:
			return Claimed{Home: c.home, Fresh: true}, nil
		case errors.As(err, &conflict) && len(conflict.Rows) > 0:
			return claimedByRow(conflict.Rows[0], operationID)
		case !errors.Is(err, transactor.ErrUnknownOutcome):
			return Claimed{}, errors.Wrap(ErrClaimUnavailable, err.Error())
		}
	}
	return Claimed{}, errors.Wrap(ErrClaimUnavailable, err.Error())
}

// claimedByRow returns the result of a claim that conflicts with an existing row.
func claimedByRow(row messenger.Row, operationID string) (Claimed, error) {
	var owner claim
	if err := json.Unmarshal(row.Value, &owner); err != nil {
		return Claimed{}, errors.Wrapf(ErrClaimUnavailable, "claim row %s: %v", row.Key, err)
	}
	return Claimed{
		Home:  Home{Instance: owner.Instance, Incarnation: owner.Incarnation},
		Fresh: owner.OperationID == operationID,
	}, nil
}

// Prune deletes claims whose keys have expired on all instances, allowing for clock
// skew. It suffices that one instance at a time calls it; concurrent calls by
// several are harmless. The work of one call is bounded, to leave capacity of the
// table service for requests; the next call continues.
func (c *Claimer) Prune(now time.Time) error {
	if c.nextBucket == 0 {
		c.nextBucket = bucketOf(now.Add(-pruneLookback))
	}
	remaining := maxCallsPerPrune
	for c.nextBucket < bucketOf(now.Add(-maxClockSkew)) {
		if remaining <= 0 {
			return nil
		}
		remaining--
		rows, err := c.tables.Scan(claimTable, bucketPrefix(c.nextBucket))
		if err != nil {
			return errors.Wrap(err, "scan claims")
		}
		for batch := range slices.Chunk(rows, maxDeletes) {
			if remaining <= 0 {
				return nil
			}
			remaining--
			if err := c.deleteRows(batch); err != nil {
				return err
			}
		}
		c.nextBucket++
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
