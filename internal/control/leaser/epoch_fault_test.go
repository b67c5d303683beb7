package leaser

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// restoredStore returns a store that came back from a copy without a lease, and two leasers that have observed the epoch.
func restoredStore(t *testing.T) (s *copiedStore, a, b *Leaser) {
	t.Helper()
	s = newCopiedStore(5)
	a, b = s.start("a"), s.start("b")
	before := s.Copy()
	s.acquire(t, a)
	require.NoError(t, b.Tick())
	s.Restore(before)
	b.ObserveEpoch(s.Epoch)
	return s, a, b
}

// pass lets time pass while leasers tick.
func (s *copiedStore) pass(d time.Duration, leasers ...*Leaser) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		for _, l := range leasers {
			_ = l.Tick() // refused where the row has changed
		}
	}
}

// TestLateWriteDoesNotFreeLease guards against two holders at a time: a write of an earlier epoch replaced the
// lease of the current one, whose row then looked like one that was in the copy, and a spoiled row did.
func TestLateWriteDoesNotFreeLease(t *testing.T) {
	for name, value := range map[string]string{
		"late write":  `{"Holder":"z","Incarnation":"1","Epoch":5,"Fence":21474836481}`,
		"spoiled row": `[]`,
	} {
		t.Run(name, func(t *testing.T) {
			s, a, b := restoredStore(t)
			s.pass(5*time.Second, a)
			_, isHeld := a.Held(s.now)
			require.True(t, isHeld)
			s.Put(leaseKey, []byte(value))
			require.NoError(t, b.Tick())
			_, isHeld = b.Held(s.now)
			assert.False(t, isHeld, "a holds the lease")
			s.pass(3*time.Second, b)
			_, isHeld = b.Held(s.now)
			assert.True(t, isHeld, "a is gone")
		})
	}
}

// TestNewInstanceWaitsForLostHolder guards against two holders at a time, where a restore has lost the first grant of all
// and an instance that has heard of no holder starts.
func TestNewInstanceWaitsForLostHolder(t *testing.T) {
	for name, x := range map[string]struct {
		epoch int64
		want  bool
	}{
		"service without epochs":                    {0, true},
		"epoch that may follow a copy, as any does": {1, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCopiedStore(x.epoch)
			l := s.start("new")
			require.NoError(t, l.Tick())
			_, isHeld := l.Held(s.now)
			assert.Equal(t, x.want, isHeld, "at once")
			s.pass(2*time.Second, l)
			grant, isHeld := l.Held(s.now)
			assert.True(t, isHeld, "after a TTL")
			assert.True(t, grant.PreviousEndedAt.IsZero(), "no holder before is known")
		})
	}
}

// TestLateAcquisitionDoesNotLowerFence guards against a fencing token that is given out twice in one epoch: a late
// acquisition of the epoch before, whose conditions held by chance, replaced the fence of the current one.
func TestLateAcquisitionDoesNotLowerFence(t *testing.T) {
	s := newCopiedStore(1)
	var late messenger.TransactRequest
	slow := s.start("slow")
	slow.transact = func(req messenger.TransactRequest) ([]messenger.StoreVersion, error) {
		late = req
		return nil, transactor.ErrUnknownOutcome
	}
	_ = slow.Tick() // of unknown outcome
	s.Restore(s.Copy())
	lost := s.acquire(t, s.start("a"))
	for _, w := range late.Writes {
		s.Put(w.Key, w.Value)
	}
	next := s.acquire(t, s.start("b"))
	assert.Greater(t, next.Fence, lost.Fence)
}

// TestFreezeBeforeAcquisitionShortensGrant guards against a grant that outlasts the expiry in its row, at which
// another instance takes the lease: the instance froze between the two.
func TestFreezeBeforeAcquisitionShortensGrant(t *testing.T) {
	s := newCopiedStore(0)
	frozen := s.start("frozen")
	bounds := frozen.clock
	frozen.clock = func() (int64, int64, bool) {
		earliest, latest, ok := bounds()
		s.now = s.now.Add(2 * time.Second)
		frozen.clock = bounds
		return earliest, latest, ok
	}
	require.NoError(t, frozen.Tick())
	next := s.start("next")
	require.NoError(t, next.Tick())
	_, isHeld := next.Held(s.now)
	require.True(t, isHeld, "the row has expired")
	_, isHeld = frozen.Held(s.now)
	assert.False(t, isHeld)
}

// TestHandoverFollowsUnconfirmedAcquisition guards against orders too early after those of another holder: an
// instance found its own acquisition, whose answer was lost, and took the end of its predecessor's grant for that
// of a grant before.
func TestHandoverFollowsUnconfirmedAcquisition(t *testing.T) {
	s := newCopiedStore(1)
	a, b := s.start("a"), s.start("b")
	s.acquire(t, a)
	s.pass(3*time.Second, b)
	_, isHeld := b.Held(s.now)
	require.True(t, isHeld)
	end := s.now
	s.pass(1500*time.Millisecond, b)
	transact, get := a.transact, a.get
	s.now = s.now.Add(2 * time.Second)
	a.transact = func(req messenger.TransactRequest) ([]messenger.StoreVersion, error) {
		_, _ = transact(req) // takes effect
		a.get = func(string, string) (messenger.Row, error) { return messenger.Row{}, transactor.ErrUnavailable }
		return nil, transactor.ErrUnknownOutcome
	}
	require.Error(t, a.Tick())
	a.transact, a.get = transact, get
	grant := s.acquire(t, a)
	assert.True(t, grant.PreviousEndedAt.After(end), "b held the lease until after that")
}

// TestHandoverIgnoresClockOfLaterEpoch guards against orders too early after those of another holder: the expiry of
// its grant was compared with the store's clock of a later epoch.
func TestHandoverIgnoresClockOfLaterEpoch(t *testing.T) {
	s := newCopiedStore(1)
	s.acquire(t, s.start("a"))
	s.now = s.now.Add(1600 * time.Millisecond)
	b := s.start("b")
	transact, bounds := b.transact, b.clock
	b.transact = func(req messenger.TransactRequest) ([]messenger.StoreVersion, error) {
		b.clock = func() (int64, int64, bool) { // another call has observed the next epoch
			earliest, latest, ok := bounds()
			return earliest + 100_000, latest + 100_000, ok
		}
		return transact(req)
	}
	require.NoError(t, b.Tick())
	grant, isHeld := b.Held(s.now)
	require.True(t, isHeld)
	assert.WithinDuration(t, s.now, grant.PreviousEndedAt, time.Second)
}

// TestAbsurdFenceIsNotExceeded guards against a token past the range of tokens, which no instance takes for one: a
// spoiled row or a peer named the last tokens of the range, or tokens of an epoch that is still to come.
func TestAbsurdFenceIsNotExceeded(t *testing.T) {
	for name, fence := range map[string]string{
		"the last token":       "9007199254740991",
		"one past the last":    "9007199254740992",
		"a token of epoch 7":   "30064771073",
		"past int64":           "9223372036854775808",
		"the last of int64":    "9223372036854775807",
		"floating-point":       "1e15",
		"not a number":         `"x"`,
		"below all tokens":     "-1",
		"a token of the epoch": "25769803780",
	} {
		for _, epoch := range []int64{0, 6} {
			t.Run(name+" in epoch "+strconv.FormatInt(epoch, 10), func(t *testing.T) {
				s := newCopiedStore(epoch)
				s.Put(leaseKey, []byte(`{"Holder":"z","Fence":`+fence+`}`))
				s.Put(fenceKeyOf(epoch), []byte(fence))
				a, b := s.start("a"), s.start("b")
				if noted, err := strconv.ParseInt(fence, 10, 64); err == nil {
					a.NoteFence(noted)
				}
				first := s.acquire(t, a)
				assert.Less(t, first.Fence, (epoch+1)<<epochShift)
				assert.Greater(t, first.Fence, epoch<<epochShift)
				s.pass(3*time.Second, a, b)
				grant, isHeld := a.Held(s.now)
				require.True(t, isHeld)
				assert.Equal(t, first.Fence, grant.Fence)
				assert.Equal(t, "a", b.Holder().Holder)
			})
		}
	}
}

// TestRefusedFencesStayInEpoch guards against tokens of an epoch that is still to come, after many that were refused.
func TestRefusedFencesStayInEpoch(t *testing.T) {
	s := newCopiedStore(1)
	l := s.start("a")
	last := s.acquire(t, l).Fence
	for range 10_000 {
		l.NoteRefused(last)
		require.NoError(t, l.Tick())
		grant, isHeld := l.Held(s.now)
		require.True(t, isHeld)
		require.Greater(t, grant.Fence, last)
		require.Less(t, grant.Fence, int64(2)<<epochShift)
		last = grant.Fence
	}
}

// TestHolderWithoutSuccessorNeedsNoHandover guards against a pause of the orders after a restore, where peers have heard of a
// token that the instance itself has not confirmed.
func TestHolderWithoutSuccessorNeedsNoHandover(t *testing.T) {
	s := newCopiedStore(0)
	l := s.start("a")
	before := s.Copy()
	grant := s.acquire(t, l)
	l.NoteFence(grant.Fence + 1)
	s.Restore(before)
	l.ObserveEpoch(s.Epoch)
	assert.True(t, s.acquire(t, l).PreviousEndedAt.IsZero())
	require.NoError(t, l.Tick())
	again, isHeld := l.Held(s.now)
	require.True(t, isHeld)
	assert.Greater(t, again.Fence, grant.Fence)
	assert.True(t, again.PreviousEndedAt.IsZero())
}
