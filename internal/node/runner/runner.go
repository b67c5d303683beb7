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

	"github.com/crocusring/crocusring/internal/control/configurer"
	"github.com/crocusring/crocusring/internal/control/leaser"
	"github.com/crocusring/crocusring/internal/control/orderer"
	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/edge/commander"
	"github.com/crocusring/crocusring/internal/edge/listener"
	"github.com/crocusring/crocusring/internal/edge/lister"
	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/node/loader"
	"github.com/crocusring/crocusring/internal/peer/exchanger"
	"github.com/crocusring/crocusring/internal/request/admitter"
	"github.com/crocusring/crocusring/internal/request/deduper"
	"github.com/crocusring/crocusring/internal/request/dispatcher"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/state/watcher"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

const (
	listEvery      = 500 * time.Millisecond
	reportEvery    = 200 * time.Millisecond
	heartbeatEvery = 250 * time.Millisecond
	settingsEvery  = time.Second
	leaseEvery     = 250 * time.Millisecond
	orderEvery     = 250 * time.Millisecond
	rateEvery      = time.Second
	pruneEvery     = 10 * time.Second
	peerTrust      = 5 * time.Second
	// isolationLimit is how long an instance that reaches neither the table
	// service nor a peer goes on with the settings that it has.
	isolationLimit = 3 * time.Second
)

var (
	errNoSettings = errors.New("no settings were read yet")
	errIsolated   = errors.New("neither the table service nor a peer can be reached")
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
	keys        *deduper.Table
	measurer    *measurer.Measurer
	exchanger   *exchanger.Exchanger
	listener    *listener.Listener
	quarantiner *quarantiner.Quarantiner

	startedAt   time.Time
	sequence    atomic.Int64
	leaving     atomic.Bool
	drained     atomic.Bool
	drain       *drain
	killed      context.Context
	kill        context.CancelFunc
	storeSeenAt atomic.Pointer[time.Time]
	rates       atomic.Pointer[map[string]float64]
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
		admitter:  admitter.New(),
		keys:      deduper.New(),
		measurer:  measurer.New(time.Now()),
	}
	n.rates.Store(&map[string]float64{})
	n.killed, n.kill = context.WithCancel(context.Background())
	client := poster.New()
	tables := transactor.New(settings.Platform, client)
	engines := commander.New(client)
	n.quarantiner = quarantiner.New()
	n.configurer = configurer.New(tables, n.tree)
	n.leaser = leaser.New(settings.Instance, n.home.Incarnation, tables)
	n.orderer = orderer.New(tables, engines, n.fleet, n.tree.Catalog, n.totalRates, n.policy())
	n.watcher = watcher.New(lister.New(settings.Platform, client), engines, n.fleet)
	n.dispatcher = dispatcher.New(n.fleet, n.quarantiner, settings.DataCentre)
	n.exchanger = exchanger.New(client, settings.PeerCredential, settings.Instance, n.fleet, exchanger.Seams{
		Compose:     n.heartbeat,
		Merge:       func(s messenger.SettingsSince) { n.tree.Merge(s.Entries, s.Revision) },
		Revision:    n.tree.Revision,
		HearTargets: n.watcher.Hear,
		Answered:    n.answered,
	})
	n.listener = listener.New(n.parts(tables))
	return n
}

func (n *Node) parts(tables *transactor.Client) listener.Parts {
	return listener.Parts{
		Home: n.home, Address: n.settings.Listen, DataCentre: n.settings.DataCentre,
		OperatorDigest: n.settings.Digest(), PeerCredential: n.settings.PeerCredential,
		Tree: n.tree, Configurer: n.configurer, Fleet: n.fleet, Admitter: n.admitter,
		Dispatcher: n.dispatcher, Keys: n.keys, Claimer: deduper.NewClaimer(n.home, tables),
		Exchanger: n.exchanger, Measurer: n.measurer, Log: n.log,
		Ready: n.ready, Leaving: n.leaving.Load, Drained: n.drained.Load, Accepted: n.push, Status: n.status,
	}
}

func (n *Node) policy() planner.Policy {
	p := planner.DefaultPolicy()
	if n.settings.Policy.RequestsPerCopy > 0 {
		p.RequestsPerCopy = n.settings.Policy.RequestsPerCopy
	}
	if n.settings.Policy.MostMoves > 0 {
		p.MostMoves = n.settings.Policy.MostMoves
	}
	return p
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
		{"heartbeats", heartbeatEvery, func() error { n.exchanger.Tick(); return nil }},
		{"settings", settingsEvery, n.pollSettings},
		{"lease", leaseEvery, n.tickLease},
		{"orders", orderEvery, n.tickOrders},
		{"rates", rateEvery, n.tickRates},
		{"prune", pruneEvery, func() error { n.keys.Prune(n.now()); return nil }},
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

func (n *Node) pollSettings() error {
	before := n.now()
	if err := n.configurer.Poll(); err != nil {
		return err
	}
	n.storeSeenAt.Store(&before)
	return nil
}

func (n *Node) tickLease() error {
	if n.leaving.Load() {
		return nil
	}
	return n.leaser.Tick()
}

func (n *Node) tickOrders() error {
	now := n.now()
	grant, held := n.leaser.Held(now)
	if !held {
		return nil
	}
	return n.orderer.Tick(now, grant)
}

func (n *Node) tickRates() error {
	rates := n.measurer.Rates(n.now())
	n.rates.Store(&rates)
	n.admitter.SetShare(1 / float64(max(1, len(n.fleet.View().Instances))))
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

// ready reports why this instance takes no requests, or nil.
func (n *Node) ready() error {
	if n.tree.Revision() == 0 {
		return errNoSettings
	}
	now := n.now()
	seen := n.storeSeenAt.Load()
	if seen != nil && now.Sub(*seen) < isolationLimit {
		return nil
	}
	if len(n.exchanger.Heard(now.Add(-isolationLimit))) == 0 {
		return errIsolated
	}
	return nil
}

// push tells the peers of a new revision and returns those that have not
// confirmed it.
func (n *Node) push(revision int64) []string {
	n.exchanger.TickAndWait()
	pending := []string{}
	for id, in := range n.fleet.View().Instances {
		if id != n.home.Instance && in.Revision < revision {
			pending = append(pending, id)
		}
	}
	return pending
}
