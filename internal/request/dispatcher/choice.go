package dispatcher

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/edge/streamer"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/request/router"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

const (
	// maxSuspectWait bounds how long a suspect waits for a target that runs no other
	// suspect.
	maxSuspectWait = 5 * time.Second
	// maxMoveWait bounds how long a request waits for another copy of its model if
	// only leaving targets hold the model.
	maxMoveWait = 5 * time.Second
	// pickPollInterval is the time between two tries to pick a target.
	pickPollInterval = 10 * time.Millisecond
	// probeTimeout bounds the check whether a target has crashed.
	probeTimeout = 300 * time.Millisecond
	// clearingTokens is how many tokens a stream must receive after the point at
	// which an earlier target crashed before its request is no longer a suspect.
	// Fewer do not suffice: the earlier target may have generated further tokens that
	// were lost with the connection.
	clearingTokens = 8
)

// pick chooses a target and counts the request as in flight there. A suspect waits
// for a target that runs no other suspect. The caller must call endAttempt.
func (d *Dispatcher) pick(job *Job, a *attempts) (*keeper.Target, error) {
	for {
		before := d.fleet.View()
		target, err := d.tryPick(job, a)
		if err == nil {
			target.Counter.InFlight.Add(1)
			target.Counter.SentAfterReport.Add(1)
			d.prefixes.Insert(d.now(), target.ID, job.Prefix)
			a.current.Store(target)
			return target, nil
		}
		if !d.mayWait(job, a, before, err) {
			return nil, err
		}
		time.Sleep(pickPollInterval)
	}
}

// mayWait reports whether a request for which no target was found keeps trying. A
// suspect waits until other suspects have finished; any request waits for a new
// copy of a model whose only holders are leaving, or were before the try: the copy may
// have appeared since. Any request waits for a target that has asked for quiet if its
// deadline allows it.
func (d *Dispatcher) mayWait(job *Job, a *attempts, before *keeper.View, err error) bool {
	hasOnlyLeaving := func() bool {
		return before.OnlyLeavingHolders(job.Name) || d.fleet.View().OnlyLeavingHolders(job.Name)
	}
	if waitsForQuiet(err, job.Deadline) {
		return true
	}
	if d.waitsForSuspect(a, err) {
		return true
	}
	return errors.Is(err, router.ErrNoTarget) && hasOnlyLeaving() && d.isWithin(&a.moveWaitUntil, maxMoveWait)
}

// waitsForSuspect reports whether a request that has to wait for suspects goes on waiting.
func (d *Dispatcher) waitsForSuspect(a *attempts, err error) bool {
	return errors.Is(err, quarantiner.ErrWait) && d.isWithin(&a.suspectWaitUntil, maxSuspectWait)
}

// isWithin reports whether the end of a wait has not passed. It is set if the wait begins now.
func (d *Dispatcher) isWithin(until *time.Time, limit time.Duration) bool {
	now := d.now()
	if until.IsZero() {
		*until = now.Add(limit)
	}
	return now.Before(*until)
}

// tryPick makes one try to choose a target. The error is one of the quarantiner or
// the router, ErrCanceled or ErrDeadlinePassed.
func (d *Dispatcher) tryPick(job *Job, a *attempts) (*keeper.Target, error) {
	now := d.now()
	if err := checkActive(job.Context, now, job.Deadline); err != nil {
		return nil, err
	}
	return d.tryClaim(now, job.Fingerprint, a, func(excluded []string) (*keeper.Target, error) {
		view := d.fleet.View()
		return router.Pick(now, view.Holders(job.Name), router.Query{
			Name: job.Name, DataCentre: d.dataCentre, Excluded: excluded, Seed: rand.Uint64(),
			Cached: d.prefixes.Targets(now, job.Prefix), Peers: max(0, len(view.Instances)-1),
		})
	})
}

// choose chooses a target, but none of those that are excluded. The error is one of the router.
type choose func(excluded []string) (*keeper.Target, error)

// tryClaim chooses a target that the quarantiner allows for a request, and claims it if the
// request is a suspect. The error is one of the quarantiner or the router.
func (d *Dispatcher) tryClaim(now time.Time, f quarantiner.Fingerprint, a *attempts, choose choose) (*keeper.Target, error) {
	isSuspect, err := d.quarantiner.Check(now, f)
	if err != nil {
		return nil, err
	}
	target, err := d.claim(now, f, a, choose, false)
	if errors.Is(err, quarantiner.ErrWait) && !isSuspect {
		target, err = d.claim(now, f, a, choose, true)
	}
	if err != nil || !isSuspect {
		return target, err
	}
	d.announce()
	if err := d.quarantiner.Confirm(d.now(), f); err != nil {
		d.quarantiner.End(target.ID, f)
		a.endReturn(target)
		return nil, err
	}
	return target, nil
}

// claim claims the best target that the quarantiner allows for the request. If
// shared is set, a request that is no suspect may run beside a suspect. The error
// is quarantiner.ErrWait or a *router.QuietError if there are targets but none of them
// is allowed now.
func (d *Dispatcher) claim(now time.Time, f quarantiner.Fingerprint, a *attempts, choose choose, shared bool) (*keeper.Target, error) {
	excluded := slices.Clone(a.tried)
	var errBusy error
	for {
		target, err := choose(excluded)
		if err != nil && errBusy != nil {
			return nil, errBusy
		}
		if err != nil && len(a.disconnected) > 0 {
			a.tried = slices.DeleteFunc(a.tried, func(id string) bool { return slices.Contains(a.disconnected, id) })
			a.disconnected = nil
			excluded = slices.Clone(a.tried)
			continue
		}
		if err != nil {
			return nil, err
		}
		if errBusy = d.begin(now, target, f, a, shared); errBusy == nil {
			return target, nil
		}
		excluded = append(excluded, target.ID)
	}
}

// begin counts a request at a target if the quarantiner allows it there and the target has
// not asked for quiet since it was chosen.
func (d *Dispatcher) begin(now time.Time, target *keeper.Target, f quarantiner.Fingerprint, a *attempts, shared bool) error {
	isReturn, ok := target.BeginRequest(now)
	if !ok {
		return &router.QuietError{Until: now}
	}
	if err := d.quarantiner.Begin(now, target.ID, f, shared); err != nil {
		if isReturn {
			target.EndReturn()
		}
		return err
	}
	a.isReturn = isReturn
	return nil
}

// endAttempt stops counting a request as in flight on a target and records a crash of
// the target that ended the attempt. err is the error with which the attempt ended,
// or nil.
func (d *Dispatcher) endAttempt(target *keeper.Target, job *Job, a *attempts, err error) {
	target.Counter.InFlight.Add(-1)
	a.asksQuiet = d.takeNotice(target, a)
	a.endReturn(target)
	isCrash := d.isCrash(target, err)
	if !isCrash && isConnectionFault(err) {
		a.disconnected = append(a.disconnected, target.ID)
	}
	if isCrash {
		place := quarantiner.Place{Target: target.ID, Incarnation: target.Incarnation}
		if d.quarantiner.Crashed(d.now(), place, job.Fingerprint) {
			go d.announce() // the caller does not wait for it
		}
	}
	d.quarantiner.End(target.ID, job.Fingerprint)
}

// isConnectionFault reports whether an attempt failed because of its connection, so
// that another attempt may succeed on the same target.
func isConnectionFault(err error) bool {
	for _, fault := range []error{
		connector.ErrCut, connector.ErrSilent, streamer.ErrTruncated, streamer.ErrCrossed, streamer.ErrMalformed,
	} {
		if errors.Is(err, fault) {
			return true
		}
	}
	return false
}

// isCrash distinguishes a crash of a target from a connection that was closed or
// went silent while the target keeps running.
func (d *Dispatcher) isCrash(target *keeper.Target, err error) bool {
	if !errors.Is(err, connector.ErrCut) && !errors.Is(err, connector.ErrSilent) && !errors.Is(err, streamer.ErrTruncated) {
		return false
	}
	return d.engines.HasCrashed(target.Address, target.Incarnation, d.now().Add(probeTimeout))
}
