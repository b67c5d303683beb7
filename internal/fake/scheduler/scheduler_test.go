package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestActionsRunInTheOrderOfTheirTimes guards against simulations that do not repeat themselves.
func TestActionsRunInTheOrderOfTheirTimes(t *testing.T) {
	begin := time.Unix(1000, 0)
	s := New(begin)
	order := ""
	note := func(name string) func() { return func() { order += name } }
	s.After(2*time.Second, note("c"))
	s.After(time.Second, note("a"))
	s.After(time.Second, func() {
		note("b")()
		s.After(0, note("B"))
	})
	s.Every(1500*time.Millisecond, note("e"))
	for range 6 {
		assert.True(t, s.Step())
	}
	assert.Equal(t, "abBece", order)
	assert.Equal(t, begin.Add(3*time.Second), s.Now())
	assert.False(t, New(begin).Step())
}
