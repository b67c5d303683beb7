package keeper

import (
	"crypto/sha256"
	"slices"
	"strings"
)

// Name identifies what a request asks for or an engine holds: a model, or an adapter
// on a model, in a version. An empty Version stands for the configured one.
type Name struct {
	Model   string
	Adapter string
	Version string
}

// ParseName parses MODEL[:ADAPTER][@VERSION].
func ParseName(s string) Name {
	rest, version, _ := strings.Cut(s, "@")
	model, adapter, _ := strings.Cut(rest, ":")
	return Name{Model: model, Adapter: adapter, Version: version}
}

// String returns the name in the form that ParseName parses.
func (n Name) String() string {
	s := n.Model
	if n.Adapter != "" {
		s += ":" + n.Adapter
	}
	if n.Version != "" {
		s += "@" + n.Version
	}
	return s
}

// Base returns the name of the base model: the same name without the adapter.
func (n Name) Base() Name {
	return Name{Model: n.Model, Version: n.Version}
}

// Model is a configured model. Its Name is unique in the whole system: models of a
// team are named TEAM/NAME.
type Model struct {
	Name          string
	Version       string
	Bytes         int64
	Copies        int // minimum number of copies
	MaximumCopies int // 0 for no maximum
}

// Adapter is a configured adapter of a model.
type Adapter struct {
	Model   string
	Name    string
	Version string
	Bytes   int64
}

// FullName returns the name of the adapter at engines. It includes the version, so
// that an engine can hold several versions.
func (a Adapter) FullName() string {
	return a.Name + "." + a.Version
}

// Service is a configured plain service.
type Service struct {
	Name       string
	Repeatable bool
	Targets    []string
}

// Limit limits the use of one team over all instances. A zero field sets no limit.
type Limit struct {
	RequestsPerSecond float64
	Burst             int
	InFlight          int
}

// Units returns the number of whole requests that the limit can be divided into: the
// smaller of its burst and its number of requests in flight, or 0 if it sets neither.
// A rate without a burst has a burst of one.
func (l Limit) Units() int {
	units := l.InFlight
	if l.RequestsPerSecond > 0 && (units == 0 || l.BurstSize() < units) {
		units = l.BurstSize()
	}
	return units
}

// BurstSize returns how many requests a rate admits at once, at least one.
func (l Limit) BurstSize() int { return max(1, l.Burst) }

// Team is a configured team.
type Team struct {
	Name   string
	Digest [sha256.Size]byte
	Limit  Limit
}

// Catalog is the accepted configuration at one revision. It is immutable, so that a
// request uses one revision throughout.
type Catalog struct {
	Revision int64
	Models   map[string]Model
	Adapters map[string][]Adapter // by model
	Services map[string]Service
	Teams    map[string]Team
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{
		Models:   map[string]Model{},
		Adapters: map[string][]Adapter{},
		Services: map[string]Service{},
		Teams:    map[string]Team{},
	}
}

// Resolve returns the full name of what a team requests and whether it is configured.
// A model of the team takes precedence over one of the platform.
func (c *Catalog) Resolve(team string, asked Name) (Name, bool) {
	model, ok := c.Models[team+"/"+asked.Model]
	if !ok {
		model, ok = c.Models[asked.Model]
	}
	if !ok || !isVisible(team, model.Name) {
		return Name{}, false
	}
	full := Name{Model: model.Name, Version: model.Version}
	if asked.Version != "" && asked.Version != model.Version {
		return Name{}, false
	}
	if asked.Adapter == "" {
		return full, true
	}
	adapters := c.Adapters[model.Name]
	i := slices.IndexFunc(adapters, func(a Adapter) bool { return a.Name == asked.Adapter })
	if i < 0 {
		return Name{}, false
	}
	full.Adapter = adapters[i].FullName()
	return full, true
}

// isVisible reports whether a team may use a model: its own models and those of the
// platform.
func isVisible(team, model string) bool {
	owner, _, owned := strings.Cut(model, "/")
	return !owned || owner == team
}
