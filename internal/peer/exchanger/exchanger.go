// Package exchanger exchanges heartbeats between entry instances and fetches
// newer settings from the peer that has them.
package exchanger

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

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
	mostAtOnce  = 16 // peers asked at once
)

// Exchanger exchanges heartbeats with all peers that the fleet lists.
type Exchanger struct {
	poster     *poster.Client
	credential string
	instance   string
	fleet      *keeper.Fleet
	now        func() time.Time
	// compose returns the heartbeat of this instance.
	compose func() messenger.Heartbeat
	// merge takes over settings of a peer.
	merge func(messenger.SettingsSince)
	// revision returns the settings revision of this instance.
	revision func() int64
	answered func(hb messenger.Heartbeat, sentAt time.Time)

	mu     sync.Mutex
	latest map[string]Heard
}

// Heard is the last heartbeat of a peer.
type Heard struct {
	Heartbeat messenger.Heartbeat
	At        time.Time
}

// Seams are the functions that an exchanger calls.
type Seams struct {
	Compose  func() messenger.Heartbeat
	Merge    func(messenger.SettingsSince)
	Revision func() int64
	// Answered takes the answer to a heartbeat that was sent at sentAt.
	Answered func(hb messenger.Heartbeat, sentAt time.Time)
}

// New returns an exchanger for instance.
func New(p *poster.Client, credential, instance string, fleet *keeper.Fleet, seams Seams) *Exchanger {
	return &Exchanger{
		poster: p, credential: credential, instance: instance, fleet: fleet, now: time.Now,
		compose: seams.Compose, merge: seams.Merge, revision: seams.Revision, answered: seams.Answered,
		latest: map[string]Heard{},
	}
}

// Tick exchanges one heartbeat with each peer.
func (x *Exchanger) Tick() {
	var group errgroup.Group
	group.SetLimit(mostAtOnce)
	for id, in := range x.fleet.View().Instances {
		if id == x.instance {
			continue
		}
		group.Go(func() error {
			x.exchange(in.Address)
			return nil
		})
	}
	_ = group.Wait()
}

func (x *Exchanger) exchange(address string) {
	var answer messenger.HeartbeatAnswer
	sentAt := x.now()
	err := x.poster.Do(poster.Call{
		Method: fasthttp.MethodPost, URL: "http://" + address + PathHeartbeat, Token: x.credential,
		In: x.compose(), Out: &answer, Deadline: sentAt.Add(callTimeout),
	})
	if err == nil {
		x.Absorb(answer.Heartbeat)
		x.answered(answer.Heartbeat, sentAt)
	}
}

// Answer takes the heartbeat of a peer and returns that of this instance.
func (x *Exchanger) Answer(hb messenger.Heartbeat) messenger.HeartbeatAnswer {
	x.Absorb(hb)
	return messenger.HeartbeatAnswer{Heartbeat: x.compose()}
}

// Absorb takes the heartbeat of a peer into the fleet and fetches its settings
// if they are newer.
func (x *Exchanger) Absorb(hb messenger.Heartbeat) {
	if hb.Instance == x.instance || hb.Instance == "" {
		return
	}
	now := x.now()
	x.mu.Lock()
	x.latest[hb.Instance] = Heard{Heartbeat: hb, At: now}
	x.mu.Unlock()
	x.fleet.ChangeInstance(hb.Instance, func(in *keeper.Instance) {
		in.Incarnation = hb.Incarnation
		in.Address = hb.Address
		in.DataCentre = hb.DataCentre
		in.Leaving = hb.Leaving
		in.Revision = hb.Revision
		in.InFlight = hb.InFlight
		in.HeardAt = now
	})
	for _, id := range hb.LeavingTargets {
		if x.fleet.View().Targets[id] != nil {
			x.fleet.ChangeTarget(id, func(t *keeper.Target) { t.Leaving = true })
		}
	}
	if hb.Revision > x.revision() {
		x.fetch(hb.Address)
	}
}

func (x *Exchanger) fetch(address string) {
	var since messenger.SettingsSince
	err := x.poster.Do(poster.Call{
		Method: fasthttp.MethodGet,
		URL:    "http://" + address + PathSettings + "?since=" + strconv.FormatInt(x.revision(), 10),
		Token:  x.credential, Out: &since, Deadline: x.now().Add(callTimeout),
	})
	if err == nil {
		x.merge(since)
	}
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
