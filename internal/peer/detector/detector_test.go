package detector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func heartbeat(incarnation string, startedAt, sequence int, heartbeatAt time.Time) Observation {
	return Observation{
		Incarnation: incarnation, StartedAt: at(time.Duration(startedAt) * time.Second),
		Address: "address-of-" + incarnation, Sequence: int64(sequence), HeartbeatAt: heartbeatAt,
	}
}

func assertIs(t *testing.T, in *keeper.Instance, now time.Time, incarnation string, state State) {
	t.Helper()
	assert.Equal(t, incarnation, in.Incarnation)
	assert.Equal(t, state, Judge(now, in))
}

// TestSilence checks the states that an instance passes through without heartbeats, and
// which reports of peers count in that time.
func TestSilence(t *testing.T) {
	in := &keeper.Instance{}
	Observe(start, in, heartbeat("a", 0, 1, start))
	assertIs(t, in, at(aliveTTL-1), "a", Alive)
	assertIs(t, in, at(aliveTTL), "a", Suspected)
	assertIs(t, in, at(aliveTTL+suspicionTimeout), "a", Gone)

	t.Run("a report of a peer makes it alive again", func(t *testing.T) {
		observation := heartbeat("a", 0, 0, at(2*time.Second))
		assert.True(t, Observe(at(2*time.Second), in, observation))
		assertIs(t, in, at(2*time.Second), "a", Alive)
	})
	t.Run("an old report of a peer does not", func(t *testing.T) {
		Observe(at(10*time.Second), in, heartbeat("a", 0, 0, at(3*time.Second)))
		assertIs(t, in, at(10*time.Second), "a", Gone)
	})
}

// TestRestart checks that a new incarnation replaces the earlier one, whichever clock
// is ahead, and that late messages of the earlier one do not undo this.
func TestRestart(t *testing.T) {
	for _, c := range []struct {
		name      string
		startedAt int
	}{{"clock ahead", 5}, {"clock behind", -5}} {
		t.Run(c.name, func(t *testing.T) {
			in := &keeper.Instance{}
			Observe(start, in, heartbeat("a", 0, 7, start))
			later := at(aliveTTL)
			assert.True(t, Observe(later, in, heartbeat("b", c.startedAt, 1, later)))
			assertIs(t, in, later, "b", Alive)
			assert.Equal(t, "address-of-b", in.Address)
			assert.False(t, Observe(later, in, heartbeat("a", 0, 8, later)), "heartbeat of the earlier incarnation")
			assert.False(t, Observe(at(time.Hour), in, heartbeat("a", 0, 9, at(time.Hour))), "heartbeat of the earlier incarnation, an hour later")
			assertIs(t, in, later, "b", Alive)
		})
	}
	t.Run("report of a peer about an earlier incarnation", func(t *testing.T) {
		in := &keeper.Instance{}
		Observe(start, in, heartbeat("b", 0, 1, start))
		assert.False(t, Observe(at(2*time.Second), in, heartbeat("a", 9, 0, at(-time.Second))))
		assertIs(t, in, start, "b", Alive)
	})
}

// TestLeaving checks that an incarnation once reported as leaving stays so.
func TestLeaving(t *testing.T) {
	in := &keeper.Instance{}
	leaving := heartbeat("a", 0, 2, start)
	leaving.Leaving = true
	Observe(start, in, leaving)
	t.Run("a heartbeat that arrives out of order does not undo it", func(t *testing.T) {
		assert.False(t, Observe(start, in, heartbeat("a", 0, 1, start)))
		Observe(start, in, heartbeat("a", 0, 3, start))
		assert.True(t, in.Leaving)
	})
	t.Run("a flapping list does not undo it", func(t *testing.T) {
		MarkListed(start, in, "x", "dc-1", true)
		MarkUnlisted(in)
		MarkListed(start, in, "x", "dc-1", false)
		assert.True(t, in.Leaving)
	})
	t.Run("a new incarnation undoes it once the list says so too", func(t *testing.T) {
		MarkListed(start, in, "x", "dc-1", true)
		Observe(start, in, heartbeat("b", 1, 1, start))
		MarkListed(start, in, "x", "dc-1", true)
		assert.True(t, in.Leaving)
		MarkListed(start, in, "x", "dc-1", false)
		assert.False(t, in.Leaving)
	})
}

// TestList checks what the platform's list changes before and after an instance sends
// heartbeats.
func TestList(t *testing.T) {
	in := &keeper.Instance{}
	MarkListed(start, in, "listed", "dc-1", false)
	assertIs(t, in, start, "", Suspected)
	Observe(start, in, heartbeat("a", 0, 1, start))
	MarkListed(start, in, "listed", "dc-1", false)
	assert.Equal(t, "address-of-a", in.Address, "a heartbeat overrides the address in the list")
	MarkUnlisted(in)
	assertIs(t, in, start, "a", Alive)
	assert.False(t, IsRemovable(at(aliveTTL+suspicionTimeout), in))
	assert.True(t, IsRemovable(at(time.Hour), in))
}
