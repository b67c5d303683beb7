package quarantiner

import (
	"strconv"
	"time"
)

// Restored returns the verdict on a trait that was convicted until a deadline, of which nothing else
// was kept. Once the deadline has passed, the trait is a suspect, as after any conviction. Any other
// verdict on it goes before this one.
func Restored(now time.Time, t Trait, tied []Trait, convictedUntil time.Time) Verdict {
	crashes := make([]string, 0, enoughTrialCrashes)
	for n := range enoughTrialCrashes {
		// The places are not known. Traits with places in common would count as lost together.
		crashes = append(crashes, "restored "+t.Service+" "+t.Label()+" "+strconv.Itoa(n+1))
	}
	return Verdict{
		Trait: t, Tied: tied, Crashes: crashes, TrialCrashes: crashes, FirstCrash: now, Since: now.Add(-doubtWindow),
		ConvictedUntil: convictedUntil, Deadline: convictedUntil.Add(suspectTTL),
	}
}
