package quarantiner

import (
	"fmt"
	"strings"
	"time"
)

// ConvictedError is an ErrConvicted that says what the verdict rests on.
type ConvictedError struct {
	// Trait is what is convicted.
	Trait Trait
	// Crashes holds the places that crashed under requests with the trait.
	Crashes []string
	// Age is the time since the conviction, and Left the time until it ends.
	Age  time.Duration
	Left time.Duration
}

func (e *ConvictedError) Error() string {
	cause := "it"
	if e.Trait.Kind == Part {
		cause = fmt.Sprintf("part %s of its prompt", e.Trait.Name)
	}
	return fmt.Sprintf("%v: %d ended under %s (%s); known for %d ms, refused for another %d ms",
		ErrConvicted, len(e.Crashes), cause, strings.Join(e.Crashes, ", "), e.Age.Milliseconds(), e.Left.Milliseconds())
}

// Is reports whether target is ErrConvicted.
func (e *ConvictedError) Is(target error) bool { return target == ErrConvicted }

// convictedError returns the error for a convicted trait. It is ErrWait at first: a report that
// is still on its way can take the conviction back.
func (q *Quarantiner) convictedError(now time.Time, t Trait, r *record) error {
	if !q.rules.hasTrials {
		return ErrConvicted
	}
	v := r.verdict
	if now.Before(v.since.Add(doubtWindow)) {
		return ErrWait
	}
	return &ConvictedError{Trait: t, Crashes: r.crashes, Age: now.Sub(v.since), Left: v.convictedUntil.Sub(now)}
}
