package planner_test

import (
	"cmp"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/control/forecaster"
	"github.com/crocusring/crocusring/internal/control/planner"
)

func wilgenrandPolicy() planner.Policy {
	p := planner.DefaultPolicy()
	p.LoadsAtOnce, p.LoadsPerSecond, p.AdaptersAtOnce = 3, 2, 24
	return p
}

func vereinPolicy() planner.Policy {
	p := planner.DefaultPolicy()
	p.LoadsAtOnce, p.LoadsPerSecond, p.AdaptersAtOnce = 2, 1.5, 16
	return p
}

func wilgenrandForecast() forecaster.Settings { return forecaster.Default() }

func vereinForecast() forecaster.Settings { return forecaster.Default() }

// outcome holds the scores of all strategies on one trace and seed.
type outcome struct {
	static, lru, policy, bound score
}

func (o outcome) ofBound(s score) float64 { return s.attainment() / o.bound.attainment() }

func replayAll(d deployment, s shape, seed uint64) outcome {
	t := draw(d, s, seed)
	return outcome{
		static: newReplay(d, t, newStatic()).run(),
		lru:    newReplay(d, t, newLRU()).run(),
		policy: newReplay(d, t, newPolicy(d)).run(),
		bound:  bound(t, d),
	}
}

// replaySeeds replays a shape once for each seed, side by side.
func replaySeeds(d deployment, s shape, seeds []uint64) []outcome {
	outcomes := make([]outcome, len(seeds))
	var wait sync.WaitGroup
	for i, seed := range seeds {
		wait.Go(func() { outcomes[i] = replayAll(d, s, seed) })
	}
	wait.Wait()
	return outcomes
}

// medianWorst returns the median and the least of a value over outcomes.
func medianWorst[T cmp.Ordered](outcomes []outcome, value func(outcome) T) (median, worst T) {
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
		t.Logf("%s: on time in %% (median/worst), share of bound in %% (median/worst), moves (median/most), adapter moves (median), ticks with an unreachable model/adapter (most), overcommit, prefix hits", d.Name)
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
	share, worstShare := medianWorst(outcomes, func(o outcome) float64 { return 100 * of(o).attainment() })
	ratio, worstRatio := medianWorst(outcomes, func(o outcome) float64 { return 100 * o.ofBound(of(o)) })
	moves, most := medianWorst(outcomes, func(o outcome) int { return -of(o).moves })
	adapters, _ := medianWorst(outcomes, func(o outcome) int { return of(o).adapterMoves })
	_, models := medianWorst(outcomes, func(o outcome) int { return -of(o).unreachable })
	_, unreachableAdapters := medianWorst(outcomes, func(o outcome) int { return -of(o).unreachableAdapter })
	_, over := medianWorst(outcomes, func(o outcome) int { return -of(o).overcommitted })
	hits, _ := medianWorst(outcomes, func(o outcome) float64 { return 100 * float64(of(o).hits) / float64(max(1, of(o).completed)) })
	urgent, _ := medianWorst(outcomes, func(o outcome) float64 {
		return 100 * float64(of(o).urgentAttained) / float64(max(1, of(o).urgent))
	})
	t.Logf("| %-11s | %-6s | %5.1f / %5.1f | %5.1f / %5.1f | %4d / %4d | %5d | %3d / %3d | %d | %4.1f | %4.1f |",
		shape, name, share, worstShare, ratio, worstRatio, -moves, -most, adapters, -models, -unreachableAdapters, -over, hits, urgent)
}

// TestBenchIsSound checks what must hold for the figures of the bench to mean anything.
func TestBenchIsSound(t *testing.T) {
	for _, d := range deployments() {
		for _, s := range shapes() {
			t.Run(d.Name+"/"+s.Name, func(t *testing.T) {
				t.Parallel()
				o := replayAll(d, s, 1)
				for _, sc := range []score{o.static, o.lru, o.policy} {
					assert.LessOrEqual(t, sc.attainment(), o.bound.attainment(), "the bound is no bound")
					assert.Zero(t, sc.overcommitted, "ticks with overcommitted memory")
				}
				assert.Equal(t, o, replayAll(d, s, 1), "not deterministic")
			})
		}
	}
}
