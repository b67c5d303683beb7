package foreman

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestExpectedModel replays a request for a model that no target holds.
func TestExpectedModel(t *testing.T) {
	w, r, f := newWorld(1, 1)
	manifest := r.View().Manifest
	for name, model := range manifest.Services["s"].Engine.Models {
		model.LoadSeconds = 8
		manifest.Services["s"].Engine.Models[name] = model
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go f.Run(ctx)
	for _, model := range []string{"m1", "m1"} {
		expected, err := f.ExpectModel(ctx, "s", model)
		require.NoError(t, err)
		assert.InDelta(t, 8.3, expected.Seconds(), 0.5)
	}
	t.Run("the target is busy with it", func(t *testing.T) {
		_, err := f.ExpectModel(ctx, "s", "m2")
		assert.ErrorIs(t, err, ErrNoPlace)
	})
	t.Run("another instance gives the orders", func(t *testing.T) {
		w.mu.Lock()
		w.grant = false
		w.mu.Unlock()
		_, err := f.ExpectModel(ctx, "s", "m3")
		assert.ErrorIs(t, err, ErrNotHolder)
	})
}

// TestOverdueModel replays a load that takes longer than it should: the word on it stays
// in the future.
func TestOverdueModel(t *testing.T) {
	_, r, f := newWorld(1, 1)
	now := time.Now()
	f.now = func() time.Time { return now }
	target := r.View().Targets["t0"]
	f.mu.Lock()
	f.site(target).open = &openOrder{order: Order{Model: "m1"}, serves: now, until: now.Add(time.Minute)}
	f.mu.Unlock()
	now = now.Add(4 * time.Second)
	expected, err := f.ExpectModel(t.Context(), "s", "m1")
	require.NoError(t, err)
	assert.InDelta(t, 1.3, expected.Seconds(), 0.1)
}
