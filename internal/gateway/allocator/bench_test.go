package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/allocator"
)

// BenchmarkDecision measures an ask with its release, without and with a queue of others.
func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{0, 10, 100} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			a := newService(six("a"), six("b"), six("c"), six("d"))
			now := at(0)
			longAsk := func(n int) allocator.Ask {
				out := ask(n, 0)
				out.Goal, out.LatestStart, out.Deadline = now.Add(time.Hour), now.Add(time.Hour), now.Add(time.Hour)
				return out
			}
			slots := 32
			if waiting == 0 {
				slots = 12
			}
			held := []allocator.Key{}
			for n := range slots + waiting {
				for _, answer := range a.Ask(now, longAsk(n)) {
					held = append(held, answer.Key)
				}
			}
			n := slots + waiting
			for b.Loop() {
				n++
				now = now.Add(2 * time.Millisecond)
				for _, answer := range a.Ask(now, longAsk(n)) {
					held = append(held, answer.Key)
				}
				for _, answer := range a.Release(now, []allocator.Release{{Key: held[0]}}) {
					held = append(held, answer.Key)
				}
				held = held[1:]
			}
		})
	}
}
