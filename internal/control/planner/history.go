package planner

import "github.com/crocusring/crocusring/internal/control/forecaster"

// History is the state that a caller keeps between plans. The zero value is
// ready to use.
type History struct {
	Demand forecaster.Table
}

// Plan adds the observed rates of in to the history and returns a plan for the
// forecast demand.
func (h *History) Plan(in Input) []Move {
	h.Demand.Update(in.Now, in.Rates, in.Policy.Forecast)
	in.Rates = h.Demand.Expected(in.Policy.Forecast)
	in.PeakRates = h.Demand.PeakRates()
	return Plan(in)
}
