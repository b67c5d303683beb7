package runner

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusring/crocusring/internal/control/arbiter"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// readinessLife is how long a judgement of the settings is kept, so that it is not
// made again for each request.
const readinessLife = 100 * time.Millisecond

// readiness is why this instance takes no requests, or a nil error, as of a moment.
type readiness struct {
	err error
	at  time.Time
}

const (
	// pollers is the number of instances that read the revision in each turn; the
	// others hear of it from them and read only if they do not.
	pollers      = 4
	turnTime     = 2 * time.Second
	pollerAge    = 500 * time.Millisecond
	pollerSpread = 500 * time.Millisecond
	backupAge    = 1750 * time.Millisecond
	backupSpread = 250 * time.Millisecond
	pollerRetry  = time.Second
	backupRetry  = 4 * time.Second
)

// poll is the state of the settings loop.
type poll struct {
	triedAt   time.Time
	lastError error
}

func (n *Node) pollSettings() error {
	now := n.now()
	pace := paceOf(now, n.home.Instance, len(n.fleet.View().Instances))
	if now.Sub(n.arbiter.ConfirmedAt()) < pace.age {
		n.poll.lastError = nil
		return nil
	}
	if n.poll.lastError != nil && now.Sub(n.poll.triedAt) < pace.retry {
		return n.poll.lastError
	}
	n.poll = poll{triedAt: now, lastError: n.configurer.Poll()}
	if n.poll.lastError == nil {
		n.arbiter.Confirm(now)
	}
	return n.poll.lastError
}

// pace says from which age of the latest confirmation on, its own or one of a peer,
// an instance reads the revision itself, and how long it waits after a failed read.
type pace struct {
	age   time.Duration
	retry time.Duration
}

// paceOf returns the pace of an instance at a time. In each turn about as many
// instances as pollers read early, so that neither the reads nor the tries in an
// outage grow with the number of instances.
func paceOf(now time.Time, instance string, instances int) pace {
	turn := now.UnixNano() / int64(turnTime)
	hash := xxhash.Sum64String(instance + "/" + strconv.FormatInt(turn, 10))
	const lowBits = 32
	part := time.Duration(hash >> lowBits)
	if hash%uint64(max(1, instances)) < pollers {
		return pace{age: pollerAge + part%pollerSpread, retry: pollerRetry}
	}
	return pace{age: backupAge + part%backupSpread, retry: backupRetry}
}

// confirm takes what a peer answered to a heartbeat: that no revision newer than
// its own was in the table service at a moment. The moment is counted from the
// sending of the heartbeat, so that it is never later than the peer's own reading,
// over however many peers it came.
func (n *Node) confirm(hb messenger.Heartbeat, sentAt time.Time) {
	if hb.StoreAgeMilliseconds >= 0 && n.tree.Revision() >= hb.Revision {
		n.arbiter.Confirm(sentAt.Add(-time.Duration(hb.StoreAgeMilliseconds) * time.Millisecond))
	}
}

// settingsAge returns the age of the latest confirmation in milliseconds, -1 if
// there was none.
func (n *Node) settingsAge(now time.Time) int64 {
	at := n.arbiter.ConfirmedAt()
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds() + 1 // rounded up
}

// evidence returns what this instance knows about its settings. Only peers that
// it heard itself count as heard.
func (n *Node) evidence(now time.Time) arbiter.Evidence {
	e := arbiter.Evidence{Now: now, Revision: n.tree.Revision(), Listed: 1, Heard: 1}
	heard := map[string]bool{}
	for _, h := range n.exchanger.Heard(now.Add(-arbiter.Limit)) {
		e.Highest = max(e.Highest, h.Heartbeat.Revision)
		heard[h.Heartbeat.Instance] = true
	}
	for id, in := range n.fleet.View().Instances {
		if id == n.home.Instance || in.Leaving || (!in.Listed && !heard[id]) {
			continue
		}
		e.Listed++
		if heard[id] {
			e.Heard++
		}
	}
	return e
}

// inTouch reports whether this instance may accept changes of settings.
func (n *Node) inTouch() bool {
	return n.evidence(n.now()).HearsMost()
}

// ready reports why this instance takes no requests, or nil.
func (n *Node) ready() error {
	now := n.now()
	known := n.readiness.Load()
	if known != nil && known.err == nil && now.Sub(known.at) < readinessLife {
		return nil
	}
	err := n.arbiter.Judge(n.evidence(now))
	n.readiness.Store(&readiness{err: err, at: now})
	return err
}

const (
	// confirmTime bounds how long an accepted change waits until most instances have it.
	confirmTime = 2 * time.Second
	confirmPoll = 100 * time.Millisecond
)

// push tells the peers of a new revision. It returns the instances that have not
// confirmed it and whether most have.
func (n *Node) push(revision int64) (pending []string, confirmed bool) {
	deadline := n.now().Add(confirmTime)
	for {
		n.exchanger.TickAndWait()
		pending, confirmed = n.unconfirmed(revision)
		if confirmed || !n.now().Before(deadline) {
			return pending, confirmed
		}
		time.Sleep(confirmPoll)
	}
}

func (n *Node) unconfirmed(revision int64) (pending []string, confirmed bool) {
	pending = []string{}
	holders := arbiter.Evidence{}
	for id, in := range n.fleet.View().Instances {
		if in.Leaving || (!in.Listed && id != n.home.Instance) {
			continue
		}
		known := in.Revision
		if id == n.home.Instance {
			known = n.tree.Revision()
		}
		holders.Listed++
		if known >= revision {
			holders.Heard++
			continue
		}
		pending = append(pending, id)
	}
	slices.Sort(pending)
	return pending, holders.HearsMost() || holders.Listed == 0
}
