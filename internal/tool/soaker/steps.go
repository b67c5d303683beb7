package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/crocusring/crocusring/platform/simulator"
)

const (
	// maxSteps is the number of steps that a manifest has, and recentSteps the number of those that
	// callers use.
	maxSteps    = 12
	recentSteps = 3
	// stepShare is the share of the requests that are sent on one of these.
	stepShare = 0.1
)

// stepList holds routes of which each version of the manifest adds one, so that callers see which
// version an instance has in force. The zero value has none.
type stepList struct {
	mu     sync.Mutex
	routes []route // those of the last manifest that the store has acknowledged, the newest last
}

// next returns the steps of the next version of the manifest.
func (l *stepList) next(version int) []route {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := fmt.Sprintf("step%d", version)
	added := route{
		Route:    simulator.Route{Name: name, Prefix: "/" + name + "/", Kind: "safe", Service: plainService, MaxAttempts: 2, TimeoutMS: 1500},
		services: []string{plainService}, step: version,
	}
	out := append(slices.Clone(l.routes), added)
	return out[max(len(out)-maxSteps, 0):]
}

// acknowledged records that the store has acknowledged a manifest with these steps.
func (l *stepList) acknowledged(steps []route) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routes = steps
}

// pickStep returns one of the last steps that the store has acknowledged.
func (s *soak) pickStep(random *rand.Rand) route {
	s.steps.mu.Lock()
	defer s.steps.mu.Unlock()
	recent := s.steps.routes[max(len(s.steps.routes)-recentSteps, 0):]
	return pick(random, recent)
}
