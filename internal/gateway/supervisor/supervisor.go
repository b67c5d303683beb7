// Package supervisor makes one gateway instance out of its parts: it follows the
// store, exchanges news with the other instances, serves callers, gives orders
// while it holds the lease, and stops in order. Every instance runs the same; none
// is set apart, and none keeps anything beyond the life of its process.
package supervisor

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/crocusring/crocusring/internal/control/leaser"
	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/budgeter"
	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/gateway/foreman"
	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// Platform is what the instance runs on: its store, its targets, and how its
// callers speak. An adapter fills it.
type Platform struct {
	Headers conductor.Headers
	// ManifestTable holds the manifest under ManifestKey, TargetTable an entry for
	// each target.
	ManifestTable string
	ManifestKey   string
	TargetTable   string
	// LocatorPath and ReadinessPath are those of the questions that the instance answers.
	LocatorPath     string
	ReadinessPath   string
	EncodeLocations func(addresses []string, seconds float64) ([]byte, error)
	DecodeManifest  func(value []byte) (*registrar.Manifest, error)
	DecodeTarget    func(id string, value []byte) (*registrar.Target, error)
	Read            func(table string) (messenger.TableSnapshot, error)
	Follow          func(table string, after int64, wait time.Duration) (follower.Changes, error)
	Get             func(table, key string) (messenger.Row, error)
	Transact        func(messenger.TransactRequest) (int64, error)
	// Clock bounds the present time of the store's clock, in milliseconds.
	Clock func() (earliest, latest int64, ok bool)
	Order func(target *registrar.Target, order foreman.Order) (done bool, err error)
	State func(target *registrar.Target) (foreman.State, error)
}

const (
	// instanceTable holds a row for each instance, by which instances find each other.
	instanceTable = "instances"
	// targetPause is the least time between two reads of changes of the target
	// table, whose entries change often; a leaving target is noticed well within
	// the time that the platform allows.
	targetPause = 250 * time.Millisecond
	// cellPause is the same for an instance that reads for others: a large system has
	// more changes, and each call brings more of them.
	cellPause = 500 * time.Millisecond
	// instancePause is the same for the table of instances, which find each other by the
	// news of those that join.
	instancePause = time.Second
	// staleAfter is how old the word of the store on targets may be for orders to be
	// decided on it; a little more than a call for changes takes.
	staleAfter = 2800 * time.Millisecond
	// registerAfter is the time between two tries to write the own row.
	registerAfter = 500 * time.Millisecond
	// pruneAfter is the time between two clean-ups.
	pruneAfter = time.Second
)

// Supervisor runs one instance. The zero value is not usable; see New.
type Supervisor struct {
	settings    messenger.GatewaySettings
	platform    Platform
	incarnation int64
	log         logr.Logger

	registry  *registrar.Registrar
	balancer  *balancer.Balancer
	budget    *budgeter.Budgeter
	changes   *changes
	measurer  *measurer.Measurer
	tally     *tallier.Tallier
	conductor *conductor.Conductor
	foreman   *foreman.Foreman
	informer  *informer.Informer
	leaser    *leaser.Leaser
	right     *right
	poster    *poster.Client
	manifests *follower.Follower
	targets   *follower.Follower
	instances *follower.Follower
	loads     *net.UDPConn
	leaving   atomic.Bool
	// members is the number of instances that the store knows.
	members atomic.Int64
	// readsFrom is when this instance reads the store though others might for it.
	readsFrom time.Time
}

// New returns an instance that does not run yet.
func New(settings messenger.GatewaySettings, platform Platform, log logr.Logger) *Supervisor {
	s := &Supervisor{
		settings: settings, platform: platform, log: log, incarnation: time.Now().UnixMilli(),
		registry: registrar.New(), changes: newChanges(), measurer: measurer.New(time.Now()), tally: tallier.New(), poster: poster.New(),
	}
	s.balancer = balancer.New(balancer.WithChanged(s.changes.add))
	bounds := settings.Bounds
	s.budget = budgeter.New(bounds.RetryRatio, bounds.RetrySlack, seconds(bounds.RetryWindowSeconds))
	s.conductor = conductor.New(platform.Headers, s.registry, s.balancer, s.budget,
		conductor.WithLog(log), conductor.WithAdapterLoader(s.ensureAdapter), conductor.WithModelExpectation(s.expectModel),
		conductor.WithDemandObservers(s.countDemand, s.countWaiting), conductor.WithStreamObserver(s.countRun), conductor.WithRequestObserver(s.measurer.Observe))
	s.leaser = newLeaser(settings, s.incarnation, platform)
	s.right = newRight(s.leaser, seconds(bounds.LeaseMilliseconds/1000))
	s.foreman = foreman.New(settings.Instance,
		foreman.Calls{Order: platform.Order, State: platform.State, Grant: s.mayOrder},
		foreman.Bounds{
			Window: seconds(bounds.LoadWindowSeconds), Handover: seconds(bounds.LeaseMilliseconds / 1000),
		},
		s.registry, s.balancer, s.tally, log)
	s.informer = informer.New(settings.Instance, settings.DataCentre,
		informer.Calls{News: s.news, Send: s.sendNews, Heard: s.takeNews}, log)
	s.follow()
	return s
}

// mayOrder returns the right to give orders. One who does not know what targets
// hold now does not use it.
func (s *Supervisor) mayOrder() (foreman.Grant, bool) {
	if !s.targets.IsFresh(staleAfter) {
		return foreman.Grant{}, false
	}
	return s.right.Grant()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s *Supervisor) follow() {
	source := follower.Source{Read: s.readTable, Follow: s.followTable, PeerSnapshot: s.peerSnapshot}
	log := follower.WithLog(s.log)
	s.manifests = follower.New(s.platform.ManifestTable, source, s.applyManifest, log, follower.WithShortWait())
	s.targets = follower.New(s.platform.TargetTable, source, s.applyTargets, log,
		follower.WithShortWait(), follower.WithPause(s.targetPause))
	s.instances = follower.New(instanceTable, source, s.applyInstances, log, follower.WithPause(func() time.Duration { return instancePause }))
}

// targetPause returns the least time between two reads of changes of the target table.
func (s *Supervisor) targetPause() time.Duration {
	if s.cell() == nil {
		return targetPause
	}
	return cellPause
}

// Run serves until ctx is done, and then stops in order.
func (s *Supervisor) Run(ctx context.Context) error {
	s.readsFrom = time.Now().Add(startPatience)
	s.log.Info("instance starts", "instance", s.settings.Instance, "incarnation", s.incarnation,
		"callers", s.settings.CallerAddress, "peers", s.settings.PeerAddress)
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
		s.manifests.Run, s.targets.Run, s.instances.Run, s.register, s.tell, s.tellLoads, s.relayLoads, s.holdLease, s.foreman.Run, s.prune,
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

func (s *Supervisor) countRun(d conductor.Demand, took time.Duration) {
	s.tally.AddRun(tallier.Key{Service: d.Service, Model: d.Model}, took, s.balancer.ReadTime(d.Model, d.Prompt))
}

func (s *Supervisor) countWaiting(d conductor.Demand) {
	s.tally.AddWaiting(tallier.Key{Service: d.Service, Model: d.Model})
}

// applyManifest takes a new manifest. One that cannot be read leaves the present
// one in force.
func (s *Supervisor) applyManifest(rows []messenger.StoreRow, _ []string) {
	for _, row := range rows {
		if row.Key != s.platform.ManifestKey {
			continue
		}
		manifest, err := s.platform.DecodeManifest(row.Value)
		if err != nil {
			s.log.Error(err, "manifest not taken", "rowVersion", row.Version)
			continue
		}
		taken := s.registry.SetManifest(manifest)
		s.log.Info("manifest", "version", manifest.Version, "rowVersion", row.Version, "routes", len(manifest.Routes), "taken", taken)
	}
}

func (s *Supervisor) applyTargets(rows []messenger.StoreRow, removed []string) {
	superseded := s.registry.Update(func(targets map[string]*registrar.Target) {
		for _, key := range removed {
			if targets[key] != nil {
				s.log.Info("target is gone", "target", key)
			}
			delete(targets, key)
		}
		for _, row := range rows {
			s.applyTarget(targets, row)
		}
	})
	for _, id := range superseded {
		s.log.Info("target is superseded at its address", "target", id)
	}
}

func (s *Supervisor) applyTarget(targets map[string]*registrar.Target, row messenger.StoreRow) {
	target, err := s.platform.DecodeTarget(row.Key, row.Value)
	if err != nil {
		s.log.Info("entry names no target", "key", row.Key, "rowVersion", row.Version, "error", err.Error())
		delete(targets, row.Key)
		return
	}
	target.Version = row.Version
	old := targets[row.Key]
	if target.IsOlderThan(old) {
		s.log.Info("entry is older than the one before", "target", target.ID, "heartbeat", target.Heartbeat, "known", old.Heartbeat)
		return
	}
	if old == nil || old.Born != target.Born || old.Leaving != target.Leaving {
		s.log.Info("target", "target", target.ID, "service", target.Service, "address", target.Address,
			"leaving", target.Leaving, "born", target.Born, "rowVersion", row.Version)
	}
	if old != nil && old.Born != target.Born {
		s.balancer.Forget(target.ID)
	}
	targets[row.Key] = target
}

// applyInstances learns where other instances are.
func (s *Supervisor) applyInstances(rows []messenger.StoreRow, removed []string) {
	for _, row := range rows {
		var instance messenger.GatewayInstance
		if err := json.Unmarshal(row.Value, &instance); err != nil {
			s.log.Error(err, "row of an instance cannot be read", "key", row.Key)
			continue
		}
		s.informer.AddAddress(instance.PeerAddress)
	}
	if len(removed) > 0 {
		s.log.Info("instances are gone", "instances", removed)
	}
	s.members.Store(int64(len(s.instances.Snapshot().Rows)))
}

// register writes the own row until that has succeeded.
func (s *Supervisor) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.writeRow(true)
		if err == nil {
			return
		}
		s.log.Info("own row not written", "error", err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(registerAfter):
		}
	}
}

// writeRow writes the own row, or removes it.
func (s *Supervisor) writeRow(present bool) error {
	write := messenger.Write{Table: instanceTable, Key: s.settings.Instance}
	if present {
		value, err := json.Marshal(messenger.GatewayInstance{
			Instance: s.settings.Instance, Incarnation: s.incarnation, PeerAddress: s.settings.PeerAddress,
		})
		if err != nil {
			return errors.Wrap(err, "encode own row")
		}
		write.Value = value
	}
	_, err := s.platform.Transact(messenger.TransactRequest{Writes: []messenger.Write{write}})
	return err
}

// prune forgets what is no longer needed.
func (s *Supervisor) prune(ctx context.Context) {
	ticker := time.NewTicker(pruneAfter)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.conductor.Prune()
			s.balancer.Prune(s.registry.View())
			s.budget.SetMembers(max(int(s.members.Load()), len(s.informer.Peers())+1))
		}
	}
}
