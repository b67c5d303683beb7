package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// hedgeTest holds a balancer and its view of three targets with four slots each; the first run
// of the request is at target a.
type hedgeTest struct {
	balancer *Balancer
	registry *registrar.Registrar
	now      time.Time
	limited  string
}

func newHedgeTest() *hedgeTest {
	x := &hedgeTest{registry: registrar.New(), now: time.Unix(100, 0)}
	x.balancer = New(WithClock(func() time.Time { return x.now }), WithLimits(func(id string) time.Duration {
		if id == x.limited {
			return time.Second
		}
		return 0
	}))
	x.registry.SetManifest(&registrar.Manifest{Version: 1, Services: map[string]*registrar.Service{"s": {Name: "s"}}})
	x.registry.Update(func(table map[string]*registrar.Target) {
		for _, id := range []string{"a", "b", "c"} {
			table[id] = &registrar.Target{ID: id, Service: "s", Slots: 4}
		}
	})
	return x
}

// pick picks a target for the second run of a request.
func (x *hedgeTest) pick() (*Ticket, error) {
	return x.balancer.Pick(x.registry.View(), Request{Service: "s", Excluded: map[string]bool{"a": true}, IsHedge: true})
}

func (x *hedgeTest) target(id string) *registrar.Target { return x.registry.View().Targets[id] }

func (x *hedgeTest) fill(id string, count int) {
	x.balancer.SetPeerLoads("peer"+id, 1, 1, map[string]Load{id: {InFlight: count}}, x.now.Add(time.Minute))
}

// TestHedgeTarget guards against second runs at targets that would harm others there.
func TestHedgeTarget(t *testing.T) {
	for name, prepare := range map[string]func(x *hedgeTest){
		"full, though its queue has room": func(x *hedgeTest) { x.fill("b", 4) },
		"quiet":                           func(x *hedgeTest) { x.balancer.AskQuiet(x.target("b"), time.Minute) },
		"limited":                         func(x *hedgeTest) { x.limited = "b" },
		"leaves soon":                     func(x *hedgeTest) { x.balancer.AnnounceLeave(x.target("b"), x.now.Add(time.Minute)) },
	} {
		t.Run(name, func(t *testing.T) {
			x := newHedgeTest()
			prepare(x)
			for range 3 {
				ticket, err := x.pick()
				require.NoError(t, err)
				assert.Equal(t, "c", ticket.Target.ID)
				ticket.End(Abandoned)
			}
			prepare(x)
			x.fill("c", 4)
			_, err := x.pick()
			assert.ErrorIs(t, err, ErrFull, "no other target")
		})
	}
}

// TestNoHedgeWhileShort guards against second runs while most of a service is in use.
func TestNoHedgeWhileShort(t *testing.T) {
	x := newHedgeTest()
	x.fill("a", 5)
	x.fill("b", 3)
	_, err := x.pick()
	assert.NoError(t, err, "8 of 12 slots")
	_, err = x.pick() // with the last one 9 are in use
	assert.ErrorIs(t, err, ErrShort)
	_, err = x.balancer.Pick(x.registry.View(), Request{Service: "s"})
	assert.NoError(t, err, "the limit is for second runs alone")
}
