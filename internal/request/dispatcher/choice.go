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
	// suspectWait bounds how long a suspect waits for a target without another one.
	suspectWait = 5 * time.Second
	// moveWait bounds how long a request waits for a copy elsewhere if only
	// leaving targets hold its model.
	moveWait   = 5 * time.Second
	pickPoll   = 10 * time.Millisecond
	probeLimit = 300 * time.Millisecond
	// clearingTokens is how far past the point of a crash a stream must come to
	// be no longer a suspect. Tokens before that may have been lost on the way.
	clearingTokens = 8
)

// pick chooses a target and counts the request on it, a suspect only once no
// other one runs there. The caller must call leave.
func (d *Dispatcher) pick(job *Job, a *attempts) (*keeper.Target, error) {
	for {
		target, err := d.tryPick(job, a)
		if err == nil {
			target.Counter.InFlight.Add(1)
			target.Counter.SentAfterReport.Add(1)
			d.prefixes.Stored(d.now(), target.ID, job.Prefix)
			a.current.Store(target)
			return target, nil
		}
		if !d.mayWait(job, a, err) {
			return nil, err
		}
		time.Sleep(pickPoll)
	}
}

// mayWait reports whether a request for which no target was found is to try
// again: a suspect waits for its turn, others for a copy of a model whose holders leave.
func (d *Dispatcher) mayWait(job *Job, a *attempts, err error) bool {
	until, limit := &a.turnUntil, suspectWait
	switch {
	case errors.Is(err, quarantiner.ErrWait):
	case errors.Is(err, router.ErrNoTarget) && d.fleet.View().IsMoving(job.Name):
		until, limit = &a.moveUntil, moveWait
	default:
		return false
	}
	now := d.now()
	if until.IsZero() {
		*until = now.Add(limit)
	}
	return now.Before(*until)
}

// tryPick claims a target once. The error is that of the quarantiner, of the
// router or of the time.
func (d *Dispatcher) tryPick(job *Job, a *attempts) (*keeper.Target, error) {
	now := d.now()
	if err := checkTime(job.Context, now, job.Deadline); err != nil {
		return nil, err
	}
	isSuspect, err := d.quarantiner.Check(now, job.Fingerprint)
	if err != nil {
		return nil, err
	}
	target, err := d.claim(now, job, a, false)
	if errors.Is(err, quarantiner.ErrWait) && !isSuspect {
		target, err = d.claim(now, job, a, true)
	}
	if err != nil || !isSuspect {
		return target, err
	}
	d.announce()
	if err := d.quarantiner.Confirm(d.now(), job.Fingerprint); err != nil {
		d.quarantiner.End(target.ID, job.Fingerprint)
		return nil, err
	}
	return target, nil
}

// claim claims the best target that is free for the request. The error is
// ErrWait if there is one that is not free.
func (d *Dispatcher) claim(now time.Time, job *Job, a *attempts, shared bool) (*keeper.Target, error) {
	avoided := slices.Clone(a.tried)
	var busy error
	for {
		view := d.fleet.View()
		target, err := router.Pick(now, view.Holders(job.Name), router.Ask{
			Name: job.Name, DataCentre: d.dataCentre, Excluded: avoided, Seed: rand.Uint64(),
			Cached: d.prefixes.Targets(now, job.Prefix), Peers: max(0, len(view.Instances)-1),
		})
		if err != nil && busy != nil {
			return nil, busy
		}
		if err != nil && len(a.cut) > 0 {
			a.tried = slices.DeleteFunc(a.tried, func(id string) bool { return slices.Contains(a.cut, id) })
			a.cut = nil
			avoided = slices.Clone(a.tried)
			continue
		}
		if err != nil {
			return nil, err
		}
		if busy = d.quarantiner.Begin(now, target.ID, job.Fingerprint, shared); busy == nil {
			return target, nil
		}
		avoided = append(avoided, target.ID)
	}
}

// leave ends the count of a request on a target. err is how the attempt ended.
func (d *Dispatcher) leave(target *keeper.Target, job *Job, a *attempts, err error) {
	target.Counter.InFlight.Add(-1)
	isCrash := d.isCrash(target, err)
	if !isCrash && isConnectionFault(err) {
		a.cut = append(a.cut, target.ID)
	}
	if isCrash {
		place := quarantiner.Place{Target: target.ID, Incarnation: target.Incarnation}
		if d.quarantiner.Crashed(d.now(), place, job.Fingerprint) {
			go d.announce() // the caller does not wait for it
		}
	}
	d.quarantiner.End(target.ID, job.Fingerprint)
}

// isConnectionFault reports whether an attempt ended by its connection, so that
// another one may do better on the same target.
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

// isCrash tells the crash of a target from a connection that was cut or went
// silent while the target runs on.
func (d *Dispatcher) isCrash(target *keeper.Target, err error) bool {
	if !errors.Is(err, connector.ErrCut) && !errors.Is(err, connector.ErrSilent) {
		return false
	}
	return d.engines.Probe(target.Address, target.Incarnation, d.now().Add(probeLimit))
}
