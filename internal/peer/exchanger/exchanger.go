// Package exchanger exchanges heartbeats between entry instances and fetches
// newer settings from the peer that has them.
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

// Paths of the exchange, served by the listener.
const (
	PathHeartbeat = "/peer/heartbeat"
	PathSettings  = "/peer/settings"
)

const (
	callTimeout = time.Second
	mostAtOnce  = 64 // peers asked at once
)

// Exchanger exchanges heartbeats with all peers that the fleet knows.
type Exchanger struct {
	poster     *poster.Client
	credential string
	instance   string
	fleet      *keeper.Fleet
	now        func() time.Time
	seams      Seams

	mu     sync.Mutex
	latest map[string]Heard
	asked  map[string]bool // peers whose answer is awaited
}

// Heard is the last heartbeat of a peer.
type Heard struct {
	Heartbeat messenger.Heartbeat
	At        time.Time
}

// Seams are the functions that an exchanger calls.
type Seams struct {
	// Compose returns the heartbeat of this instance to a peer, which is empty if
	// it is not known.
	Compose func(to string) messenger.Heartbeat
	// Merge takes over settings of a peer.
	Merge func(messenger.SettingsSince)
	// Revision returns the settings revision of this instance.
	Revision func() int64
	// HearTargets takes what a peer says of leaving targets.
	HearTargets func([]messenger.LeavingTarget)
	// HearVerdicts takes what a peer says of requests that crash targets.
	HearVerdicts func([]messenger.Verdict)
	// Answered takes the answer to a heartbeat that was sent at sentAt.
	Answered func(answer messenger.HeartbeatAnswer, sentAt time.Time)
	// Complete adds to an answer what the sender of a heartbeat asks for.
	Complete func(asked messenger.Heartbeat, answer *messenger.HeartbeatAnswer)
}

// New returns an exchanger for instance.
func New(p *poster.Client, credential, instance string, fleet *keeper.Fleet, seams Seams) *Exchanger {
	return &Exchanger{
		poster: p, credential: credential, instance: instance, fleet: fleet, now: time.Now,
		seams: seams, latest: map[string]Heard{}, asked: map[string]bool{},
	}
}

// Tick sends one heartbeat to each peer, except those that still owe an answer.
// It does not wait, so that a frozen peer does not hold up the others.
func (x *Exchanger) Tick() {
	for address, id := range x.peers() {
		if !x.begin(address) {
			continue
		}
		go func() {
			defer x.end(address)
			x.exchange(address, id)
		}()
	}
}

// TickAndWait sends one heartbeat to each peer and waits for the answers.
func (x *Exchanger) TickAndWait() {
	var group errgroup.Group
	group.SetLimit(mostAtOnce)
	for address, id := range x.peers() {
		group.Go(func() error {
			x.exchange(address, id)
			return nil
		})
	}
	_ = group.Wait()
}

// peers returns the addresses to send heartbeats to, with their instances. A peer
// that is not heard may have come back at the address that the list has.
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

func (x *Exchanger) begin(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.asked[address] {
		return false
	}
	x.asked[address] = true
	return true
}

func (x *Exchanger) end(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.asked, address)
}

func (x *Exchanger) exchange(address, id string) {
	var answer messenger.HeartbeatAnswer
	sentAt := x.now()
	err := x.poster.Do(poster.Call{
		Method: fasthttp.MethodPost, URL: "http://" + address + PathHeartbeat, Token: x.credential,
		In: x.seams.Compose(id), Out: &answer, Deadline: sentAt.Add(callTimeout),
	})
	if err == nil && x.Absorb(answer.Heartbeat) {
		x.hearPeers(x.now(), answer.Peers)
		x.seams.Answered(answer, sentAt)
	}
}

// Answer takes the heartbeat of a peer and returns that of this instance.
func (x *Exchanger) Answer(hb messenger.Heartbeat) messenger.HeartbeatAnswer {
	x.Absorb(hb)
	answer := messenger.HeartbeatAnswer{
		Heartbeat: x.seams.Compose(hb.Instance),
		Loans:     []messenger.Share{}, Rosters: []messenger.Roster{}, Peers: []messenger.PeerNews{},
	}
	x.seams.Complete(hb, &answer)
	return answer
}

// Absorb takes the heartbeat of a peer into the fleet and reports whether it
// counted. Newer settings are fetched first, so that an instance which was cut
// off does not count a peer as heard before it has that peer's settings.
func (x *Exchanger) Absorb(hb messenger.Heartbeat) bool {
	if hb.Instance == x.instance || hb.Instance == "" {
		return false
	}
	// Verdicts add up in any order, also from a heartbeat that came late.
	x.seams.HearVerdicts(hb.Verdicts)
	if hb.Revision > x.seams.Revision() && !x.fetch(hb.Address) {
		return false
	}
	now := x.now()
	counted := false
	x.fleet.ChangeInstance(hb.Instance, func(in *keeper.Instance) {
		counted = detector.Hear(now, in, newsOf(hb, now))
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
	x.latest[hb.Instance] = Heard{Heartbeat: hb, At: now}
	x.mu.Unlock()
	x.seams.HearTargets(hb.LeavingTargets)
	return true
}

func newsOf(hb messenger.Heartbeat, now time.Time) detector.News {
	return detector.News{
		Incarnation: hb.Incarnation, StartedAt: time.UnixMilli(hb.StartedAtMilliseconds),
		Address: hb.Address, DataCentre: hb.DataCentre, Leaving: hb.Leaving,
		Sequence: hb.Sequence, HeardAt: now,
	}
}

// hearPeers takes what a peer heard of others. Its clock is not compared with
// that of this instance: news tell their age.
func (x *Exchanger) hearPeers(now time.Time, peers []messenger.PeerNews) {
	for _, p := range peers {
		if p.Instance == x.instance || p.Instance == "" || p.AgeMilliseconds < 0 {
			continue
		}
		news := detector.News{
			Incarnation: p.Incarnation, StartedAt: time.UnixMilli(p.StartedAtMilliseconds),
			Address: p.Address, DataCentre: p.DataCentre, Leaving: p.Leaving,
			HeardAt: now.Add(-time.Duration(p.AgeMilliseconds) * time.Millisecond),
		}
		x.fleet.ChangeInstance(p.Instance, func(in *keeper.Instance) { detector.Hear(now, in, news) })
	}
}

// Peers returns what this instance heard itself of the peers that are not gone.
func (x *Exchanger) Peers() []messenger.PeerNews {
	now := x.now()
	list := []messenger.PeerNews{}
	for id, in := range x.fleet.View().Instances {
		if id == x.instance || in.HeardAt.IsZero() || detector.Judge(now, in) == detector.Gone {
			continue
		}
		list = append(list, messenger.PeerNews{
			Instance: id, Incarnation: in.Incarnation, StartedAtMilliseconds: in.StartedAt.UnixMilli(),
			Address: in.Address, DataCentre: in.DataCentre, Leaving: in.MarkedLeaving,
			AgeMilliseconds: now.Sub(in.HeardAt).Milliseconds(),
		})
	}
	return list
}

func (x *Exchanger) fetch(address string) bool {
	var since messenger.SettingsSince
	err := x.poster.Do(poster.Call{
		Method: fasthttp.MethodGet,
		URL:    "http://" + address + PathSettings + "?since=" + strconv.FormatInt(x.seams.Revision(), 10),
		Token:  x.credential, Out: &since, Deadline: x.now().Add(callTimeout),
	})
	if err != nil {
		return false
	}
	x.seams.Merge(since)
	return true
}

// Heard returns the last heartbeats of the peers that were heard since.
func (x *Exchanger) Heard(since time.Time) []Heard {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := make([]Heard, 0, len(x.latest))
	for _, h := range x.latest {
		if h.At.After(since) {
			list = append(list, h)
		}
	}
	return list
}
