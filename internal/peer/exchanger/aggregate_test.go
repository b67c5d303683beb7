package exchanger

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// The tests in this file compare two ways to sum a demand over all nodes, with one
// message from each node in a round. The gossip is the push-synopses protocol that
// the paper "A Robust Protocol for Continuous Gossip-based Monitoring of Network-wide
// Aggregates (G-GAP)" extends. It runs here without failures, so that it never loses
// the mass that G-GAP would recover, and its error is a lower bound of the error of
// G-GAP. The tree lacks the part of a failed node for as long as the failure lasts.

const (
	sumNodes              = 790
	sumFanOut             = 28
	sumRounds             = 120 // one round a second
	sumWarmUp             = 60  // first rounds, which do not count
	sumFailureRounds      = 10  // rounds that a failed node is missing
	sumFailureProbability = 0.1 // probability that a node fails in a round
)

// demand gives each node a rate that grows tenfold within an hour, with noise.
type demand struct {
	random *rand.Rand
	base   []float64
}

func newDemand(seed uint64) *demand {
	d := &demand{random: rand.New(rand.NewPCG(seed, 1)), base: make([]float64, sumNodes)}
	for i := range d.base {
		d.base[i] = 30 + 30*d.random.Float64() // requests a second
	}
	return d
}

func (d *demand) at(round int) []float64 {
	const (
		hour  = 3600
		noise = 0.1
	)
	values := make([]float64, len(d.base))
	for i, b := range d.base {
		values[i] = b * math.Pow(10, float64(round)/hour) * (1 + noise*d.random.NormFloat64())
	}
	return values
}

func total(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum
}

// gossipError returns the mean relative error of the nodes' estimates.
func gossipError(seed uint64) float64 {
	d := newDemand(seed)
	last := d.at(0)
	sums := append([]float64(nil), last...)
	weights := make([]float64, sumNodes)
	for i := range weights {
		weights[i] = 1
	}
	errors, count := 0.0, 0
	for round := 1; round <= sumRounds; round++ {
		values := d.at(round)
		nextSums := make([]float64, sumNodes)
		nextWeights := make([]float64, sumNodes)
		for i := range sums {
			sums[i] += values[i] - last[i]
			to := d.random.IntN(sumNodes)
			for _, j := range []int{i, to} {
				nextSums[j] += sums[i] / 2
				nextWeights[j] += weights[i] / 2
			}
		}
		last, sums, weights = values, nextSums, nextWeights
		if round <= sumWarmUp {
			continue
		}
		want := total(values)
		for i := range sums {
			errors += math.Abs(sums[i]/weights[i]*sumNodes-want) / want
			count++
		}
	}
	return errors / float64(count)
}

// treeError returns the mean relative error at the root of a tree of three levels,
// whose sums are two rounds old and lack the failed nodes.
func treeError(seed uint64) float64 {
	d := newDemand(seed)
	returnRound := make([]int, sumNodes) // round from which the node takes part again
	var delayed []float64
	errors, count := 0.0, 0
	for round := 1; round <= sumRounds; round++ {
		values := d.at(round)
		if d.random.Float64() < sumFailureProbability {
			returnRound[d.random.IntN(sumNodes)] = round + sumFailureRounds
		}
		delayed = append(delayed, partialSum(values, returnRound, round))
		if round <= sumWarmUp {
			continue
		}
		want := total(values)
		errors += math.Abs(delayed[round-3]-want) / want
		count++
	}
	return errors / float64(count)
}

// partialSum sums the values that reach the root. A failed inner node also cuts off
// its children until they have a new parent, which takes as long as its failure.
func partialSum(values []float64, returnRound []int, round int) float64 {
	sum := 0.0
	for i, v := range values {
		head := i - i%sumFanOut
		if returnRound[i] <= round && returnRound[head] <= round {
			sum += v
		}
	}
	return sum
}

func TestTreeSumsBeatGossipAtEqualMessages(t *testing.T) {
	for seed := range uint64(5) {
		gossip := gossipError(seed)
		tree := treeError(seed)
		t.Logf("seed %d: mean error of gossip %.4f, of tree with failures %.4f", seed, gossip, tree)
		assert.Less(t, tree, gossip)
	}
}
