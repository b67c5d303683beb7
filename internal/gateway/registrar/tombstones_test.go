package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// TestDepartedTargetStaysSo guards against a target that has left and is used again by an old entry, and against one
// that is not used although it is back.
func TestDepartedTargetStaysSo(t *testing.T) {
	now := time.Unix(1000, 0)
	d := registrar.NewTombstones()
	d.Add(&registrar.Target{ID: "t", StartMilliseconds: 5, Heartbeat: 70}, 3, now)
	for _, c := range []struct {
		name            string
		epoch           int64
		born, heartbeat int64
		after           time.Duration
		isGone          bool
	}{
		{name: "the same entry", epoch: 4, born: 5, heartbeat: 70, isGone: true},
		{name: "an earlier heartbeat", epoch: 4, born: 5, heartbeat: 60, isGone: true},
		{name: "an earlier process", epoch: 4, born: 4, heartbeat: 90, isGone: true},
		{name: "a later heartbeat", epoch: 4, born: 5, heartbeat: 71},
		{name: "a later process", epoch: 4, born: 6, heartbeat: 1},
		{name: "in the same epoch", epoch: 3, born: 5, heartbeat: 70},
		{name: "long after", epoch: 4, born: 5, heartbeat: 70, after: time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			entry := &registrar.Target{ID: "t", StartMilliseconds: c.born, Heartbeat: c.heartbeat}
			assert.Equal(t, c.isGone, d.Covers(entry, c.epoch, now.Add(c.after)))
		})
	}
}

// TestDepartedTargetsAreBounded guards against memory that grows with the targets that come and go.
func TestDepartedTargetsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	d := registrar.NewTombstones()
	target := func(n int) *registrar.Target {
		return &registrar.Target{ID: fmt.Sprint(n), StartMilliseconds: 1}
	}
	for n := range registrar.MaxTombstones + 1 {
		d.Add(target(n), 3, now)
	}
	assert.False(t, d.Covers(target(0), 4, now), "the oldest is forgotten")
	assert.True(t, d.Covers(target(1), 4, now))
	assert.True(t, d.Covers(target(registrar.MaxTombstones), 4, now))
}
