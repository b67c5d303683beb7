package planner_test

import (
	"cmp"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/control/planner"
)

// wilgenrandPolicy returns a policy that favors fewer moves.
func wilgenrandPolicy() planner.Policy {
	p := planner.DefaultPolicy()
	p.LoadsAtOnce, p.AdaptersAtOnce = 3, 24
	p.MinimumGain, p.Forecast.LeadTime = 2, 0
	return p
}

// vereinPolicy returns a policy that favors more requests on time.
func vereinPolicy() planner.Policy {
	p := planner.DefaultPolicy()
	p.LoadsAtOnce, p.AdaptersAtOnce = 2, 16
	return p
}

// outcome holds the scores of all strategies on one trace and seed.
type outcome struct {
	static, lru, policy, upperBound score
}

func (o outcome) shareOfBound(s score) float64 { return s.onTimeShare() / o.upperBound.onTimeShare() }

func replayAll(d deployment, s shape, seed uint64) outcome {
	t := drawTrace(d, s, seed)
	return outcome{
		static:     newReplay(d, t, newStatic()).run(),
		lru:        newReplay(d, t, newLRU()).run(),
		policy:     newReplay(d, t, newPolicy(d)).run(),
		upperBound: upperBound(t, d),
	}
}

// replaySeeds replays a shape once for each seed, in parallel.
func replaySeeds(d deployment, s shape, seeds []uint64) []outcome {
	outcomes := make([]outcome, len(seeds))
	var wait sync.WaitGroup
	for i, seed := range seeds {
		wait.Go(func() { outcomes[i] = replayAll(d, s, seed) })
	}
	wait.Wait()
	return outcomes
}

// medianAndMin returns the median and the minimum of a value over outcomes.
func medianAndMin[T cmp.Ordered](outcomes []outcome, value func(outcome) T) (median, minimum T) {
	values := make([]T, 0, len(outcomes))
	for _, o := range outcomes {
		values = append(values, value(o))
	}
	slices.Sort(values)
	return values[len(values)/2], values[0]
}

// TestPolicyBench prints the table of docs/POLICY.md.
func TestPolicyBench(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table; run with -v")
	}
	for _, d := range deployments() {
		t.Log(d.Name + ": on time in % (median/worst), share of bound in % (median/worst), moves (median/most), adapter moves (median), ticks unreachable/recovering (most), ticks overcommitted (most), prefix hits in %, urgent on time in %")
		for _, s := range shapes() {
			outcomes := replaySeeds(d, s, []uint64{1, 2, 3, 4, 5})
			for _, row := range []struct {
				name string
				of   func(outcome) score
			}{
				{"static", func(o outcome) score { return o.static }},
				{"lru", func(o outcome) score { return o.lru }},
				{"policy", func(o outcome) score { return o.policy }},
			} {
				logRow(t, s.Name, row.name, outcomes, row.of)
			}
		}
	}
}

func logRow(t *testing.T, shape, name string, outcomes []outcome, of func(outcome) score) {
	share, worstShare := medianAndMin(outcomes, func(o outcome) float64 { return 100 * of(o).onTimeShare() })
	ratio, worstRatio := medianAndMin(outcomes, func(o outcome) float64 { return 100 * o.shareOfBound(of(o)) })
	// Values of which the largest is wanted are negated.
	moves, most := medianAndMin(outcomes, func(o outcome) int { return -of(o).moves })
	adapters, _ := medianAndMin(outcomes, func(o outcome) int { return of(o).adapterMoves })
	_, unreachable := medianAndMin(outcomes, func(o outcome) int { return -of(o).unreachable })
	_, recovering := medianAndMin(outcomes, func(o outcome) int { return -of(o).recovering })
	_, over := medianAndMin(outcomes, func(o outcome) int { return -of(o).overcommitted })
	hits, _ := medianAndMin(outcomes, func(o outcome) float64 { return 100 * float64(of(o).hits) / float64(max(1, of(o).completed)) })
	urgent, _ := medianAndMin(outcomes, func(o outcome) float64 {
		return 100 * float64(of(o).urgentOnTime) / float64(max(1, of(o).urgent))
	})
	t.Logf("| %-11s | %-6s | %5.1f / %5.1f | %5.1f / %5.1f | %4d / %4d | %5d | %3d / %3d | %d | %4.1f | %4.1f |",
		shape, name, share, worstShare, ratio, worstRatio, -moves, -most, adapters, -unreachable, -recovering, -over, hits, urgent)
}

// TestPolicyMeetsGoals checks the performance goals of the policy, and the
// conditions without which the scores are meaningless.
func TestPolicyMeetsGoals(t *testing.T) {
	for _, d := range deployments() {
		for _, s := range shapes() {
			t.Run(d.Name+"/"+s.Name, func(t *testing.T) {
				t.Parallel()
				for _, o := range replaySeeds(d, s, []uint64{1}) {
					assertScoresValid(t, o)
					assertGoals(t, d, s, o)
				}
			})
		}
	}
}

func assertScoresValid(t *testing.T, o outcome) {
	t.Helper()
	for _, sc := range []score{o.static, o.lru, o.policy} {
		assert.LessOrEqual(t, sc.onTimeShare(), o.upperBound.onTimeShare(), "a strategy exceeds the upper bound")
		assert.Zero(t, sc.overcommitted, "ticks with overcommitted memory")
	}
}

func assertGoals(t *testing.T, d deployment, s shape, o outcome) {
	t.Helper()
	const steadyShare, burstShare = 0.95, 0.85 // of the bound
	least := burstShare
	if s.Name == "steady" {
		least = steadyShare
	}
	assert.GreaterOrEqual(t, o.shareOfBound(o.policy), least)
	assert.GreaterOrEqual(t, o.policy.onTimeShare(), o.static.onTimeShare())
	assert.GreaterOrEqual(t, o.policy.onTimeShare(), o.lru.onTimeShare())
	assert.LessOrEqual(t, float64(o.policy.moves), d.MaxMoveShare*float64(o.lru.moves))
	assert.Zero(t, o.policy.unreachable, "ticks with an unreachable model or adapter")
}

func TestReplayIsDeterministic(t *testing.T) {
	d, s := deployments()[1], shapes()[4]
	trace := drawTrace(d, s, 1)
	assert.Equal(t, newReplay(d, trace, newPolicy(d)).run(), newReplay(d, drawTrace(d, s, 1), newPolicy(d)).run())
}
