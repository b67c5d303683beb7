package planner

import "github.com/crocusring/crocusring/internal/control/forecaster"

// History is what a caller keeps from one plan to the next. Its zero value is
// that of a caller that just began.
type History struct {
	Demand forecaster.Table
}

// Plan takes the rates of in, as observed, into the history and plans for the
// demand that is expected.
func (h *History) Plan(in Input) []Move {
	h.Demand.Update(in.Now, in.Rates, in.Policy.Forecast)
	in.Rates = h.Demand.Expected(in.Policy.Forecast)
	in.Floors = h.Demand.Floors()
	return Plan(in)
}
