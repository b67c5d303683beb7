package lender

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestRules checks one by one the rules that sequences drawn at random break too
// seldom.
func TestRules(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := Member{Instance: "a"}, Member{Instance: "b"}
	ask := map[string]Ask{team: {Part: 1, Weight: 1}}
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
	t.Run("an owner needs somebody to vouch", func(t *testing.T) {
		assertPart(t, newOwner(), now, 0)
	})
	t.Run("vouching counts from the sending of the heartbeat", func(t *testing.T) {
		l := newOwner()
		l.Hear(now.Add(2*time.Second), now, b, 1, nil)
		assertPart(t, l, now.Add(vouchTime-1), 0.5)
		assertPart(t, l, now.Add(vouchTime), 0)
	})
	t.Run("who acknowledged a later roster does not vouch", func(t *testing.T) {
		l := newOwner()
		l.Hear(now, now, b, 1, nil)
		l.Hear(now, now, b, 2, nil)
		assertPart(t, l, now, 0)
	})
	t.Run("no loan outlives the vouching", func(t *testing.T) {
		l := newOwner()
		l.Read(now, 1)
		assert.Equal(t, Parts{team: 0.5}, l.Lend(now.Add(vouchTime-loanTime), b, ask, nil))
		assert.Empty(t, l.Lend(now.Add(vouchTime-loanTime+1), b, ask, nil))
	})
	t.Run("a roster is acknowledged once the loans from before it have lapsed", func(t *testing.T) {
		l := newOwner()
		later := now.Add(loanTime)
		l.Adopt(later, Roster{Number: 2, Members: []Member{a, b, {Instance: "c"}}, Previous: []Member{a, b}})
		assert.EqualValues(t, 1, l.Acked(later.Add(loanTime-1)))
		assert.EqualValues(t, 2, l.Acked(later.Add(loanTime)))
	})
	t.Run("a loan ends at the borrower by its own request", func(t *testing.T) {
		l := New(a)
		l.Hear(now, now.Add(-loanTime/2), b, 0, Parts{team: 0.3})
		assertPart(t, l, now, 0.3)
		assertPart(t, l, now.Add(loanTime/2), 0)
	})
}
