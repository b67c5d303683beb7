package runner

import (
	"time"

	"github.com/crocusring/crocusring/internal/control/orderer"
	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/node/loader"
)

// policyOf returns the planner's policy for s, with the default for each field that
// is zero.
func policyOf(s loader.Policy) planner.Policy {
	p := planner.DefaultPolicy()
	override(&p.RequestsPerCopy, s.RequestsPerCopy)
	override(&p.MostMoves, s.MostMoves)
	override(&p.StandbyCopies, s.StandbyCopies)
	override(&p.MinimumGain, s.MinimumGain)
	override(&p.StandbyGain, s.StandbyGain)
	override(&p.LoadsAtOnce, s.LoadsAtOnce)
	override(&p.AdaptersAtOnce, s.AdaptersAtOnce)
	override(&p.AdapterShare, s.AdapterShare)
	override(&p.Forecast.LeadTime, time.Duration(s.LeadMilliseconds)*time.Millisecond)
	override(&p.Forecast.HoldTime, time.Duration(s.HoldMilliseconds)*time.Millisecond)
	return p
}

// limitsOf returns the load limits of the weight store for s, with the default for
// each field that is zero.
func limitsOf(s loader.Policy) orderer.Limits {
	l := orderer.DefaultLimits()
	override(&l.ModelLoads, s.LoadsAtOnce)
	override(&l.ModelLoadsPerSecond, s.LoadsPerSecond)
	override(&l.AdapterLoads, s.AdaptersAtOnce)
	return l
}

// override sets a field to value unless value is zero.
func override[T comparable](field *T, value T) {
	var zero T
	if value != zero {
		*field = value
	}
}
