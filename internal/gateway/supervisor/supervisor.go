// Package supervisor assembles one gateway instance from its parts. The instance follows
// the store, exchanges status messages with the other instances, serves callers, sends orders
// to targets while it holds the lease on orders, and shuts down in order. All instances
// run the same code with equal roles, and none keeps any state beyond the life of its
// process.
package supervisor

import (
	"context"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/crocusring/crocusring/internal/control/leaser"
	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/budgeter"
	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/confirmer"
	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/gateway/foreman"
	"github.com/crocusring/crocusring/internal/gateway/hedger"
	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/gateway/limiter"
	"github.com/crocusring/crocusring/internal/gateway/prober"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// Platform is the interface to what the instance runs on: its store, its targets, and the
// headers that its callers use. An adapter package provides it.
type Platform struct {
	Headers conductor.Headers
	// ManifestTable holds the manifest under ManifestKey; TargetTable holds an entry for
	// each target.
	ManifestTable string
	ManifestKey   string
	TargetTable   string
	// LocatorPath and ReadinessPath are the paths at which the instance serves its
	// locator and its readiness.
	LocatorPath     string
	ReadinessPath   string
	EncodeLocations func(addresses []string, seconds float64) ([]byte, error)
	DecodeManifest  func(value []byte) (*registrar.Manifest, error)
	DecodeTarget    func(id string, value []byte) (*registrar.Target, error)
	Read            func(table string) (messenger.TableSnapshot, error)
	Follow          func(table string, after messenger.StoreVersion, wait time.Duration) (follower.Changes, error)
	Get             func(table, key string) (messenger.Row, error)
	Transact        func(messenger.TransactRequest) (messenger.StoreVersion, error)
	// Clock returns bounds of the current time of the store's clock, in milliseconds.
	Clock func() (earliest, latest int64, ok bool)
	// OnEpoch sets the function that is called with each change of epoch of the store; nil if there are
	// no epochs.
	OnEpoch func(onChange func(confirmer.EpochChange))
	Order   func(target *registrar.Target, order foreman.Order) (done bool, err error)
	State   func(target *registrar.Target) (foreman.State, error)
}

const (
	// instanceTable holds a row for each instance, by which the instances find each
	// other.
	instanceTable = "instances"
	// targetPollInterval is the minimum time between two reads of the changes of the
	// target table, whose entries change often. A leaving target is still noticed well
	// within the time that the platform allows.
	targetPollInterval = 250 * time.Millisecond
	// cellTargetPollInterval is the same for an instance in a cell (see minCellSize): a
	// large system has more changes, and each call returns more of them.
	cellTargetPollInterval = 500 * time.Millisecond
	// instancePollInterval is the same for the table of instances. It may be long, since
	// running instances receive the status messages of new ones before.
	instancePollInterval = time.Second
	// maxTargetAge is the age of the target table above which no orders are decided from
	// it. It is a little longer than a call for changes takes.
	maxTargetAge = 2800 * time.Millisecond
	// registerRetryInterval is the time between two attempts to write the row of this
	// instance.
	registerRetryInterval = 500 * time.Millisecond
	// pruneInterval is the time between two removals of expired state.
	pruneInterval = time.Second
)

// Supervisor runs one gateway instance. The zero value is not usable; see New.
type Supervisor struct {
	settings    messenger.GatewaySettings
	platform    Platform
	incarnation int64
	log         logr.Logger

	registry     *registrar.Registrar
	tombstones   *registrar.Tombstones
	balancer     *balancer.Balancer
	limiter      *limiter.Limiter
	quotas       *quotaKeeper
	prober       *prober.Prober
	silences     prober.Silences
	quarantiner  *quarantiner.Quarantiner
	crashReports *crashReports
	verdictRows  *verdictRows
	rowCheck     chan struct{}
	budget       *budgeter.Budgeter
	loadChanges  *loadChanges
	measurer     *measurer.Measurer
	tally        *tallier.Tallier
	conductor    *conductor.Conductor
	guards       *guards
	foreman      *foreman.Foreman
	informer     *informer.Informer
	leaser       *leaser.Leaser
	orderPermit  *orderPermit
	poster       *poster.Client
	slots        *slots
	confirmer    *confirmer.Confirmer
	lateness     lateness
	epochs       epochs
	peerFetches  *peerFetches
	manifests    *follower.Follower
	targets      *follower.Follower
	instances    *follower.Follower
	loadConn     *net.UDPConn
	leaving      atomic.Bool
	// instanceCount is the number of rows in the table of instances.
	instanceCount atomic.Int64
	// readersAwaitedUntil is when this instance, while it starts, stops waiting for
	// others to read the store for it.
	readersAwaitedUntil time.Time
	// verdictPullDue is when the verdicts of a peer may be read again, in Unix nanoseconds.
	verdictPullDue atomic.Int64
	// verdictCounts are the verdicts that are in the metrics already.
	verdictCountsMu sync.Mutex
	verdictCounts   quarantiner.Counts
}

// New returns an instance that is not running yet.
func New(settings messenger.GatewaySettings, platform Platform, log logr.Logger) *Supervisor {
	s := &Supervisor{
		settings: settings, platform: platform, log: log, incarnation: time.Now().UnixMilli(),
		registry: registrar.New(), tombstones: registrar.NewTombstones(), loadChanges: newLoadChanges(), measurer: measurer.New(time.Now()), tally: tallier.New(), poster: poster.New(),
	}
	s.limiter = limiter.New(limiter.Member{Name: settings.Instance, DataCentre: settings.DataCentre}, minCellSize)
	s.quotas = newQuotaKeeper(settings)
	s.balancer = balancer.New(balancer.WithLoadChanged(s.loadChanges.add), balancer.WithLimits(s.limiter.BlockedFor))
	s.confirmer = confirmer.New(milliseconds(settings.Bounds.RevokeMilliseconds), confirmer.WithApplyTime(applyTime(settings.Bounds)))
	s.peerFetches = newPeerFetches()
	s.quarantiner = quarantiner.New(settings.Instance, quarantiner.WithTrials())
	s.crashReports = newCrashReports()
	s.verdictRows = newVerdictRows()
	s.rowCheck = make(chan struct{}, 1)
	bounds := settings.Bounds
	s.budget = budgeter.New(bounds.RetryRatio, bounds.RetrySlack, seconds(bounds.RetryWindowSeconds))
	s.slots = newSlots(s)
	s.conductor = conductor.New(platform.Headers, s.registry, s.balancer, s.budget,
		conductor.WithLog(log), conductor.WithLimiter(s.limiter, s.acquirePermit), conductor.WithAdapterLoader(s.ensureAdapter), conductor.WithTimeUntilServed(s.timeUntilServed),
		conductor.WithDemandObservers(s.countDemand, s.countWaiting), conductor.WithStreamObserver(s.countStream),
		conductor.WithRequestObserver(s.measurer.Observe), conductor.WithAnswerObserver(s.measurer.CountAnswer),
		conductor.WithDrainTime(milliseconds(bounds.DrainMilliseconds)), conductor.WithQuarantine(s.quarantine()),
		conductor.WithQuota(s.chargeQuota),
		conductor.WithSlots(conductor.Slots{IsScarce: s.slots.isScarce, Acquire: s.slots.acquire}),
		conductor.WithCurrency(s.currency), conductor.WithAccountObserver(s.countAccountRefusal),
		conductor.WithRouteCheck(s.isRecent, func() { s.measurer.CountEvent(measurer.ManifestUnknownRoute, 1) }),
		conductor.WithBodyObserver(s.countRefusedClient), conductor.WithHedger(hedger.New(settings.HedgeShare), s.countHedge))
	s.guards = s.newGuards()
	s.registerGauges()
	s.registerManifestGauges()
	s.watchEpochs()
	s.prober = prober.New(s.conductor.Probe)
	s.leaser = newLeaser(settings, s.incarnation, platform, log)
	s.orderPermit = newOrderPermit(s.leaser, seconds(bounds.LeaseMilliseconds/1000))
	s.foreman = foreman.New(settings.Instance,
		foreman.Callbacks{Order: s.sendOrder, State: s.queryState, Grant: s.orderGrant, Limit: s.namedLimit, Fenced: s.leaser.NoteRefused},
		foreman.Bounds{
			Window: seconds(bounds.LoadWindowSeconds), Handover: seconds(bounds.LeaseMilliseconds / 1000),
		},
		s.registry, s.balancer, s.tally, log)
	s.informer = informer.New(settings.Instance, settings.DataCentre,
		informer.Callbacks{Status: s.status, Send: s.sendStatus, OnReceive: s.receiveStatus}, log)
	s.initFollowers()
	return s
}

// orderGrant returns the right to send orders; false if there is none, or if the copy of
// the target table is out of date, since orders must be based on what targets hold now.
func (s *Supervisor) orderGrant() (foreman.Grant, bool) {
	if !s.targets.IsFresh(maxTargetAge) {
		return foreman.Grant{}, false
	}
	return s.orderPermit.Grant()
}

func (s *Supervisor) countHedge(event conductor.HedgeEvent) {
	s.measurer.CountEvent(measurer.HedgeEvent(string(event)), 1)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s *Supervisor) initFollowers() {
	source := follower.Source{Read: s.readTable, Follow: s.followTable, PeerSnapshot: s.peerSnapshot, PeerHasHadStore: s.peerHasHadStore}
	log := follower.WithLog(s.log)
	manifestSource := source
	manifestSource.Read = s.readManifests
	s.manifests = follower.New(s.platform.ManifestTable, manifestSource, s.applyManifest, log, follower.WithShortWait(), s.withProofs(),
		follower.WithLastingRows(s.resolveManifest), s.observeReread(s.platform.ManifestTable))
	s.targets = follower.New(s.platform.TargetTable, source, s.applyTargetsOnceVerdictsAreRead, log,
		follower.WithShortWait(), follower.WithMinInterval(s.targetPollInterval), follower.WithResolver(s.resolveTarget), s.observeReread(s.platform.TargetTable))
	s.instances = follower.New(instanceTable, source, s.applyInstances, log, s.observeReread(instanceTable),
		follower.WithMinInterval(func() time.Duration { return instancePollInterval }))
}

// targetPollInterval returns the shortest time between two reads of the changes of the
// target table.
func (s *Supervisor) targetPollInterval() time.Duration {
	if s.cell() == nil {
		return targetPollInterval
	}
	return cellTargetPollInterval
}

// Run serves until ctx is done, and then shuts down in order.
func (s *Supervisor) Run(ctx context.Context) error {
	s.readersAwaitedUntil = time.Now().Add(maxStartWait)
	s.log.Info("instance starts", "instance", s.settings.Instance, "incarnation", s.incarnation,
		"callers", s.settings.CallerAddress, "peers", s.settings.PeerAddress)
	s.boundMemory()
	for _, seed := range s.settings.Seeds {
		s.informer.AddAddress(seed)
	}
	servers, err := s.listen()
	if err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	for _, loop := range []func(context.Context){
		s.manifests.Run, s.targets.Run, s.instances.Run, s.register, s.sendStatuses, s.sendLoads, s.sendSums, s.maintainLease, s.foreman.Run, s.prune, s.passOnCrashesRegularly, s.slots.sendReleases, s.slots.maintain,
		s.confirmRegularly, s.keepVerdicts, s.keepRow, s.askForQuotas,
	} {
		group.Go(func() error {
			loop(running)
			return nil
		})
	}
	select {
	case <-ctx.Done():
	case err = <-servers.failed:
		s.log.Error(err, "listener failed")
	}
	s.stop(servers)
	return err
}

func (s *Supervisor) countDemand(d conductor.Demand) {
	s.tally.Add(tallier.Key{Service: d.Service, Model: d.Model})
	if d.Adapter != "" {
		s.tally.Add(tallier.Key{Service: d.Service, Model: d.Model, Adapter: d.Adapter})
	}
}

func (s *Supervisor) countStream(d conductor.Demand, took time.Duration) {
	s.tally.AddRun(tallier.Key{Service: d.Service, Model: d.Model}, took, s.balancer.ReadTime(d.Model, d.PromptTokens))
}

func (s *Supervisor) countWaiting(d conductor.Demand) {
	s.tally.AddUnplaced(tallier.Key{Service: d.Service, Model: d.Model})
}

// applyManifest applies a new manifest. If it cannot be decoded, the current one stays in
// force; but keys count no longer, since an earlier manifest that this instance has not seen may
// have removed some.
func (s *Supervisor) applyManifest(rows []messenger.StoreRow, _ []string) {
	for _, row := range rows {
		if row.Key != s.platform.ManifestKey {
			continue
		}
		manifest, err := s.platform.DecodeManifest(row.Value)
		if err != nil {
			s.log.Error(err, "manifest cannot be decoded", "rowEpoch", row.Epoch, "rowVersion", row.Version)
			s.confirmer.SetUnreadable(row.StoreVersion())
			continue
		}
		isApplied := s.registry.SetManifest(manifest)
		s.applyQuotas()
		s.log.Info("manifest", "version", manifest.Version, "rowEpoch", row.Epoch, "rowVersion", row.Version, "routes", len(manifest.Routes), "taken", isApplied,
			"proofAgeMilliseconds", s.proofAgeMilliseconds())
		s.noteApplied(row.StoreVersion())
		s.confirmer.SetApplied(row.StoreVersion())
	}
}

// applyTargetsOnceVerdictsAreRead applies targets, the first ones once the verdicts were read.
func (s *Supervisor) applyTargetsOnceVerdictsAreRead(rows []messenger.StoreRow, removed []string) {
	s.awaitVerdicts()
	s.applyTargets(rows, removed)
}

func (s *Supervisor) applyTargets(rows []messenger.StoreRow, removed []string) {
	epoch := s.targets.Version().Epoch
	var all map[string]*registrar.Target
	superseded := s.registry.Update(func(targets map[string]*registrar.Target) {
		for _, key := range removed {
			if old := targets[key]; old != nil {
				s.log.Info("target is gone", "target", key)
				s.tombstones.Add(old, epoch, time.Now())
			}
			delete(targets, key)
		}
		for _, row := range rows {
			s.applyTarget(targets, row)
		}
		all = maps.Clone(targets)
	})
	for _, id := range superseded {
		s.log.Info("target is superseded at its address", "target", id)
		s.tombstones.Add(all[id], epoch, time.Now())
	}
	s.observeSilences()
}

func (s *Supervisor) applyTarget(targets map[string]*registrar.Target, row messenger.StoreRow) {
	target, err := s.platform.DecodeTarget(row.Key, row.Value)
	if err != nil {
		s.log.Info("entry names no target", "key", row.Key, "rowEpoch", row.Epoch, "rowVersion", row.Version, "error", err.Error())
		delete(targets, row.Key)
		return
	}
	target.Version = row.Version
	old := targets[row.Key]
	if old == nil && s.tombstones.Covers(target, row.Epoch, time.Now()) {
		s.log.Info("entry of a target that is gone ignored", "target", target.ID, "born", target.StartMilliseconds, "heartbeat", target.Heartbeat,
			"rowEpoch", row.Epoch, "rowVersion", row.Version)
		return
	}
	if target.IsOlderThan(old) {
		s.log.Info("older entry of target ignored", "target", target.ID, "born", target.StartMilliseconds, "knownBorn", old.StartMilliseconds,
			"heartbeat", target.Heartbeat, "knownHeartbeat", old.Heartbeat)
		return
	}
	if old == nil || old.StartMilliseconds != target.StartMilliseconds || old.Leaving != target.Leaving {
		s.log.Info("target", "target", target.ID, "service", target.Service, "address", target.Address,
			"leaving", target.Leaving, "born", target.StartMilliseconds, "rowEpoch", row.Epoch, "rowVersion", row.Version)
	}
	if old != nil && old.StartMilliseconds != target.StartMilliseconds {
		s.balancer.ResetTarget(target.ID)
	}
	if target.Leaving {
		s.silences.Left(time.Now(), incarnationOf(target))
	}
	s.limiter.SetIncarnation(target.ID, target.StartMilliseconds)
	targets[row.Key] = target
	s.tombstones.Remove(target.ID)
}

// prune regularly removes expired state and updates the number of instances that share
// the retry budget.
func (s *Supervisor) prune(ctx context.Context) {
	every(ctx, pruneInterval, func() {
		s.conductor.Prune()
		s.prober.Prune()
		s.observeSilences()
		s.measureLateness(s.lateness.takeDue(time.Now()))
		view := s.registry.View()
		s.balancer.Prune(view)
		s.limiter.Prune(func(target string) bool { return view.Targets[target] != nil })
		if !s.instances.Version().IsZero() {
			s.budget.SetInstances(max(int(s.instanceCount.Load()), len(s.informer.Peers())+1))
		}
	})
}

// every calls do after each interval until ctx is done.
func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// retry calls do until it succeeds or ctx is done, and failed with each error.
func retry(ctx context.Context, interval time.Duration, do func() error, failed func(error)) {
	for ctx.Err() == nil {
		err := do()
		if err == nil {
			return
		}
		failed(err)
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}
