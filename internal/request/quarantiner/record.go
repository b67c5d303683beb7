package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// record is the state of one trait.
type record struct {
	crashes        []string // places of the crashes that count against the request, sorted
	clearedCrashes []string // places of the crashes it was cleared of, sorted
	// begun holds the places at which a run was lost whose answer had begun, sorted.
	begun []string
	owner string
	// term increases when another instance replaces an owner that is not alive.
	term int
	// target is the target that was claimed for the suspect, or, with trials, the place; empty for
	// none.
	target string
	// claimDeadline is when the claim ends by itself; zero if it ends with its owner.
	claimDeadline time.Time
	deadline      time.Time
	// verdict is what peers are told of the record; only with trials.
	verdict sharedVerdict
	// trialEndedAt is when a crash ended the last trial that this instance has permitted.
	trialEndedAt time.Time
}

// addCrash counts the crash of a place, at most once, and reports whether it is new.
func (r *record) addCrash(place string) bool {
	if contains(r.clearedCrashes, place) || contains(r.crashes, place) {
		return false
	}
	r.crashes = insertSorted(r.crashes, place)
	return true
}

// extend moves the deadline of the record to a later one.
func (r *record) extend(deadline time.Time) {
	if deadline.After(r.deadline) {
		r.deadline = deadline
	}
}

// clearCrashes removes the crashes of places from the record. Later reports of
// them no longer count.
func (r *record) clearCrashes(places []string) {
	for _, place := range places {
		r.clearedCrashes = insertSorted(r.clearedCrashes, place)
	}
	isCleared := func(place string) bool { return contains(r.clearedCrashes, place) }
	r.crashes = slices.DeleteFunc(slices.Clone(r.crashes), isCleared)
	r.begun = slices.DeleteFunc(slices.Clone(r.begun), isCleared)
	r.verdict.trialCrashes = slices.DeleteFunc(slices.Clone(r.verdict.trialCrashes), isCleared)
}

// insertSorted returns a copy of a sorted slice with s inserted, or the
// slice itself if it contains s.
func insertSorted(sorted []string, s string) []string {
	i, found := slices.BinarySearch(sorted, s)
	if found {
		return sorted
	}
	return slices.Insert(slices.Clone(sorted), i, s)
}

func contains(sorted []string, s string) bool {
	_, found := slices.BinarySearch(sorted, s)
	return found
}

// lastTrialCrash returns the last crash that ended a trial; empty for none.
func (r *record) lastTrialCrash() string {
	if len(r.verdict.trialCrashes) == 0 {
		return ""
	}
	return r.verdict.trialCrashes[len(r.verdict.trialCrashes)-1]
}

// sharesTrial reports whether the last trial of another record that a crash has ended was one of
// this record, too.
func (r *record) sharesTrial(other *record) bool {
	return slices.Contains(r.verdict.trialCrashes, other.lastTrialCrash())
}

// compare returns 1 if the record explains more than another one, -1 if less, and 0 if as much: more
// crashes before an answer had begun, or as many of these and more crashes in all.
func (r *record) compare(other *record) int {
	unanswered, others := len(r.crashes)-len(r.begun), len(other.crashes)-len(other.begun)
	return cmp.Or(cmp.Compare(unanswered, others), cmp.Compare(len(r.crashes), len(other.crashes)))
}
