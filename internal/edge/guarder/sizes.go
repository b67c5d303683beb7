package guarder

import (
	"math"
	"os"
	"runtime/debug"
	"syscall"
)

const (
	megabyte = 1_000_000
	// unknownMegabytes is assumed where the memory of the machine is unknown. It is low, so that a
	// small machine does not run out of memory.
	unknownMegabytes = 320
	// processMegabytes is the memory of the process outside Go's heap: its program text, and
	// the stacks of the C library.
	processMegabytes = 24
	// baseMegabytes is the part of the memory that an instance needs without clients.
	baseMegabytes = 40
	// minBudgetMegabytes is enough for one body of usual limits.
	minBudgetMegabytes = 12
	// reservedFiles is the number of descriptors that are reserved for files and for what
	// has no share.
	reservedFiles = 200
	// connBytes is what a connection is charged for its buffers and goroutines.
	connBytes = 32 << 10
	// minConns is the least number of connections that a listener allows.
	minConns = 16
)

// Sizes are the bounds that follow from the memory and the descriptors of a machine.
type Sizes struct {
	// HeapBytes is the limit to give to Go's runtime; 0 to leave it alone.
	HeapBytes int64
	// BudgetBytes is the limit of the Budget.
	BudgetBytes int64
	// Descriptors is the number of descriptors for all listeners and for connections to
	// targets, peers and the store.
	Descriptors int
}

// SizesOf returns the bounds for a machine. memoryMegabytes and maxDescriptors are 0 if they
// are unknown.
func SizesOf(memoryMegabytes float64, maxDescriptors int) Sizes {
	out := Sizes{}
	memory := memoryMegabytes
	if memory <= 0 {
		memory = unknownMegabytes
	}
	if memoryMegabytes > 0 || os.Getenv("GOMEMLIMIT") == "" {
		// A tenth is left to what the runtime overshoots by.
		out.HeapBytes = int64(max(0.9*memory-processMegabytes, minBudgetMegabytes) * megabyte)
	}
	out.BudgetBytes = int64(max((memory-baseMegabytes)/2, minBudgetMegabytes) * megabyte)
	limit := processDescriptors()
	if maxDescriptors > 0 {
		limit = min(limit, maxDescriptors)
	}
	out.Descriptors = max(limit-reservedFiles, limit/2)
	return out
}

// processDescriptors returns the number of descriptors that the process may open.
func processDescriptors() int {
	const fallback = 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallback
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Conns returns the number of connections of a listener that may use a share, from 0 to 1, of
// the descriptors.
func (s Sizes) Conns(share float64) int {
	return max(int(share*float64(s.Descriptors)), minConns)
}

// CallerConns returns the same for callers, whose connections may use half of the budget.
func (s Sizes) CallerConns(share float64) int {
	byMemory := int(s.BudgetBytes / 2 / connBytes)
	return max(min(s.Conns(share), byMemory), minConns)
}

// Apply gives the limit of the heap to Go's runtime.
func (s Sizes) Apply() {
	if s.HeapBytes > 0 {
		debug.SetMemoryLimit(s.HeapBytes)
	}
}
