package timekeeper

import "time"

// driftDivisor bounds the drift between the clocks of two machines: 1 ms in a second. Either may be
// slewed by up to 500 ppm.
const driftDivisor = 1000

// MaxDrift returns how far the clocks of two machines may drift apart in a time.
func MaxDrift(elapsed time.Duration) time.Duration { return max(elapsed, 0) / driftDivisor }
