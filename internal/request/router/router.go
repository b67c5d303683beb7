// Package router chooses the target for a request. It decides from tables alone
// and keeps no state.
package router

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

// ErrNoTarget tells that no target can take the request now.
var ErrNoTarget = errors.New("no target holds the model")

// Ask describes what is looked for.
type Ask struct {
	Name keeper.Name
	// DataCentre is that of this instance; targets in it are preferred where the
	// load is equal.
	DataCentre string
	// Tried are targets that must not be chosen.
	Tried []string
	// Seed spreads equal choices. Callers use a value that differs between requests.
	Seed uint64
}

const (
	otherDataCentrePenalty = 0.5 // requests
	reportTrust            = 2 * time.Second
)

// Pick returns the candidate with the least expected load: what its report
// tells, what this instance sent since, and a guess at what others sent. The
// error is ErrNoTarget.
func Pick(now time.Time, candidates []*keeper.Target, ask Ask) (*keeper.Target, error) {
	var best *keeper.Target
	var bestLoad float64
	n := len(candidates)
	if n == 0 {
		return nil, ErrNoTarget
	}
	start := int(ask.Seed % uint64(n))
	for i := range n {
		t := candidates[(start+i)%n]
		if t.Leaving || isTried(t.ID, ask.Tried) {
			continue
		}
		load := expectedLoad(now, t)
		if t.DataCentre != ask.DataCentre {
			load += otherDataCentrePenalty
		}
		if best == nil || load < bestLoad {
			best = t
			bestLoad = load
		}
	}
	if best == nil {
		return nil, ErrNoTarget
	}
	return best, nil
}

// expectedLoad is in requests. A stale report is not trusted beyond what this
// instance knows by itself.
func expectedLoad(now time.Time, t *keeper.Target) float64 {
	own := float64(t.Counter.InFlight.Load())
	if now.Sub(t.ReportedAt) > reportTrust {
		return own
	}
	reported := float64(t.Running+t.Queued) + float64(t.Counter.SentAfterReport.Load())
	return max(own, reported)
}

func isTried(id string, tried []string) bool {
	for _, t := range tried {
		if t == id {
			return true
		}
	}
	return false
}
