package planner

import (
	"math"

	"github.com/crocusring/crocusring/internal/control/forecaster"
)

// Policy holds the placement settings that operators can change.
type Policy struct {
	// RequestsPerCopy is the rate in requests per second that one copy of a
	// model serves without overload while it is the only copy on its target.
	// Copies on the same target share this rate.
	RequestsPerCopy float64
	// MostMoves is the maximum number of model loads and unloads that one plan
	// orders.
	MostMoves int
	// StandbyCopies is the minimum number of copies of each model, in as many
	// data centres, where memory permits.
	StandbyCopies int
	// MinimumGain is the rate in requests per second by which a further copy
	// must relieve overloaded targets.
	MinimumGain float64
	// StandbyGain is the rate in requests per second that a further copy must
	// relieve on top of MinimumGain before it may replace a standby copy. Zero
	// means that it never may.
	StandbyGain float64
	// LoadsAtOnce is the maximum number of model loads in progress. Zero means
	// no limit.
	LoadsAtOnce int
	// AdaptersAtOnce is the maximum number of adapter loads in progress. Zero
	// means no limit.
	AdaptersAtOnce int
	// AdapterShare is the share of a target's memory up to which adapters are
	// loaded there beyond their minimum number of copies.
	AdapterShare float64
	// Forecast configures how History forecasts the demand.
	Forecast forecaster.Settings
}

// DefaultPolicy returns the policy for settings that are not configured.
func DefaultPolicy() Policy {
	return Policy{
		RequestsPerCopy: 8, MostMoves: 4, StandbyCopies: 2, MinimumGain: 1, StandbyGain: 2,
		LoadsAtOnce: 2, AdaptersAtOnce: 16, AdapterShare: 0.1, Forecast: forecaster.Default(),
	}
}

// unbounded is the load budget when the policy sets no limit.
const unbounded = math.MaxInt32
