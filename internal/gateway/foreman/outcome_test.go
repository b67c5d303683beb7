package foreman

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
)

// TestOrderLogTellsAcceptedFromRefused guards against log lines in which an order that a target carries out looks like
// one without effect.
func TestOrderLogTellsAcceptedFromRefused(t *testing.T) {
	for want, x := range map[outcome]struct {
		done bool
		err  error
	}{
		outcomeDone:        {done: true},
		outcomeAccepted:    {},
		outcomeBusy:        {err: errors.Wrap(ErrBusy, "t")},
		outcomeFenced:      {err: errors.Wrap(ErrFenced, "t")},
		outcomeUnknown:     {err: errors.Wrap(ErrUnknownOutcome, "t")},
		outcomeNotAccepted: {err: &QuietError{}},
	} {
		assert.Equal(t, want, outcomeOf(x.done, x.err))
	}
}
