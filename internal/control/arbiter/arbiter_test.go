package arbiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestJudge(t *testing.T) {
	start := time.Date(2026, 1, 10, 3, 0, 0, 0, time.UTC)
	// Each case is one of four instances, last confirmed at start.
	for _, c := range []struct {
		name     string
		after    time.Duration
		revision int64
		highest  int64
		received int
		want     error
	}{
		{"no settings yet", 0, 0, 0, 4, ErrNoSettings},
		{"table service reachable, no peers", ConfirmationTTL - 1, 5, 0, 1, nil},
		{"partitioned from both", ConfirmationTTL, 5, 0, 1, ErrIsolated},
		{"partition of two of four without table service", ConfirmationTTL, 5, 5, 2, ErrIsolated},
		{"three of four in an outage of the table service", time.Hour, 5, 5, 3, nil},
		{"all in a long outage of the table service", 24 * time.Hour, 5, 5, 4, nil},
		{"started with older settings than a peer has", 0, 4, 5, 4, ErrBehind},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := New()
			a.Confirm(start)
			a.Confirm(start.Add(-time.Minute))
			e := Evidence{Now: start.Add(c.after), Revision: c.revision, HighestPeerRevision: c.highest, Listed: 4, Received: c.received}
			assert.ErrorIs(t, a.Judge(e), c.want)
		})
	}
}

func TestJudgeCatchingUp(t *testing.T) {
	start := time.Date(2026, 1, 10, 3, 0, 0, 0, time.UTC)
	a := New()
	e := Evidence{Now: start, Revision: 4, HighestPeerRevision: 4, Listed: 4, Received: 4}
	assert.NoError(t, a.Judge(e))
	e.HighestPeerRevision = 5
	assert.NoError(t, a.Judge(e), "a change is propagating")
	e.Now = start.Add(ConfirmationTTL)
	assert.ErrorIs(t, a.Judge(e), ErrBehind)
	for range 3 {
		e.Revision, e.HighestPeerRevision, e.Now = e.HighestPeerRevision, e.HighestPeerRevision+1, e.Now.Add(ConfirmationTTL)
		assert.NoError(t, a.Judge(e), "an instance that applies a stream of changes is not behind")
	}
}
