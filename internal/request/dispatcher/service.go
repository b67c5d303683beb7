package dispatcher

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/edge/forwarder"
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
	// Context cancels the request, as in Job.
	Context context.Context
}

// Forward runs a request to a plain service. The error is a *FailureError.
func (d *Dispatcher) Forward(job *ServiceJob) (forwarder.Answer, error) {
	a := &attempts{repeatable: job.Repeatable}
	for {
		target, err := d.pickService(job, a)
		if err != nil {
			return forwarder.Answer{}, a.pickFailure(err)
		}
		answer, err := d.services.Do(target.Address, forwarder.Call{
			ID: job.ID, Key: job.Key, Method: job.Method, PathQuery: job.PathQuery,
			ContentType: job.ContentType, Body: job.Body, AnswerDeadline: job.Deadline, Context: job.Context,
			// A pooled connection may have gone silent; see runUnary.
			Fresh: true,
		})
		target.Counter.InFlight.Add(-1)
		if err == nil {
			return answer, nil
		}
		if !a.recordFailure(target.ID, err) {
			return forwarder.Answer{}, a.failure()
		}
	}
}

func (d *Dispatcher) pickService(job *ServiceJob, a *attempts) (*keeper.Target, error) {
	now := d.now()
	if err := checkActive(job.Context, now, job.Deadline); err != nil {
		return nil, err
	}
	target, err := router.Pick(now, serviceTargets(d.fleet.View(), job.Service), router.Query{
		DataCentre: d.dataCentre, Excluded: a.tried, Seed: rand.Uint64(),
	})
	if err != nil {
		return nil, err
	}
	target.Counter.InFlight.Add(1)
	return target, nil
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
