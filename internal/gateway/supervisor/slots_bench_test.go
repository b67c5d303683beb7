package supervisor

import (
	"testing"
	"time"
)

// BenchmarkSlot measures a slot from another instance with its release, over loopback.
func BenchmarkSlot(b *testing.B) {
	asker, _ := pair(b)
	for b.Loop() {
		grant, err := asker.slots.acquire(b.Context(), slotAsk(time.Second))
		if err != nil {
			b.Fatal(err)
		}
		grant.Release(false)
	}
}
