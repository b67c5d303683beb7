package lender

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestRules checks rules one by one that the random sequences of TestShares test too
// rarely.
func TestRules(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := Member{Instance: "a"}, Member{Instance: "b"}
	ask := map[string]LoanRequest{team: {Part: 1, Weight: 1}}
	newOwner := func() *Lender {
		l := New(a)
		l.Adopt(now, Roster{Number: 1, Members: []Member{a, b}})
		return l
	}
	assertPart := func(t *testing.T, l *Lender, at time.Time, want float64) {
		t.Helper()
		part, _ := l.Share(at, team)
		assert.InDelta(t, want, part, 1e-9)
	}
	t.Run("an owner without confirmation has no part", func(t *testing.T) {
		assertPart(t, newOwner(), now, 0)
	})
	t.Run("a confirmation counts from the sending of the heartbeat", func(t *testing.T) {
		l := newOwner()
		l.HandleAnswer(now.Add(2*time.Second), now, b, 1, nil)
		assertPart(t, l, now.Add(confirmationTTL-1), 0.5)
		assertPart(t, l, now.Add(confirmationTTL), 0)
	})
	t.Run("a member that acknowledged a later roster confirms no earlier one", func(t *testing.T) {
		l := newOwner()
		l.HandleAnswer(now, now, b, 1, nil)
		l.HandleAnswer(now, now, b, 2, nil)
		assertPart(t, l, now, 0)
	})
	t.Run("no loan outlives the confirmation", func(t *testing.T) {
		l := newOwner()
		l.ConfirmFromStore(now, 1)
		assert.Equal(t, Parts{team: 0.5}, l.Lend(now.Add(confirmationTTL-loanTTL), b, ask, nil))
		assert.Empty(t, l.Lend(now.Add(confirmationTTL-loanTTL+1), b, ask, nil))
	})
	t.Run("a roster is acknowledged once earlier loans have expired", func(t *testing.T) {
		l := newOwner()
		later := now.Add(loanTTL)
		l.Adopt(later, Roster{Number: 2, Members: []Member{a, b, {Instance: "c"}}, Previous: []Member{a, b}})
		assert.EqualValues(t, 1, l.AckedRoster(later.Add(loanTTL-1)))
		assert.EqualValues(t, 2, l.AckedRoster(later.Add(loanTTL)))
	})
	t.Run("the lifetime of a loan counts from the request of the borrower", func(t *testing.T) {
		l := New(a)
		l.HandleAnswer(now, now.Add(-loanTTL/2), b, 0, Parts{team: 0.3})
		assertPart(t, l, now, 0.3)
		assertPart(t, l, now.Add(loanTTL/2), 0)
	})
}
