package supervisor

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/gateway/allocator"
	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

const (
	// releaseBatchDelay is how long releases are collected before they are sent.
	releaseBatchDelay = 3 * time.Millisecond
	// releaseTimeout bounds a message with releases, and maxReleaseAttempts is how often it is
	// sent: after that the slots are free at their deadlines.
	releaseTimeout     = 300 * time.Millisecond
	maxReleaseAttempts = 3
	// lateHold is how long after its latest start an ask is still kept for its refusal.
	lateHold = 2 * time.Millisecond
)

// ask asks an allocator, which may be this instance, for a slot.
func (s *slots) ask(ctx context.Context, name string, number int64, ask conductor.SlotAsk) (messenger.SlotResponse, error) {
	request := s.encodeAsk(number, ask)
	if name == s.supervisor.settings.Instance {
		return s.answer(ctx.Done(), request), nil
	}
	address := s.supervisor.informer.AddressOf(name)
	if address == "" {
		return messenger.SlotResponse{}, conductor.ErrNoAllocator
	}
	type result struct {
		answer messenger.SlotResponse
		err    error
	}
	results := make(chan result, 1)
	go func() {
		var r result
		r.err = s.client.Do(poster.Call{
			Method: http.MethodPost, URL: "http://" + address + pathSlot, In: request, Out: &r.answer, Deadline: time.Now().Add(askTimeout),
		})
		results <- r
	}()
	select {
	case r := <-results:
		return r.answer, r.err
	case <-ctx.Done():
		return messenger.SlotResponse{}, errors.Wrap(ctx.Err(), "ask for a slot")
	}
}

func (s *slots) encodeAsk(number int64, ask conductor.SlotAsk) messenger.SlotRequest {
	now := time.Now()
	out := messenger.SlotRequest{
		Service: ask.Service, Instance: s.supervisor.settings.Instance, Incarnation: s.supervisor.incarnation, Number: number,
		Rank: ask.Rank, Account: ask.Account, Content: ask.Content, Avoid: notNil(ask.Avoid),
		AgeMilliseconds: tenths(now.Sub(ask.Arrived)), StartMilliseconds: tenths(ask.LatestStart.Sub(now)),
		GoalMilliseconds: maxMilliseconds, DeadlineMilliseconds: tenths(ask.Deadline.Sub(now)),
	}
	if !ask.Goal.IsZero() {
		out.GoalMilliseconds = tenths(ask.Goal.Sub(now))
	}
	return out
}

// tenths returns a time in milliseconds, rounded to tenths to keep messages short.
func tenths(d time.Duration) float64 { return math.Round(10*toMilliseconds(d)) / 10 }

// maxSlotTime bounds how long a peer may use a slot.
const maxSlotTime = 10 * time.Minute

func decodeAsk(in messenger.SlotRequest) allocator.Ask {
	now := time.Now()
	return allocator.Ask{
		Key:     allocator.Key{Instance: in.Instance, Incarnation: in.Incarnation, Number: in.Number},
		Service: in.Service, Rank: in.Rank, Account: in.Account, Content: in.Content, Avoid: in.Avoid,
		Arrived: now.Add(-milliseconds(max(in.AgeMilliseconds, 0))), Goal: now.Add(milliseconds(in.GoalMilliseconds)),
		LatestStart: now.Add(milliseconds(in.StartMilliseconds)),
		Deadline:    now.Add(min(max(milliseconds(in.DeadlineMilliseconds), 0), maxSlotTime)),
	}
}

// answer decides on an ask as the allocator. The answer is empty if the ask still waits.
func (s *slots) answer(done <-chan struct{}, request messenger.SlotRequest) messenger.SlotResponse {
	limit := min(maxHold, max(milliseconds(request.StartMilliseconds), 0)+lateHold)
	answer, ok := s.decide(done, decodeAsk(request), limit)
	if !ok {
		return messenger.SlotResponse{AllocatorID: s.allocatorID}
	}
	return messenger.SlotResponse{
		Target: answer.Target, AllocatorID: s.allocatorID, Refusal: string(answer.Reason), RetryMilliseconds: tenths(answer.RetryIn),
	}
}

// serveAsk answers the ask of a peer. It is not served while this instance knows no target.
func (s *slots) serveAsk(ctx *fasthttp.RequestCtx) {
	var request messenger.SlotRequest
	if !s.supervisor.decode(ctx, &request) {
		return
	}
	if len(s.supervisor.registry.View().TargetsOf(request.Service)) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.supervisor.encode(ctx, s.answer(nil, request))
}

// serveReleases receives the releases of a peer.
func (s *slots) serveReleases(ctx *fasthttp.RequestCtx) {
	var message messenger.SlotReleases
	if s.supervisor.decode(ctx, &message) {
		s.deliver(s.allocator.Release(time.Now(), decodeReleases(message)))
	}
}

func decodeReleases(in messenger.SlotReleases) []allocator.Release {
	out := make([]allocator.Release, 0, len(in.Releases))
	for _, r := range in.Releases {
		key := allocator.Key{Instance: in.Instance, Incarnation: in.Incarnation, Number: r.Number}
		out = append(out, allocator.Release{Key: key, IsFault: r.IsFault})
	}
	return out
}

// releaseQueue collects releases by the allocator that they are for.
type releaseQueue struct {
	mu       sync.Mutex
	releases map[string][]messenger.SlotRelease
	// ready receives a value when releases are added.
	ready chan struct{}
}

func newReleaseQueue() *releaseQueue {
	return &releaseQueue{releases: map[string][]messenger.SlotRelease{}, ready: make(chan struct{}, 1)}
}

func (q *releaseQueue) add(allocator string, number int64, isFault bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.releases[allocator] = append(q.releases[allocator], messenger.SlotRelease{Number: number, IsFault: isFault})
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take removes and returns the releases for an allocator.
func (q *releaseQueue) take(allocator string) []messenger.SlotRelease {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.releases[allocator]
	delete(q.releases, allocator)
	return out
}

// takeAll removes and returns all releases.
func (q *releaseQueue) takeAll() map[string][]messenger.SlotRelease {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.releases
	q.releases = map[string][]messenger.SlotRelease{}
	return out
}

// sendReleases sends the releases of this instance to their allocators until ctx is done.
func (s *slots) sendReleases(ctx context.Context) {
	self := s.supervisor.settings.Instance
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.releases.ready:
		}
		s.releaseOwn(s.releases.take(self))
		time.Sleep(releaseBatchDelay)
		for name, releases := range s.releases.takeAll() {
			if name == self {
				s.releaseOwn(releases)
				continue
			}
			go s.postReleases(name, releases)
		}
	}
}

func (s *slots) message(releases []messenger.SlotRelease) messenger.SlotReleases {
	return messenger.SlotReleases{
		Instance: s.supervisor.settings.Instance, Incarnation: s.supervisor.incarnation, Releases: releases,
	}
}

// releaseOwn frees slots that this instance has granted to itself.
func (s *slots) releaseOwn(releases []messenger.SlotRelease) {
	if len(releases) > 0 {
		s.deliver(s.allocator.Release(time.Now(), decodeReleases(s.message(releases))))
	}
}

// postReleases sends releases to an allocator. They may arrive more than once.
func (s *slots) postReleases(name string, releases []messenger.SlotRelease) {
	message := s.message(releases)
	for range maxReleaseAttempts {
		address := s.supervisor.informer.AddressOf(name)
		if address == "" {
			return // it is gone, and its successor counts the loads that are reported
		}
		err := s.client.Do(poster.Call{
			Method: http.MethodPost, URL: "http://" + address + pathSlotEnds, In: message, Deadline: time.Now().Add(releaseTimeout),
		})
		if err == nil {
			return
		}
		s.supervisor.log.V(1).Info("releases not delivered", "allocator", name, "count", len(releases), "error", err.Error())
	}
}
