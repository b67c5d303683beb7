package demonstrator

import (
	"bytes"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRun checks that all requests of the demo are answered, that each order runs once
// although it is sent twice, and that no memory is overcommitted.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	summary, err := Run(&out, logr.Discard())
	require.NoError(t, err, out.String())
	assert.Positive(t, summary.Requests)
	assert.Equal(t, summary.Requests, summary.Answered)
	assert.Equal(t, summary.Orders, summary.OrderRuns)
	assert.Zero(t, summary.OvercommitBytes)
}
