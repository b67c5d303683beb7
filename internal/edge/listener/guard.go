package listener

import (
	"time"

	"github.com/crocusring/crocusring/internal/edge/guarder"
	"github.com/crocusring/crocusring/internal/state/measurer"
)

const (
	// requestTimeout bounds how long a request may take to arrive.
	requestTimeout = 30 * time.Second
	// connShare is the share of the descriptors that callers, operators and peers may use.
	// The rest is for connections to targets, peers and the table service.
	connShare = 0.5
)

// newGuard returns the guard of a listener, for a machine of unknown size.
func newGuard(parts Config) *guarder.Guard {
	sizes := guarder.SizesOf(0, 0)
	refused := func(cause guarder.Cause) {
		if parts.Measurer != nil {
			parts.Measurer.CountEvent(measurer.ClientEvent(string(cause)), 1)
		}
	}
	return guarder.New(guarder.NewBudget(sizes.BudgetBytes), sizes.CallerConns(connShare),
		guarder.WithMetering(guarder.Reading), guarder.WithRefusals(refused))
}
