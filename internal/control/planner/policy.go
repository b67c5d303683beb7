package planner

import (
	"math"

	"github.com/crocusring/crocusring/internal/control/forecaster"
)

// Policy holds what operators set.
type Policy struct {
	// RequestsPerCopy is the rate that one copy of a model serves well while it
	// is alone on its target. Copies on one target share it.
	RequestsPerCopy float64
	// MostMoves bounds the loads and unloads of models that one plan orders.
	MostMoves int
	// StandbyCopies is the least number of copies of each model where memory
	// permits, in as many data centres.
	StandbyCopies int
	// MinimumGain is the rate in requests per second that a further copy must
	// relieve overloaded targets of.
	MinimumGain float64
	// StandbyGain is the rate that a further copy must relieve in addition before
	// it may take the place of a standby copy. At zero it never may.
	StandbyGain float64
	// LoadsAtOnce bounds the loads of models that are under way. Zero does not
	// bound.
	LoadsAtOnce int
	// AdaptersAtOnce bounds the loads of adapters that are under way. Zero does
	// not bound.
	AdaptersAtOnce int
	// AdapterShare is the part of a target's memory that adapters beyond their
	// least number of copies may fill.
	AdapterShare float64
	// Forecast says how History follows the demand.
	Forecast forecaster.Settings
}

// DefaultPolicy is used where the settings say nothing.
func DefaultPolicy() Policy {
	return Policy{
		RequestsPerCopy: 8, MostMoves: 4, StandbyCopies: 2, MinimumGain: 1, StandbyGain: 2,
		LoadsAtOnce: 2, AdaptersAtOnce: 16, AdapterShare: 0.1, Forecast: forecaster.Default(),
	}
}

const unbounded = math.MaxInt32
