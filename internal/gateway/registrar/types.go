package registrar

import "slices"

// Kind states whether the requests of a route may be executed more than once.
type Kind int

const (
	// Unsafe requests are executed at most once.
	Unsafe Kind = iota
	// Safe requests may be executed more than once.
	Safe
	// Streaming requests are answered by a stream of events and executed at most once,
	// unless their route is resumable.
	Streaming
)

// Manifest is one version of the configuration that operators declare.
type Manifest struct {
	Version  int64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Accounts holds the client accounts by name; nil if requests need no account.
	Accounts map[string]*Account
}

// Limits restrict the requests of a caller. Zero means unlimited.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeoutMilliseconds is how long a caller may take to send the head of a request,
	// and IdleTimeoutMilliseconds how long a connection may stay idle.
	HeaderTimeoutMilliseconds int
	IdleTimeoutMilliseconds   int
}

// Route defines which services the requests of a host and path prefix go to, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Backends are the services that share the requests by weight.
	Backends []Backend
	// MaxAttempts is the maximum number of targets that one request may be executed on.
	MaxAttempts int
	// TimeoutMilliseconds limits the time from the arrival of a request to its final answer.
	TimeoutMilliseconds int
	// LatencyGoalMilliseconds is the time within which an answer, or the first event of a
	// stream, counts as on time.
	LatencyGoalMilliseconds int
	// EventGapGoalMilliseconds is the longest gap between two events of a stream that
	// counts as on time.
	EventGapGoalMilliseconds int
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Resumable reports whether an interrupted stream may be executed again.
	Resumable bool
	// IsPublic reports whether requests need no key of an account.
	IsPublic bool
}

// IsRepeatable reports whether a request of the route may be executed again after an
// execution whose outcome is unknown.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Backend is a service with its weight among the backends of a route.
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
	// Slots is the maximum number of requests that a target runs in one batch.
	Slots int
	// CacheTokens is the cache capacity of a target, in tokens, shared by running
	// requests and cached prompts.
	CacheTokens int
	// WeightMegabytes is the memory of a target for model weights and adapters.
	WeightMegabytes float64
	// MaxAdapters is the number of adapter slots of a target: the maximum number of
	// adapters loaded there.
	MaxAdapters int
	// LoadsPerSecond limits the rate of loads from the weight store, over all targets.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Model is a declared model.
type Model struct {
	Name             string
	Megabytes        float64
	AdapterMegabytes float64
	Adapters         []string
	// LoadSeconds, DiskSeconds and HostSeconds are the durations of a load from the
	// weight store, from the target's disk and from its host memory.
	LoadSeconds float64
	DiskSeconds float64
	HostSeconds float64
}

// Target is one incarnation of a process that serves requests, as its entry in the
// target table describes it.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// StartMilliseconds is the start time of the process, in milliseconds of Unix time; 0
	// if unknown. It identifies the incarnation.
	StartMilliseconds int64
	// Leaving reports whether the target is draining and accepts no new requests.
	Leaving  bool
	Holdings []Holding
	// InMemory and OnDisk name the models whose weights are cached in the target's
	// host memory and on its disk.
	InMemory []string
	OnDisk   []string
	// Heartbeat counts the reports of the process since its start. Of two entries of
	// one process the one with the higher count is newer. The store may execute a write late, also
	// one of an earlier process.
	Heartbeat int64
	// Version is the version of the table row that the entry was read from.
	Version int64
}

// Holding is a model loaded at a target, with the loaded adapters.
type Holding struct {
	Model    string
	Version  int
	Adapters []string
}

// IsOlderThan reports whether other is an entry of a process that started later under the same
// ID, or a later entry of the same process. A start that is not known is not earlier.
func (t *Target) IsOlderThan(other *Target) bool {
	switch {
	case other == nil:
		return false
	case t.StartMilliseconds == other.StartMilliseconds:
		return t.Heartbeat < other.Heartbeat
	default:
		return t.StartMilliseconds > 0 && t.StartMilliseconds < other.StartMilliseconds
	}
}

// HasCachedWeights reports whether the target can load a model without the weight store,
// because its weights are cached in host memory or on disk.
func (t *Target) HasCachedWeights(model string) bool {
	return slices.Contains(t.InMemory, model) || slices.Contains(t.OnDisk, model)
}

// Holding returns what the target holds of a model, or false if the model is not loaded.
func (t *Target) Holding(model string) (Holding, bool) {
	for _, h := range t.Holdings {
		if h.Model == model {
			return h, true
		}
	}
	return Holding{}, false
}

// Has reports whether an adapter of the model is loaded.
func (h Holding) Has(adapter string) bool { return slices.Contains(h.Adapters, adapter) }
