package runner

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusring/crocusring/internal/control/arbiter"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// earlyPollers is the average number of instances that read the revision in each
	// turn; the others receive it from them and read it only if they do not.
	earlyPollers     = 4
	pollTurn         = 2 * time.Second
	earlyPollAge     = 500 * time.Millisecond
	earlyPollJitter  = 500 * time.Millisecond
	backupPollAge    = 1750 * time.Millisecond
	backupPollJitter = 250 * time.Millisecond
	earlyPollRetry   = time.Second
	backupPollRetry  = 4 * time.Second
)

// pollState is the state of the settings loop between two ticks.
type pollState struct {
	triedAt   time.Time
	lastError error
}

// pollSettings reads the settings from the table service if their latest
// confirmation is too old; see pollPace. After a failed read it returns the same error
// until the next attempt is due.
func (n *Node) pollSettings() error {
	now := n.now()
	pace := pollPaceOf(now, n.self.Instance, len(n.fleet.View().Instances))
	if now.Sub(n.arbiter.ConfirmedAt()) < pace.age {
		n.pollState.lastError = nil
		return nil
	}
	if n.pollState.lastError != nil && now.Sub(n.pollState.triedAt) < pace.retry {
		return n.pollState.lastError
	}
	n.pollState = pollState{triedAt: now, lastError: n.configurer.Poll()}
	if n.pollState.lastError == nil {
		n.arbiter.Confirm(now)
	}
	return n.pollState.lastError
}

// pollPace is when an instance reads the revision itself: once the latest confirmation,
// its own or one received from a peer, is older than age, and again after retry if
// the read failed.
type pollPace struct {
	age   time.Duration
	retry time.Duration
}

// pollPaceOf returns the poll pace of an instance at a time. In each turn a hash selects
// about earlyPollers instances that read early, so that neither the reads nor the
// attempts during an outage grow with the number of instances.
func pollPaceOf(now time.Time, instance string, instances int) pollPace {
	turn := now.UnixNano() / int64(pollTurn)
	hash := xxhash.Sum64String(instance + "/" + strconv.FormatInt(turn, 10))
	const lowBits = 32
	part := time.Duration(hash >> lowBits)
	if hash%uint64(max(1, instances)) < earlyPollers {
		return pollPace{age: earlyPollAge + part%earlyPollJitter, retry: earlyPollRetry}
	}
	return pollPace{age: backupPollAge + part%backupPollJitter, retry: backupPollRetry}
}

// confirmSettings handles a peer's answer to a heartbeat, which confirms that the table
// service held no revision newer than the peer's at an earlier time. That time is
// computed back from the sending of the heartbeat, so it is never later than the
// actual read, however many peers the confirmation passed through.
func (n *Node) confirmSettings(hb messenger.Heartbeat, sentAt time.Time) {
	if hb.StoreAgeMilliseconds >= 0 && n.tree.Revision() >= hb.Revision {
		n.arbiter.Confirm(sentAt.Add(-time.Duration(hb.StoreAgeMilliseconds) * time.Millisecond))
	}
}

// settingsAge returns the age of the latest confirmation of the settings in
// milliseconds, or -1 if there is none.
func (n *Node) settingsAge(now time.Time) int64 {
	at := n.arbiter.ConfirmedAt()
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds() + 1 // rounded up
}

// evidence returns the data from which the arbiter judges whether the settings are current.
// It counts as received only peers whose heartbeats this instance received directly.
func (n *Node) evidence(now time.Time) arbiter.Evidence {
	e := arbiter.Evidence{Now: now, Revision: n.tree.Revision(), Listed: 1, Received: 1}
	received := map[string]bool{}
	for _, h := range n.exchanger.Received(now.Add(-arbiter.ConfirmationTTL)) {
		e.HighestPeerRevision = max(e.HighestPeerRevision, h.Heartbeat.Revision)
		received[h.Heartbeat.Instance] = true
	}
	for id, in := range n.fleet.View().Instances {
		if id == n.self.Instance || in.Leaving || (!in.Listed && !received[id]) {
			continue
		}
		e.Listed++
		if received[id] {
			e.Received++
		}
	}
	return e
}

// reachesMajority reports whether this instance may accept changes of settings, that is,
// whether it receives heartbeats from most instances.
func (n *Node) reachesMajority() bool {
	return n.evidence(n.now()).ReachesMajority()
}

const (
	// confirmTimeout bounds the wait until most instances have an accepted change.
	confirmTimeout      = 2 * time.Second
	confirmPollInterval = 100 * time.Millisecond
)

// pushRevision sends heartbeats with a new revision to the peers until most instances have
// confirmed it or confirmTimeout has passed. It returns the instances that have not
// confirmed it and whether most have.
func (n *Node) pushRevision(revision int64) (pending []string, confirmed bool) {
	deadline := n.now().Add(confirmTimeout)
	for {
		n.exchanger.TickAndWait()
		pending, confirmed = n.unconfirmed(revision)
		if confirmed || !n.now().Before(deadline) {
			return pending, confirmed
		}
		time.Sleep(confirmPollInterval)
	}
}

// unconfirmed returns the instances that do not have a revision yet, as far as this
// instance knows, and whether most have it.
func (n *Node) unconfirmed(revision int64) (pending []string, confirmed bool) {
	pending = []string{}
	holders := arbiter.Evidence{}
	for id, in := range n.fleet.View().Instances {
		if in.Leaving || (!in.Listed && id != n.self.Instance) {
			continue
		}
		known := in.Revision
		if id == n.self.Instance {
			known = n.tree.Revision()
		}
		holders.Listed++
		if known >= revision {
			holders.Received++
			continue
		}
		pending = append(pending, id)
	}
	slices.Sort(pending)
	return pending, holders.ReachesMajority() || holders.Listed == 0
}
