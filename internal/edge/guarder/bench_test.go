package guarder

import (
	"strings"
	"testing"
	"time"
)

// BenchmarkHead measures the head of an ordinary request.
func BenchmarkHead(b *testing.B) {
	head := []byte("POST /r/x HTTP/1.1\r\n" + strings.Repeat("X-Header-Name: a value of usual length\r\n", 12) + "\r\n")
	b.ReportAllocs()
	for b.Loop() {
		var m headMeter
		m.add(head)
	}
}

// BenchmarkCharges charges and releases what an ordinary request holds.
func BenchmarkCharges(b *testing.B) {
	h := NewBudget(testLimit).Open(Reading, func() {})
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		h.SetEvictable(true, now)
		h.Add(2000, now)
		h.SetEvictable(false, now)
		h.Reserve(17 << 10)
		h.Relay(800)
		h.Shrink(connBytes)
	}
}
