package demonstrator

import (
	"bytes"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRun(t *testing.T) {
	var out bytes.Buffer
	summary, err := Run(&out, logr.Discard())
	require.NoError(t, err, out.String())
	assert.Positive(t, summary.Requests)
	assert.Equal(t, summary.Requests, summary.Answered)
	assert.Equal(t, summary.Orders, summary.OrderRuns)
	assert.Zero(t, summary.OvercommitBytes)
}
