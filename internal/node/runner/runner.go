// Package runner assembles an entry instance, a process that accepts the requests of
// callers and relays them to targets, from its components. It runs their periodic tasks
// and stops the instance without cutting off requests.
package runner

import (
	"context"
	"crypto/rand"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/crocusring/crocusring/internal/control/arbiter"
	"github.com/crocusring/crocusring/internal/control/configurer"
	"github.com/crocusring/crocusring/internal/control/leaser"
	"github.com/crocusring/crocusring/internal/control/orderer"
	"github.com/crocusring/crocusring/internal/edge/commander"
	"github.com/crocusring/crocusring/internal/edge/listener"
	"github.com/crocusring/crocusring/internal/edge/lister"
	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/node/loader"
	"github.com/crocusring/crocusring/internal/peer/exchanger"
	"github.com/crocusring/crocusring/internal/peer/lender"
	"github.com/crocusring/crocusring/internal/peer/watcher"
	"github.com/crocusring/crocusring/internal/request/admitter"
	"github.com/crocusring/crocusring/internal/request/deduper"
	"github.com/crocusring/crocusring/internal/request/dispatcher"
	"github.com/crocusring/crocusring/internal/request/prefixer"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

const (
	listInterval      = 500 * time.Millisecond
	reportInterval    = 200 * time.Millisecond
	eventsInterval    = time.Second
	heartbeatInterval = 500 * time.Millisecond
	settingsInterval  = 100 * time.Millisecond
	leaseInterval     = 250 * time.Millisecond
	orderInterval     = 250 * time.Millisecond
	drainingInterval  = 250 * time.Millisecond
	rateInterval      = time.Second
	pruneInterval     = 10 * time.Second
	// heartbeatMaxAge is the age up to which the drainings and demands in a peer's
	// heartbeat are used.
	heartbeatMaxAge = 5 * time.Second
)

// Node is one entry instance.
type Node struct {
	settings loader.Settings
	self     deduper.Home
	log      logr.Logger
	now      func() time.Time

	fleet       *keeper.Fleet
	tree        *configurer.Tree
	configurer  *configurer.Configurer
	leaser      *leaser.Leaser
	orderer     *orderer.Orderer
	watcher     *watcher.Watcher
	admitter    *admitter.Admitter
	dispatcher  *dispatcher.Dispatcher
	prefixes    *prefixer.Follower
	keys        *deduper.Table
	claimer     *deduper.Claimer
	measurer    *measurer.Measurer
	exchanger   *exchanger.Exchanger
	listener    *listener.Listener
	quarantiner *quarantiner.Quarantiner

	startedAt time.Time
	// awaitTargetsUntil is the deadline until which this instance is not ready before it has
	// heard from its targets, and hasKnownTargets is set once it has or the deadline has passed.
	awaitTargetsUntil time.Time
	hasKnownTargets   atomic.Bool
	sequence          atomic.Int64
	// orderTickActive is set while a tick of the orderer may be sending orders.
	orderTickActive atomic.Bool
	leaving         atomic.Bool
	drained         atomic.Bool
	drainTimeout    time.Duration
	// stopLimit is when a planned stop ends at the latest; nil while none has begun.
	stopLimit    atomic.Pointer[time.Time]
	drainTracker *drainTracker
	sharer       sharer
	// needs holds the part of the limit of each team that this instance needs itself.
	needs     atomic.Pointer[lender.Parts]
	killed    context.Context
	kill      context.CancelFunc
	arbiter   *arbiter.Arbiter
	readiness atomic.Pointer[readiness]
	pollState pollState // used only by the settings loop
	// rates holds the requests per second for each model at this instance.
	rates atomic.Pointer[map[string]float64]
}

// Option configures a Node.
type Option func(*Node)

// WithDrainTimeout sets how long a planned stop may take.
func WithDrainTimeout(d time.Duration) Option { return func(n *Node) { n.drainTimeout = d } }

// New returns an instance that is not started yet.
func New(settings loader.Settings, log logr.Logger, opts ...Option) *Node {
	const incarnationLength = 10
	n := &Node{
		settings:     settings,
		self:         deduper.Home{Instance: settings.Instance, Incarnation: strings.ToLower(rand.Text()[:incarnationLength])},
		log:          log.WithValues("instance", settings.Instance),
		now:          time.Now,
		startedAt:    time.Now(),
		drainTracker: newDrainTracker(),
		drainTimeout: drainTimeout,
		fleet:        keeper.NewFleet(),
		tree:         configurer.NewTree(),
		arbiter:      arbiter.New(),
		keys:         deduper.New(),
		measurer:     measurer.New(time.Now()),
	}
	for _, opt := range opts {
		opt(n)
	}
	n.awaitTargetsUntil = n.startedAt.Add(targetsTimeout)
	n.rates.Store(&map[string]float64{})
	n.needs.Store(&lender.Parts{})
	n.killed, n.kill = context.WithCancel(context.Background())
	client := poster.New()
	tables := transactor.New(settings.Platform, client)
	engines := commander.New(client)
	n.quarantiner = quarantiner.New(settings.Instance, quarantiner.WithAlive(n.isPeerAlive))
	n.claimer = deduper.NewClaimer(n.self, tables)
	n.configurer = configurer.New(tables, n.tree, configurer.WithPeerCheck(n.reachesMajority))
	n.leaser = leaser.New(settings.Instance, n.self.Incarnation, leaser.TablesOf(tables))
	n.orderer = orderer.New(tables, engines, n.fleet, n.tree.Catalog, n.totalRates, policyOf(settings.Policy),
		orderer.WithLimits(limitsOf(settings.Policy)))
	n.watcher = watcher.New(lister.New(settings.Platform, client), engines, n.fleet)
	prefixes := prefixer.New()
	n.prefixes = prefixer.NewFollower(prefixes, n.fleet, engines.Events)
	n.dispatcher = dispatcher.New(n.fleet, n.quarantiner, settings.DataCentre,
		dispatcher.WithAnnounce(n.announceVerdicts), dispatcher.WithPrefixes(prefixes), dispatcher.WithLog(n.log))
	n.sharer = sharer{
		tables: tables, lender: lender.New(n.member(), lender.WithUnits(n.units)),
		awaitPeersUntil: n.startedAt.Add(rosterGrace),
	}
	n.admitter = admitter.New(admitter.WithShare(n.sharer.lender.Share))
	n.exchanger = exchanger.New(client, settings.PeerCredential, settings.Instance, n.fleet, exchanger.Callbacks{
		Compose:          n.heartbeat,
		Merge:            func(s messenger.SettingsSince) { n.tree.Merge(s) },
		Revision:         n.tree.Revision,
		OnLeavingTargets: n.watcher.ApplyLeavingTargets,
		OnVerdicts:       n.mergeVerdicts,
		OnAnswer:         n.onHeartbeatAnswer,
		CompleteAnswer:   n.completeAnswer,
	})
	n.listener = listener.New(n.parts())
	return n
}

func (n *Node) parts() listener.Config {
	return listener.Config{
		Home: n.self, Address: n.settings.Listen, DataCentre: n.settings.DataCentre,
		OperatorDigest: n.settings.Digest(), PeerCredential: n.settings.PeerCredential,
		Tree: n.tree, Configurer: n.configurer, Fleet: n.fleet, Admitter: n.admitter,
		Dispatcher: n.dispatcher, Keys: n.keys, Claimer: n.claimer,
		Exchanger: n.exchanger, Measurer: n.measurer, Log: n.log,
		Ready: n.checkReady, Leaving: n.leaving.Load, Drained: n.drained.Load, StopsAt: n.stopsAt, ConfirmChange: n.pushRevision, Status: n.status,
	}
}

// Run listens at the configured address, serves until ctx ends and then stops
// without cutting off a request.
func (n *Node) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", n.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return n.Serve(ctx, ln)
}

// Serve does the same as Run on an open listener.
func (n *Node) Serve(ctx context.Context, ln net.Listener) error {
	n.log.Info("instance starts", "address", ln.Addr().String(), "incarnation", n.self.Incarnation)
	loops, stopLoops := context.WithCancel(n.killed)
	defer stopLoops()
	var group errgroup.Group
	group.Go(func() error { return n.listener.Serve(ln) })
	n.startLoops(loops, &group)
	group.Go(func() error {
		defer stopLoops()
		select {
		case <-n.killed.Done():
			return n.listener.Shutdown(n.killed)
		case <-ctx.Done():
			return n.stop()
		}
	})
	return group.Wait()
}

// Kill ends the instance at once, as a crash of its process would do.
func (n *Node) Kill() { n.kill() }

// loop is a periodic task.
type loop struct {
	name  string
	every time.Duration
	run   func() error
}

func (n *Node) startLoops(ctx context.Context, group *errgroup.Group) {
	loops := []loop{
		{"list", listInterval, n.watcher.TickList},
		{"reports", reportInterval, func() error { n.watcher.TickReports(); return nil }},
		{"cache events", eventsInterval, func() error { n.prefixes.Tick(); return nil }},
		{"heartbeats", heartbeatInterval, func() error { n.exchanger.Tick(); return nil }},
		{"settings", settingsInterval, n.pollSettings},
		{"lease", leaseInterval, n.tickLease},
		{"orders", orderInterval, n.tickOrders},
		{"drainings", drainingInterval, n.tickDrainings},
		{"rates", rateInterval, n.tickRates},
		{"shares", shareInterval, n.tickShares},
		{"roster", rosterInterval, n.tickRoster},
		{"prune", pruneInterval, n.prune},
		{"claims", pruneInterval, n.pruneClaims},
	}
	for _, l := range loops {
		group.Go(func() error {
			n.runLoop(ctx, l)
			return nil
		})
	}
}

// runLoop runs a periodic task until ctx ends. It logs the first of consecutive
// failures and the recovery.
func (n *Node) runLoop(ctx context.Context, l loop) {
	ticker := time.NewTicker(l.every)
	defer ticker.Stop()
	failing := false
	for {
		err := l.run()
		if err != nil && !failing {
			n.log.Info("task fails", "task", l.name, "reason", err.Error())
		}
		if err == nil && failing {
			n.log.Info("task works again", "task", l.name)
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tickLease acquires or renews the control lease, unless this instance is leaving.
func (n *Node) tickLease() error {
	if n.leaving.Load() {
		return nil
	}
	return n.leaser.Tick()
}

// prune removes expired entries from the in-memory tables.
func (n *Node) prune() error {
	now := n.now()
	n.keys.Prune(now)
	n.dispatcher.Prune(now)
	n.listener.Prune(now)
	return nil
}

// pruneClaims removes expired claims from the table service. Only the holder of the
// control lease does so, to limit the load on the table service.
func (n *Node) pruneClaims() error {
	now := n.now()
	if _, held := n.leaser.Held(now); !held {
		return nil
	}
	return n.claimer.Prune(now)
}

// tickRates updates the requests per second for each model at this instance.
func (n *Node) tickRates() error {
	rates := n.measurer.Rates(n.now())
	n.rates.Store(&rates)
	return nil
}

// totalRates returns the requests per second for each model, summed over all instances.
func (n *Node) totalRates() map[string]float64 {
	total := map[string]float64{}
	for model, rate := range *n.rates.Load() {
		total[model] += rate
	}
	for _, received := range n.exchanger.Received(n.now().Add(-heartbeatMaxAge)) {
		for _, d := range received.Heartbeat.Demands {
			total[d.Model] += d.Rate
		}
	}
	return total
}
