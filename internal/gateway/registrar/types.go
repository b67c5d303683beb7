package registrar

import "slices"

// Kind tells what may be repeated of the requests of a route.
type Kind int

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by a series of events and run at most once
	// unless their route is resumable.
	Streaming
)

// Manifest is what operators declare, as of one version.
type Manifest struct {
	Version  int64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
}

// Limits bound what a caller may send. Zero means no bound.
type Limits struct {
	BodyBytes int
}

// Route says where the requests of a host and path prefix go, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Backends are the services that share the requests by weight.
	Backends []Backend
	// MaxAttempts is the greatest number of targets that one request may run on.
	MaxAttempts int
	// TimeoutMilliseconds bounds the time from arrival to the final answer.
	TimeoutMilliseconds int
	// AimMilliseconds is the time within which an answer, or the first event of a
	// stream, is on time.
	AimMilliseconds int
	// PauseMilliseconds is the longest pause between events of a stream that is on time.
	PauseMilliseconds int
	// Priority is the rank; 0 is the most urgent.
	Priority  int
	Resumable bool
}

// IsRepeatable reports whether a request of the route may run again after a run
// whose outcome is not known.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Backend is one service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string
	// Engine is nil for a service without models.
	Engine *Engine
}

// Engine describes the targets of a service that runs models.
type Engine struct {
	// Slots is the greatest number of requests in a batch.
	Slots int
	// CacheTokens is the memory for tokens that running requests and kept prompts share.
	CacheTokens int
	// WeightMegabytes is the memory for weights and adapters of a target.
	WeightMegabytes float64
	// AdapterPlaces is the greatest number of adapters of a target.
	AdapterPlaces int
	// LoadsPerSecond bounds the loads from the weight store over all targets.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Model is a declared model.
type Model struct {
	Name             string
	Megabytes        float64
	AdapterMegabytes float64
	Adapters         []string
	// LoadSeconds, DiskSeconds and HostSeconds are the times of a load from the
	// weight store, from the target's disk and from its host memory.
	LoadSeconds float64
	DiskSeconds float64
	HostSeconds float64
}

// Target is one incarnation of a process that serves requests.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Born names the start of the process, in milliseconds of Unix time.
	Born int64
	// Leaving tells that it takes no new requests.
	Leaving  bool
	Holdings []Holding
	// InMemory and OnDisk name the models whose weights it keeps close.
	InMemory []string
	OnDisk   []string
	// Heartbeat counts what the process has told of itself since its start; of two
	// entries the one with the higher count is the newer.
	Heartbeat int64
	// Version is that of the table row that told of it.
	Version int64
}

// Holding is a model that a target serves, with its adapters.
type Holding struct {
	Model    string
	Version  int
	Adapters []string
}

// IsOlderThan reports whether the entry tells of the same process as another one
// and was written by it before that.
func (t *Target) IsOlderThan(other *Target) bool {
	return other != nil && t.Born == other.Born && t.Heartbeat < other.Heartbeat
}

// HasAtHand reports whether the target can load a model without the weight store.
func (t *Target) HasAtHand(model string) bool {
	return slices.Contains(t.InMemory, model) || slices.Contains(t.OnDisk, model)
}

// Holding returns what the target holds of a model.
func (t *Target) Holding(model string) (Holding, bool) {
	for _, h := range t.Holdings {
		if h.Model == model {
			return h, true
		}
	}
	return Holding{}, false
}

// Has reports whether the target holds an adapter of the model.
func (h Holding) Has(adapter string) bool { return slices.Contains(h.Adapters, adapter) }
