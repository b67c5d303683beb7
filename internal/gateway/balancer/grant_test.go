package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

const grantor = 7

// granted returns a request with a slot at a target, and counts its releases.
func granted(target string, releases *[]bool) balancer.Request {
	r := plainRequest
	r.Grant = &balancer.Grant{Target: target, AllocatorID: grantor, Release: func(isFault bool) { *releases = append(*releases, isFault) }}
	return r
}

func TestGrantNamesTheTarget(t *testing.T) {
	releases := []bool{}
	b, _ := newTest()
	v := view(2)
	for range 30 { // more than the instance would send there by itself
		assert.Equal(t, "p1", mustPick(t, b, v, granted("p1", &releases)).Target.ID)
	}
	assert.Equal(t, 30, b.TotalInFlight("p1"))
	assert.Zero(t, b.InFlightBeside("p1", grantor))
	assert.Equal(t, 30, b.InFlightBeside("p1", grantor+1))
	ticket := mustPick(t, b, v, granted("p0", &releases))
	ticket.End(balancer.Lost)
	ticket.End(balancer.Answered)
	assert.Equal(t, []bool{true}, releases, "released once, as a fault")
}

// TestGrantIsNotUsed guards against a slot that overrides what the instance knows of the target.
func TestGrantIsNotUsed(t *testing.T) {
	for name, change := range map[string]func(b *balancer.Balancer, v *registrar.View, r *balancer.Request){
		"announced that it leaves": func(b *balancer.Balancer, v *registrar.View, _ *balancer.Request) {
			b.AnnounceLeave(v.Targets["p0"], time.Now().Add(time.Hour))
		},
		"leaves by the target table": func(_ *balancer.Balancer, v *registrar.View, _ *balancer.Request) { v.Targets["p0"].Leaving = true },
		"wants quiet": func(b *balancer.Balancer, v *registrar.View, _ *balancer.Request) {
			b.AskQuiet(v.Targets["p0"], time.Minute)
		},
		"has failed the request": func(_ *balancer.Balancer, _ *registrar.View, r *balancer.Request) {
			r.Excluded = map[string]bool{"p0": true}
		},
		"cools down after losses": func(b *balancer.Balancer, v *registrar.View, _ *balancer.Request) {
			for range 2 {
				mustPick(t, b, v, granted("p0", &[]bool{})).End(balancer.Unreached)
			}
		},
		"fails more than the others": func(b *balancer.Balancer, v *registrar.View, _ *balancer.Request) {
			for range 4 {
				mustPick(t, b, v, granted("p1", &[]bool{})).End(balancer.Answered)
			}
			for range 3 {
				mustPick(t, b, v, granted("p0", &[]bool{})).End(balancer.Failed)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			b, _ := newTest()
			v := view(3)
			r := granted("p0", &[]bool{})
			change(b, v, &r)
			before := b.TotalInFlight("p0")
			_, err := b.Pick(v, r)
			require.Error(t, err)
			assert.Equal(t, before, b.TotalInFlight("p0"))
			avoid, err := b.Unusable(v, r)
			require.NoError(t, err)
			assert.Equal(t, []string{"p0"}, avoid)
		})
	}
	t.Run("the limit of the target is used up", func(t *testing.T) {
		b := balancer.New(balancer.WithLimits(func(id string) time.Duration {
			if id == "p0" {
				return time.Second
			}
			return 0
		}))
		_, err := b.Pick(view(2), granted("p0", &[]bool{}))
		require.ErrorIs(t, err, balancer.ErrFull)
		avoid, err := b.Unusable(view(2), plainRequest)
		require.NoError(t, err)
		assert.Equal(t, []string{"p0"}, avoid)
	})
}

func TestUnusableWithoutTarget(t *testing.T) {
	b := balancer.New(balancer.WithLimits(func(string) time.Duration { return time.Second }))
	_, err := b.Unusable(view(2), plainRequest)
	var full *balancer.FullError
	require.ErrorAs(t, err, &full)
	assert.True(t, full.IsBlocked())
	_, err = balancer.New().Unusable(view(0), plainRequest)
	assert.ErrorIs(t, err, balancer.ErrNoTarget)
	lone, c := newTest()
	v := view(1)
	lone.AnnounceLeave(v.Targets["p0"], c.now.Add(time.Second))
	avoid, err := lone.Unusable(v, plainRequest)
	require.NoError(t, err)
	assert.Empty(t, avoid, "there is no other target")
}

// TestReportedGrants guards against grants that an allocator counts twice: its own, as reported
// by the instances that use them.
func TestReportedGrants(t *testing.T) {
	releases := []bool{}
	asker, _ := newTest()
	v := view(1)
	mustPick(t, asker, v, granted("p0", &releases))
	mustPick(t, asker, v, granted("p0", &releases))
	mustPick(t, asker, v, plainRequest)
	_, loads := asker.LocalLoads(nil)
	assert.Equal(t, balancer.Load{InFlight: 3, Granted: 2, AllocatorID: grantor}, loads["p0"])
	allocator, c := newTest()
	allocator.SetPeerLoads("asker", 1, 1, loads, c.now.Add(time.Minute))
	assert.Equal(t, 1, allocator.InFlightBeside("p0", grantor))
	assert.Equal(t, 3, allocator.InFlightBeside("p0", grantor+1), "a new allocator starts from the loads")
	t.Run("in the sum of a data centre", func(t *testing.T) {
		other := balancer.Load{InFlight: 5, Granted: 1, AllocatorID: grantor + 1}
		allocator.SetPeerLoads("other", 1, 1, map[string]balancer.Load{"p0": other}, c.now.Add(time.Minute))
		_, sums := allocator.SumLoads([]string{"asker", "other"})
		assert.Equal(t, balancer.Load{InFlight: 8, Granted: 2, AllocatorID: grantor}, sums["p0"])
	})
	t.Run("until they expire", func(t *testing.T) {
		c.step(time.Hour)
		assert.Zero(t, allocator.InFlightBeside("p0", grantor))
	})
}

// TestGrantedRequestsAreNotReported guards against messages to all peers for each request of a
// service whose slots an allocator hands out.
func TestGrantedRequestsAreNotReported(t *testing.T) {
	reports := []string{}
	b := balancer.New(balancer.WithLoadChanged(func(id string) { reports = append(reports, id) }))
	ticket := mustPick(t, b, view(2), granted("p0", &[]bool{}))
	ticket.FirstByte()
	ticket.End(balancer.Answered)
	assert.Empty(t, reports)
	b.ReportChange("p0")
	assert.Equal(t, []string{"p0"}, reports)
	mustPick(t, b, view(1), plainRequest)
	assert.Len(t, reports, 2)
}
