package deduper

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// ErrClaimUnavailable tells that a claim could not be settled; the request was
// not started by this call.
var ErrClaimUnavailable = errors.New("request key cannot be claimed now")

const (
	claimTable     = "claims"
	claimAttempts  = 3
	claimKeepsLife = time.Hour
)

// claim is the value of a row that binds a caller's own key to a home.
type claim struct {
	Instance    string
	Incarnation string
	OperationID string
	Deadline    time.Time
}

// Claimer claims callers' own keys in the table service.
type Claimer struct {
	home   Home
	tables *transactor.Client
	now    func() time.Time
}

// NewClaimer returns a claimer for the incarnation home.
func NewClaimer(home Home, tables *transactor.Client) *Claimer {
	return &Claimer{home: home, tables: tables, now: time.Now}
}

// Claimed is the result of a claim. Fresh tells that this very call bound the
// key, so that the request was never started before.
type Claimed struct {
	Home  Home
	Fresh bool
}

// Claim binds a key to this home, or finds the home that it is bound to. An
// answer that was lost is settled by a further conditional write, which meets
// the first one. The error is ErrClaimUnavailable.
func (c *Claimer) Claim(team string, key Key, operationID string) (Claimed, error) {
	name := team + "/" + key.Text
	value, err := json.Marshal(claim{
		Instance: c.home.Instance, Incarnation: c.home.Incarnation,
		OperationID: operationID, Deadline: c.now().Add(claimKeepsLife),
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
