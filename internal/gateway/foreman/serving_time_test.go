package foreman

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestTimeUntilServed checks the expected time for a model that no target holds.
func TestTimeUntilServed(t *testing.T) {
	c, r, f := newTestCluster(1, 1)
	manifest := r.View().Manifest
	for name, model := range manifest.Services["s"].Engine.Models {
		model.LoadSeconds = 8
		manifest.Services["s"].Engine.Models[name] = model
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go f.Run(ctx)
	for _, model := range []string{"m1", "m1"} {
		expected, err := f.TimeUntilServed(ctx, "s", model)
		require.NoError(t, err)
		assert.InDelta(t, 8.3, expected.Seconds(), 0.5)
	}
	t.Run("the target is busy with it", func(t *testing.T) {
		_, err := f.TimeUntilServed(ctx, "s", "m2")
		assert.ErrorIs(t, err, ErrNoCapacity)
	})
	t.Run("another instance holds the lease", func(t *testing.T) {
		c.mu.Lock()
		c.hasGrant = false
		c.mu.Unlock()
		_, err := f.TimeUntilServed(ctx, "s", "m3")
		assert.ErrorIs(t, err, ErrNotHolder)
	})
}

// TestOverdueModel checks that a load which takes longer than expected still yields an
// expected time in the future.
func TestOverdueModel(t *testing.T) {
	_, r, f := newTestCluster(1, 1)
	now := time.Now()
	f.now = func() time.Time { return now }
	target := r.View().Targets["t0"]
	f.mu.Lock()
	f.targetState(target).pending = &pendingOrder{order: Order{Model: "m1"}, servesAt: now, deadline: now.Add(time.Minute)}
	f.mu.Unlock()
	now = now.Add(4 * time.Second)
	expected, err := f.TimeUntilServed(t.Context(), "s", "m1")
	require.NoError(t, err)
	assert.InDelta(t, 1.3, expected.Seconds(), 0.1)
}
