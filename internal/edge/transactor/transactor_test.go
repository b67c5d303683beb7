package transactor

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/poster"
)

func TestClassifyWriteError(t *testing.T) {
	for name, c := range map[string]struct{ err, want error }{
		"not sent":          {poster.ErrNotSent, ErrUnavailable},
		"no answer":         {poster.ErrNoAnswer, ErrUnknownOutcome},
		"rate exceeded":     {&poster.StatusError{Status: 429}, ErrUnavailable},
		"down":              {&poster.StatusError{Status: 503}, ErrUnavailable},
		"failed midway":     {&poster.StatusError{Status: 500}, ErrUnknownOutcome},
		"gateway timed out": {&poster.StatusError{Status: 504}, ErrUnknownOutcome},
	} {
		t.Run(name, func(t *testing.T) { assert.ErrorIs(t, classifyWriteError(c.err), c.want) })
	}
}
