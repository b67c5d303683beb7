// Package runner puts the parts of an entry instance together and runs them.
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
	listEvery      = 500 * time.Millisecond
	reportEvery    = 200 * time.Millisecond
	eventsEvery    = time.Second
	heartbeatEvery = 500 * time.Millisecond
	settingsEvery  = 100 * time.Millisecond
	leaseEvery     = 250 * time.Millisecond
	orderEvery     = 250 * time.Millisecond
	drainingEvery  = 250 * time.Millisecond
	rateEvery      = time.Second
	pruneEvery     = 10 * time.Second
	peerTrust      = 5 * time.Second
)

// Node is one entry instance.
type Node struct {
	settings loader.Settings
	home     deduper.Home
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
	sequence  atomic.Int64
	// ordering tells that a tick of the orderer may be sending.
	ordering  atomic.Bool
	leaving   atomic.Bool
	drained   atomic.Bool
	drain     *drain
	sharer    sharer
	needs     atomic.Pointer[lender.Parts]
	killed    context.Context
	kill      context.CancelFunc
	arbiter   *arbiter.Arbiter
	readiness atomic.Pointer[readiness]
	poll      poll // of the settings loop alone
	rates     atomic.Pointer[map[string]float64]
}

// New returns an instance that does not run yet.
func New(settings loader.Settings, log logr.Logger) *Node {
	const incarnationLength = 10
	n := &Node{
		settings:  settings,
		home:      deduper.Home{Instance: settings.Instance, Incarnation: strings.ToLower(rand.Text()[:incarnationLength])},
		log:       log.WithValues("instance", settings.Instance),
		now:       time.Now,
		startedAt: time.Now(),
		drain:     newDrain(),
		fleet:     keeper.NewFleet(),
		tree:      configurer.NewTree(),
		arbiter:   arbiter.New(),
		keys:      deduper.New(),
		measurer:  measurer.New(time.Now()),
	}
	n.rates.Store(&map[string]float64{})
	n.needs.Store(&lender.Parts{})
	n.killed, n.kill = context.WithCancel(context.Background())
	client := poster.New()
	tables := transactor.New(settings.Platform, client)
	engines := commander.New(client)
	n.quarantiner = quarantiner.New(settings.Instance, quarantiner.WithAlive(n.isHeard))
	n.claimer = deduper.NewClaimer(n.home, tables)
	n.configurer = configurer.New(tables, n.tree, configurer.WithInTouch(n.inTouch))
	n.leaser = leaser.New(settings.Instance, n.home.Incarnation, leaser.TablesOf(tables))
	n.orderer = orderer.New(tables, engines, n.fleet, n.tree.Catalog, n.totalRates, policyOf(settings.Policy),
		orderer.WithLimits(limitsOf(settings.Policy)))
	n.watcher = watcher.New(lister.New(settings.Platform, client), engines, n.fleet)
	prefixes := prefixer.New()
	n.prefixes = prefixer.NewFollower(prefixes, n.fleet, engines.Events)
	n.dispatcher = dispatcher.New(n.fleet, n.quarantiner, settings.DataCentre,
		dispatcher.WithAnnounce(n.announce), dispatcher.WithPrefixes(prefixes))
	n.sharer = sharer{tables: tables, lender: lender.New(n.member(), lender.WithUnits(n.units))}
	n.admitter = admitter.New(admitter.WithShare(n.sharer.lender.Share))
	n.exchanger = exchanger.New(client, settings.PeerCredential, settings.Instance, n.fleet, exchanger.Seams{
		Compose:      n.heartbeat,
		Merge:        func(s messenger.SettingsSince) { n.tree.Merge(s) },
		Revision:     n.tree.Revision,
		HearTargets:  n.watcher.Hear,
		HearVerdicts: n.hearVerdicts,
		Answered:     n.answered,
		Complete:     n.complete,
	})
	n.listener = listener.New(n.parts())
	return n
}

func (n *Node) parts() listener.Parts {
	return listener.Parts{
		Home: n.home, Address: n.settings.Listen, DataCentre: n.settings.DataCentre,
		OperatorDigest: n.settings.Digest(), PeerCredential: n.settings.PeerCredential,
		Tree: n.tree, Configurer: n.configurer, Fleet: n.fleet, Admitter: n.admitter,
		Dispatcher: n.dispatcher, Keys: n.keys, Claimer: n.claimer,
		Exchanger: n.exchanger, Measurer: n.measurer, Log: n.log,
		Ready: n.ready, Leaving: n.leaving.Load, Drained: n.drained.Load, Accepted: n.push, Status: n.status,
	}
}

// Run serves until ctx ends and then stops without cutting off a request.
func (n *Node) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", n.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return n.Serve(ctx, ln)
}

// Serve is Run on a listener that is open already.
func (n *Node) Serve(ctx context.Context, ln net.Listener) error {
	n.log.Info("instance starts", "address", ln.Addr().String(), "incarnation", n.home.Incarnation)
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

// Kill ends the instance at once, as a crash of its process would.
func (n *Node) Kill() { n.kill() }

// loop is a task that runs again and again.
type loop struct {
	name  string
	every time.Duration
	run   func() error
}

func (n *Node) startLoops(ctx context.Context, group *errgroup.Group) {
	loops := []loop{
		{"list", listEvery, n.watcher.TickList},
		{"reports", reportEvery, func() error { n.watcher.TickReports(); return nil }},
		{"cache events", eventsEvery, func() error { n.prefixes.Tick(); return nil }},
		{"heartbeats", heartbeatEvery, func() error { n.exchanger.Tick(); return nil }},
		{"settings", settingsEvery, n.pollSettings},
		{"lease", leaseEvery, n.tickLease},
		{"orders", orderEvery, n.tickOrders},
		{"drainings", drainingEvery, n.tickDrainings},
		{"rates", rateEvery, n.tickRates},
		{"shares", shareEvery, n.tickShares},
		{"roster", rosterEvery, n.tickRoster},
		{"prune", pruneEvery, n.prune},
		{"claims", pruneEvery, n.pruneClaims},
	}
	for _, l := range loops {
		group.Go(func() error {
			n.runLoop(ctx, l)
			return nil
		})
	}
}

// runLoop logs an error when it first appears and when it is over.
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

func (n *Node) tickLease() error {
	if n.leaving.Load() {
		return nil
	}
	return n.leaser.Tick()
}

// prune forgets what has expired.
func (n *Node) prune() error {
	now := n.now()
	n.keys.Prune(now)
	n.dispatcher.Prune(now)
	n.listener.Prune(now)
	return nil
}

// pruneClaims is the task of the holder of the control lease alone, to spare the
// table service.
func (n *Node) pruneClaims() error {
	now := n.now()
	if _, held := n.leaser.Held(now); !held {
		return nil
	}
	return n.claimer.Prune(now)
}

func (n *Node) tickRates() error {
	rates := n.measurer.Rates(n.now())
	n.rates.Store(&rates)
	return nil
}

// totalRates returns the requests per second by model over all instances.
func (n *Node) totalRates() map[string]float64 {
	total := map[string]float64{}
	for model, rate := range *n.rates.Load() {
		total[model] += rate
	}
	for _, heard := range n.exchanger.Heard(n.now().Add(-peerTrust)) {
		for _, d := range heard.Heartbeat.Demands {
			total[d.Model] += d.Rate
		}
	}
	return total
}
