// Package detector decides which entry instances are alive. It is a failure
// detector over rows of the fleet: each function takes a row and the time and
// changes nothing else. Three sources count: heartbeats of an instance, what
// other instances heard of it, and the platform's instance list.
package detector

import (
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

const (
	// aliveTime is how long a heartbeat shows that its sender is alive.
	aliveTime = 1500 * time.Millisecond
	// suspectTime is how long an instance is suspected before it is gone.
	suspectTime = 5 * time.Second
	// forgetTime is how long an unlisted instance that is gone stays known, so
	// that late messages of its earlier incarnations are told apart.
	forgetTime = 10 * time.Minute
	// mostRetired bounds the earlier incarnations that are remembered.
	mostRetired = 16
)

// State says what is believed of an instance.
type State string

// States of an instance.
const (
	Alive     State = "Alive"
	Suspected State = "Suspected"
	Gone      State = "Gone"
)

// News is one sign of an instance: its own heartbeat, or what a peer heard of it.
type News struct {
	Incarnation string
	// StartedAt is the start of the incarnation by its own clock.
	StartedAt  time.Time
	Address    string
	DataCentre string
	Leaving    bool
	// Sequence orders the heartbeats of one incarnation. It is 0 in news of peers.
	Sequence int64
	// HeardAt is when the instance was heard by the one who tells of it.
	HeardAt time.Time
}

// Judge returns the state of an instance at now.
func Judge(now time.Time, in *keeper.Instance) State {
	switch {
	case now.Before(in.AliveUntil):
		return Alive
	case now.Before(in.GoneAt):
		return Suspected
	default:
		return Gone
	}
}

// IsHeard reports whether this instance itself heard another one of late.
func IsHeard(now time.Time, in *keeper.Instance) bool {
	return now.Before(in.HeardAt.Add(aliveTime))
}

// IsForgotten reports whether the row of an instance may be removed.
func IsForgotten(now time.Time, in *keeper.Instance) bool {
	return !in.Listed && !now.Before(in.ForgetAt)
}

// Hear takes a sign of an instance into its row and reports whether it counted.
// Signs of an incarnation that was replaced do not count, nor do heartbeats that
// were overtaken by later ones.
func Hear(now time.Time, in *keeper.Instance, news News) bool {
	if news.Incarnation == "" || slices.Contains(in.Retired, news.Incarnation) {
		return false
	}
	if news.Incarnation != in.Incarnation {
		if isOlder(now, in, news) {
			return false
		}
		replace(in, news)
	}
	isHeartbeat := news.Sequence > 0
	if isHeartbeat && news.Sequence <= in.Sequence {
		return false
	}
	mark(in, news.Leaving)
	if isHeartbeat {
		in.Sequence = news.Sequence
		in.HeardAt = news.HeardAt
		in.Address = news.Address
		in.DataCentre = news.DataCentre
	}
	extend(in, news.HeardAt)
	return true
}

// isOlder reports whether news tell of an earlier incarnation than the row. The
// clocks of two instances may differ, so that the start times decide only while
// the known incarnation is alive.
func isOlder(now time.Time, in *keeper.Instance, news News) bool {
	if in.Incarnation == "" {
		return false
	}
	if Judge(now, in) == Alive {
		return news.StartedAt.Before(in.StartedAt)
	}
	return !news.HeardAt.After(in.AliveUntil.Add(-aliveTime))
}

func replace(in *keeper.Instance, news News) {
	if in.Incarnation != "" {
		in.Retired = append(slices.Clone(in.Retired), in.Incarnation)
		in.Retired = in.Retired[max(0, len(in.Retired)-mostRetired):]
	}
	in.Incarnation = news.Incarnation
	in.StartedAt = news.StartedAt
	in.Sequence = 0
	in.QuietFence = 0
	in.Address = news.Address
	in.DataCentre = news.DataCentre
	in.MarkedLeaving = false
	mark(in, false)
}

// mark notes whether the present incarnation was said to leave, which holds for
// good. What the list says beyond that may tell of an earlier incarnation and
// holds for as long as the list says so.
func mark(in *keeper.Instance, leaving bool) {
	in.MarkedLeaving = in.MarkedLeaving || leaving
	in.Leaving = in.MarkedLeaving || in.ListedLeaving
}

func extend(in *keeper.Instance, heardAt time.Time) {
	if until := heardAt.Add(aliveTime); until.After(in.AliveUntil) {
		in.AliveUntil = until
		in.GoneAt = until.Add(suspectTime)
		in.ForgetAt = in.GoneAt.Add(forgetTime)
	}
}

// List takes the entry of an instance in the platform's list into its row. An
// instance that was never heard is suspected until it is heard or gone.
func List(now time.Time, in *keeper.Instance, address, dataCentre string, leaving bool) {
	in.Listed = true
	in.ListedAddress = address
	begins := leaving && !in.ListedLeaving
	in.ListedLeaving = leaving
	mark(in, begins)
	if in.Incarnation == "" {
		in.Address = address
		in.DataCentre = dataCentre
	}
	if in.GoneAt.IsZero() {
		in.GoneAt = now.Add(suspectTime)
		in.ForgetAt = in.GoneAt.Add(forgetTime)
	}
}

// Unlist notes that the platform's list no longer names an instance. An instance
// that is heard stays known: the list may flap.
func Unlist(in *keeper.Instance) {
	in.Listed = false
	in.ListedLeaving = false
	mark(in, false)
}
