package main

import "time"

// drill takes the store away for a time and brings it back from a copy of an earlier moment, or as
// it was if the case is played without trouble. It returns when the store is back.
func (w *world) drill(away time.Duration, moment time.Time) (back time.Time) {
	if !w.hasTrouble {
		time.Sleep(away)
		w.record.addf("no drill")
		return time.Now()
	}
	left := time.Now()
	w.store.leave()
	w.record.addf("drill: the store is away; its newest version is %d", w.store.newest())
	time.Sleep(away)
	before, after := w.store.returnFromCopy(moment)
	w.record.addf("drill: the store is back after %.1f s, from a copy that was %.1f s old when it went away: version %d in place of %d",
		time.Since(left).Seconds(), left.Sub(moment).Seconds(), after, before)
	return time.Now()
}
