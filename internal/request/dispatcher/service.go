package dispatcher

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/edge/forwarder"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/request/router"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// ServiceJob is one request to a plain service.
type ServiceJob struct {
	ID          string
	Key         string
	Service     keeper.Service
	Method      string
	PathQuery   string
	ContentType string
	Body        []byte
	Deadline    time.Time
	Repeatable  bool
	Fingerprint quarantiner.Fingerprint
	// Context cancels the request, as in Job.
	Context context.Context
}

// Forward runs a request to a plain service. The error is a *FailureError. An answer by which
// a target asks for quiet is final if the request may not be repeated, or if no other target
// takes it in time.
func (d *Dispatcher) Forward(job *ServiceJob) (forwarder.Answer, error) {
	a := &attempts{repeatable: job.Repeatable}
	var turnedAway *forwarder.Answer // the last answer by which a target has asked for quiet
	for {
		target, err := d.pickService(job, a)
		if err != nil && turnedAway != nil && !a.ran {
			return *turnedAway, nil
		}
		if err != nil {
			return forwarder.Answer{}, a.pickFailure(err)
		}
		answer, err := d.sendToService(job, a, target)
		switch {
		case err == nil && a.asksQuiet && job.Repeatable && a.count+1 < maxAttempts:
			a.count++
			turnedAway = &answer
		case err == nil:
			return answer, nil
		case !a.recordFailure(target.ID, err):
			return forwarder.Answer{}, a.failure()
		}
	}
}

// sendToService sends a request to a target that pickService has chosen.
func (d *Dispatcher) sendToService(job *ServiceJob, a *attempts, target *keeper.Target) (forwarder.Answer, error) {
	defer target.Counter.InFlight.Add(-1)
	defer a.endReturn(target)
	answer, err := d.services.Do(target.Address, forwarder.Call{
		ID: job.ID, Key: job.Key, Method: job.Method, PathQuery: job.PathQuery,
		ContentType: job.ContentType, Body: job.Body, AnswerDeadline: job.Deadline, Context: job.Context,
		// A pooled connection may have gone silent; see runUnary.
		Fresh: true,
	})
	a.notice = answer.Notice
	a.asksQuiet = d.takeNotice(target, a)
	if err == nil && !a.asksQuiet {
		a.allowMoreReturns(target)
	}
	d.observeServiceRun(job, target, answer, err)
	return answer, err
}

// crashPeriod is the time within which two crashes of a plain service are taken for one: its
// targets report no incarnation that would tell them apart.
const crashPeriod = 10 * time.Second

// observeServiceRun records how the run of a request at a plain service ended, as far as that
// says something of its content.
func (d *Dispatcher) observeServiceRun(job *ServiceJob, target *keeper.Target, answer forwarder.Answer, err error) {
	now := d.now()
	if errors.Is(err, connector.ErrCut) && d.services.HasEnded(target.Address, now.Add(probeTimeout)) {
		place := quarantiner.Place{Target: target.ID, Incarnation: "at " + strconv.FormatInt(now.Unix()/int64(crashPeriod.Seconds()), 10)}
		if d.quarantiner.Crashed(now, place, job.Fingerprint) {
			go d.announce() // the caller does not wait for it
		}
	}
	d.quarantiner.End(target.ID, job.Fingerprint)
	if err == nil && answer.Status < http.StatusInternalServerError {
		d.quarantiner.Clear(now, job.Fingerprint)
	}
}

// pickService chooses a target and counts the request as in flight there. It waits for a
// target that has asked for quiet if the deadline of the request allows it, and for other
// suspects to finish.
func (d *Dispatcher) pickService(job *ServiceJob, a *attempts) (*keeper.Target, error) {
	for {
		target, err := d.tryPickService(job, a)
		if err == nil {
			target.Counter.InFlight.Add(1)
			return target, nil
		}
		if !waitsForQuiet(err, job.Deadline) && !d.waitsForSuspect(a, err) {
			return nil, err
		}
		time.Sleep(pickPollInterval)
	}
}

func (d *Dispatcher) tryPickService(job *ServiceJob, a *attempts) (*keeper.Target, error) {
	now := d.now()
	if err := checkActive(job.Context, now, job.Deadline); err != nil {
		return nil, err
	}
	return d.tryClaim(now, job.Fingerprint, a, func(excluded []string) (*keeper.Target, error) {
		return router.Pick(now, serviceTargets(d.fleet.View(), job.Service), router.Query{
			DataCentre: d.dataCentre, Excluded: excluded, Seed: rand.Uint64(),
		})
	})
}

// serviceTargets returns the known targets of a service, sorted by ID.
func serviceTargets(view *keeper.View, service keeper.Service) []*keeper.Target {
	targets := []*keeper.Target{}
	for _, id := range slices.Sorted(maps.Keys(view.Targets)) {
		t := view.Targets[id]
		if t.Kind == keeper.Plain && slices.Contains(service.Targets, id) {
			targets = append(targets, t)
		}
	}
	return targets
}
