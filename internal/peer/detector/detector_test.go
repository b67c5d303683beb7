package detector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func heartbeat(incarnation string, startedAt, sequence int, heardAt time.Time) News {
	return News{
		Incarnation: incarnation, StartedAt: at(time.Duration(startedAt) * time.Second),
		Address: "address-of-" + incarnation, Sequence: int64(sequence), HeardAt: heardAt,
	}
}

func assertIs(t *testing.T, in *keeper.Instance, now time.Time, incarnation string, state State) {
	t.Helper()
	assert.Equal(t, incarnation, in.Incarnation)
	assert.Equal(t, state, Judge(now, in))
}

func TestSilence(t *testing.T) {
	in := &keeper.Instance{}
	Hear(start, in, heartbeat("a", 0, 1, start))
	assertIs(t, in, at(aliveTime-1), "a", Alive)
	assertIs(t, in, at(aliveTime), "a", Suspected)
	assertIs(t, in, at(aliveTime+suspectTime), "a", Gone)

	t.Run("a peer that hears it keeps it alive", func(t *testing.T) {
		news := heartbeat("a", 0, 0, at(2*time.Second))
		assert.True(t, Hear(at(2*time.Second), in, news))
		assertIs(t, in, at(2*time.Second), "a", Alive)
	})
	t.Run("old news of a peer do not", func(t *testing.T) {
		Hear(at(10*time.Second), in, heartbeat("a", 0, 0, at(3*time.Second)))
		assertIs(t, in, at(10*time.Second), "a", Gone)
	})
}

func TestRestart(t *testing.T) {
	for _, c := range []struct {
		name      string
		startedAt int
	}{{"clock ahead", 5}, {"clock behind", -5}} {
		t.Run(c.name, func(t *testing.T) {
			in := &keeper.Instance{}
			Hear(start, in, heartbeat("a", 0, 7, start))
			later := at(aliveTime)
			assert.True(t, Hear(later, in, heartbeat("b", c.startedAt, 1, later)))
			assertIs(t, in, later, "b", Alive)
			assert.Equal(t, "address-of-b", in.Address)
			assert.False(t, Hear(later, in, heartbeat("a", 0, 8, later)), "heartbeat of the earlier incarnation")
			assert.False(t, Hear(at(time.Hour), in, heartbeat("a", 0, 9, at(time.Hour))), "however late")
			assertIs(t, in, later, "b", Alive)
		})
	}
	t.Run("news of a peer about an incarnation from before", func(t *testing.T) {
		in := &keeper.Instance{}
		Hear(start, in, heartbeat("b", 0, 1, start))
		assert.False(t, Hear(at(2*time.Second), in, heartbeat("a", 9, 0, at(-time.Second))))
		assertIs(t, in, start, "b", Alive)
	})
}

func TestLeaving(t *testing.T) {
	in := &keeper.Instance{}
	leaving := heartbeat("a", 0, 2, start)
	leaving.Leaving = true
	Hear(start, in, leaving)
	t.Run("an overtaken heartbeat does not undo it", func(t *testing.T) {
		assert.False(t, Hear(start, in, heartbeat("a", 0, 1, start)))
		Hear(start, in, heartbeat("a", 0, 3, start))
		assert.True(t, in.Leaving)
	})
	t.Run("a flapping list does not undo it", func(t *testing.T) {
		List(start, in, "x", "dc-1", true)
		Unlist(in)
		List(start, in, "x", "dc-1", false)
		assert.True(t, in.Leaving)
	})
	t.Run("a new incarnation does, once the list agrees", func(t *testing.T) {
		List(start, in, "x", "dc-1", true)
		Hear(start, in, heartbeat("b", 1, 1, start))
		List(start, in, "x", "dc-1", true)
		assert.True(t, in.Leaving)
		List(start, in, "x", "dc-1", false)
		assert.False(t, in.Leaving)
	})
}

func TestList(t *testing.T) {
	in := &keeper.Instance{}
	List(start, in, "listed", "dc-1", false)
	assertIs(t, in, start, "", Suspected)
	Hear(start, in, heartbeat("a", 0, 1, start))
	List(start, in, "listed", "dc-1", false)
	assert.Equal(t, "address-of-a", in.Address, "the list lags behind a heartbeat")
	Unlist(in)
	assertIs(t, in, start, "a", Alive)
	assert.False(t, IsForgotten(at(aliveTime+suspectTime), in))
	assert.True(t, IsForgotten(at(time.Hour), in))
}
