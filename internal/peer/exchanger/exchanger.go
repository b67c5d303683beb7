// Package exchanger exchanges heartbeats between entry instances and fetches newer
// settings from the peer that reports them. Both sides of an exchange apply the
// heartbeat of the other to the fleet, where the detector judges which peers are
// alive.
package exchanger

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/crocusring/crocusring/internal/peer/detector"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// Paths that the listener serves for the exchange between peers.
const (
	PathHeartbeat = "/peer/heartbeat"
	PathSettings  = "/peer/settings"
)

const (
	callTimeout        = time.Second
	maxConcurrentCalls = 64 // heartbeats that TickAndWait sends at once
)

// Exchanger exchanges heartbeats with all peers in the fleet.
type Exchanger struct {
	poster     *poster.Client
	credential string
	instance   string
	fleet      *keeper.Fleet
	now        func() time.Time
	callbacks  Callbacks

	mu             sync.Mutex
	lastHeartbeats map[string]Received
	exchanging     map[string]bool // addresses with an exchange in progress
}

// Received is the last heartbeat of a peer and the time of its receipt.
type Received struct {
	Heartbeat messenger.Heartbeat
	At        time.Time
}

// Callbacks are the functions through which an exchanger reads and updates the state of
// its instance.
type Callbacks struct {
	// Compose returns the heartbeat of this instance to the peer to, which is empty if
	// the peer is not known.
	Compose func(to string) messenger.Heartbeat
	// Merge applies settings of a peer.
	Merge func(messenger.SettingsSince)
	// Revision returns the settings revision of this instance.
	Revision func() int64
	// OnLeavingTargets is called with the leaving targets that a peer reports.
	OnLeavingTargets func([]messenger.LeavingTarget)
	// OnVerdicts is called with the verdicts of a peer on requests that crash targets.
	OnVerdicts func([]messenger.Verdict)
	// OnAnswer is called with the answer to a heartbeat that was sent at sentAt.
	OnAnswer func(answer messenger.HeartbeatAnswer, sentAt time.Time)
	// CompleteAnswer adds to an answer what the sender of the heartbeat requests.
	CompleteAnswer func(request messenger.Heartbeat, answer *messenger.HeartbeatAnswer)
}

// New returns an exchanger for instance that authenticates to peers by credential.
func New(p *poster.Client, credential, instance string, fleet *keeper.Fleet, callbacks Callbacks) *Exchanger {
	return &Exchanger{
		poster: p, credential: credential, instance: instance, fleet: fleet, now: time.Now,
		callbacks: callbacks, lastHeartbeats: map[string]Received{}, exchanging: map[string]bool{},
	}
}

// Tick sends one heartbeat to each address that has no exchange in progress. It does
// not wait for the answers, so that a frozen peer does not delay the others.
func (x *Exchanger) Tick() {
	for address, id := range x.peers() {
		if !x.beginExchange(address) {
			continue
		}
		go func() {
			defer x.endExchange(address)
			x.exchange(address, id)
		}()
	}
}

// TickAndWait sends one heartbeat to each peer and waits until all exchanges have
// ended.
func (x *Exchanger) TickAndWait() {
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for address, id := range x.peers() {
		group.Go(func() error {
			x.exchange(address, id)
			return nil
		})
	}
	_ = group.Wait()
}

// peers returns the addresses to send heartbeats to, with the instance at each. A
// peer that is not alive may have restarted at the address in the platform's list,
// so that this address is included too.
func (x *Exchanger) peers() map[string]string {
	now := x.now()
	list := map[string]string{}
	for id, in := range x.fleet.View().Instances {
		state := detector.Judge(now, in)
		if id == x.instance || (state == detector.Gone && !in.Listed) {
			continue
		}
		list[in.Address] = id
		if state != detector.Alive && in.ListedAddress != "" && in.ListedAddress != in.Address {
			list[in.ListedAddress] = id
		}
	}
	return list
}

// beginExchange reports whether an exchange with the address may start, and marks it
// as in progress.
func (x *Exchanger) beginExchange(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.exchanging[address] {
		return false
	}
	x.exchanging[address] = true
	return true
}

func (x *Exchanger) endExchange(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.exchanging, address)
}

func (x *Exchanger) exchange(address, id string) {
	var answer messenger.HeartbeatAnswer
	sentAt := x.now()
	err := x.poster.Do(poster.Call{
		Method: fasthttp.MethodPost, URL: "http://" + address + PathHeartbeat, Token: x.credential,
		In: x.callbacks.Compose(id), Out: &answer, Deadline: sentAt.Add(callTimeout),
	})
	if err == nil && x.ApplyHeartbeat(answer.Heartbeat) {
		x.applyPeerReports(x.now(), answer.Peers)
		x.callbacks.OnAnswer(answer, sentAt)
	}
}

// Answer applies the heartbeat of a peer and returns the answer to it.
func (x *Exchanger) Answer(hb messenger.Heartbeat) messenger.HeartbeatAnswer {
	x.ApplyHeartbeat(hb)
	answer := messenger.HeartbeatAnswer{
		Heartbeat: x.callbacks.Compose(hb.Instance),
		Loans:     []messenger.Share{}, Rosters: []messenger.Roster{}, Peers: []messenger.PeerNews{},
	}
	x.callbacks.CompleteAnswer(hb, &answer)
	return answer
}

// ApplyHeartbeat applies the heartbeat of a peer to the fleet and reports whether it
// counted. Newer settings are fetched first, so that an instance which was
// partitioned does not consider a peer alive before it has the settings of that
// peer.
func (x *Exchanger) ApplyHeartbeat(hb messenger.Heartbeat) bool {
	if hb.Instance == x.instance || hb.Instance == "" {
		return false
	}
	// Verdicts can be merged in any order, so those of a late heartbeat count too.
	x.callbacks.OnVerdicts(hb.Verdicts)
	if hb.Revision > x.callbacks.Revision() && !x.fetchSettings(hb.Address) {
		return false
	}
	now := x.now()
	counted := false
	x.fleet.ChangeInstance(hb.Instance, func(in *keeper.Instance) {
		counted = detector.Observe(now, in, observationOf(hb, now))
		if counted {
			in.Revision = hb.Revision
			in.InFlight = hb.InFlight
			in.QuietFence = hb.QuietFence
		}
	})
	if !counted {
		return false
	}
	x.mu.Lock()
	x.lastHeartbeats[hb.Instance] = Received{Heartbeat: hb, At: now}
	x.mu.Unlock()
	x.callbacks.OnLeavingTargets(hb.LeavingTargets)
	return true
}

// observationOf returns what a heartbeat received at now shows of its sender.
func observationOf(hb messenger.Heartbeat, now time.Time) detector.Observation {
	return detector.Observation{
		Incarnation: hb.Incarnation, StartedAt: time.UnixMilli(hb.StartedAtMilliseconds),
		Address: hb.Address, DataCentre: hb.DataCentre, Leaving: hb.Leaving,
		Sequence: hb.Sequence, HeartbeatAt: now,
	}
}

// applyPeerReports applies what a peer reports of other instances. A report carries
// its age, so that the clocks of the two instances are not compared.
func (x *Exchanger) applyPeerReports(now time.Time, peers []messenger.PeerNews) {
	for _, p := range peers {
		if p.Instance == x.instance || p.Instance == "" || p.AgeMilliseconds < 0 {
			continue
		}
		observation := detector.Observation{
			Incarnation: p.Incarnation, StartedAt: time.UnixMilli(p.StartedAtMilliseconds),
			Address: p.Address, DataCentre: p.DataCentre, Leaving: p.Leaving,
			HeartbeatAt: now.Add(-time.Duration(p.AgeMilliseconds) * time.Millisecond),
		}
		x.fleet.ChangeInstance(p.Instance, func(in *keeper.Instance) { detector.Observe(now, in, observation) })
	}
}

// Peers returns a report of each peer that is not gone and that sent this instance a
// heartbeat itself.
func (x *Exchanger) Peers() []messenger.PeerNews {
	now := x.now()
	list := []messenger.PeerNews{}
	for id, in := range x.fleet.View().Instances {
		if id == x.instance || in.HeartbeatAt.IsZero() || detector.Judge(now, in) == detector.Gone {
			continue
		}
		list = append(list, messenger.PeerNews{
			Instance: id, Incarnation: in.Incarnation, StartedAtMilliseconds: in.StartedAt.UnixMilli(),
			Address: in.Address, DataCentre: in.DataCentre, Leaving: in.MarkedLeaving,
			AgeMilliseconds: now.Sub(in.HeartbeatAt).Milliseconds(),
		})
	}
	return list
}

// fetchSettings fetches and merges the settings that the peer at address has and this
// instance lacks. It reports whether the peer answered.
func (x *Exchanger) fetchSettings(address string) bool {
	var since messenger.SettingsSince
	err := x.poster.Do(poster.Call{
		Method: fasthttp.MethodGet,
		URL:    "http://" + address + PathSettings + "?since=" + strconv.FormatInt(x.callbacks.Revision(), 10),
		Token:  x.credential, Out: &since, Deadline: x.now().Add(callTimeout),
	})
	if err != nil {
		return false
	}
	x.callbacks.Merge(since)
	return true
}

// Received returns the last heartbeat of each peer, if it was received after since.
func (x *Exchanger) Received(since time.Time) []Received {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := make([]Received, 0, len(x.lastHeartbeats))
	for _, h := range x.lastHeartbeats {
		if h.At.After(since) {
			list = append(list, h)
		}
	}
	return list
}
