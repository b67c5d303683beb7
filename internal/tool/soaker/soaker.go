// Package soaker runs a soak test: it starts instances of the real program as separate
// processes against a simulated platform, injects faults from outside at random times,
// and checks what callers and targets observe against the guarantees of the system. A
// run is determined by its seed as far as the timing of the machine allows. A violation
// that is observed once counts, even if the same seed does not reproduce it.
//
// It stops only the processes that it started. Guarantees with a time bound are checked
// only for requests and targets that no disturbance affected; instances count as
// disturbed until stabilizationTime after the last disturbance.
package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/fake/addresser"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/platform"
	"github.com/crocusring/crocusring/platform/simulator"
)

const (
	// stopTimeout bounds the graceful stop of an instance.
	stopTimeout = 5 * time.Second
	// stabilizationTime is the time after a disturbance from which guarantees with a time
	// bound hold again.
	stabilizationTime = 4 * time.Second
	// recoveryTime is the time from the end of the last disturbance until requests must be
	// served again, and observationTime how long that is then checked.
	recoveryTime    = 12 * time.Second
	observationTime = 4 * time.Second
	// limitSettleTime is how long instances have to learn a limit that a target names.
	limitSettleTime = 3 * time.Second
	// leaveTimeout is how long targets take requests after they have announced that they leave.
	leaveTimeout = time.Second
	// startTimeout bounds the start of the first instances.
	startTimeout = 20 * time.Second
	// heartbeatInterval is the time between two heartbeats of a target.
	heartbeatInterval = 300 * time.Millisecond
	// leaseDuration is the lease setting of the instances: the least time between the orders
	// of two successive holders of the lease.
	leaseDuration = 600 * time.Millisecond
)

// Settings are the settings of a soak run.
type Settings struct {
	Seed      uint64
	Length    time.Duration
	Instances int
	Callers   int
	// HasAccounts gives the callers accounts, whose keys change.
	HasAccounts bool
	// RestoreShare is the share, 0 to 1, of restores of the store among the disturbances of instances
	// and of the store, beyond those that are drawn as any other.
	RestoreShare float64
	// Program is the path of the program under test, Directory the folder for the settings
	// and logs of its instances.
	Program   string
	Directory string
	// Out receives a line for the start and the end of each disturbance.
	Out io.Writer
}

// proxiedTarget is a target with the proxy that instances reach it through.
type proxiedTarget struct {
	target *simulator.Target
	proxy  *Proxy
}

// soak is the state of one run: the simulated platform, the instances under test and
// the checker.
type soak struct {
	settings        Settings
	start           time.Time
	store           *simulator.Store
	processes       []*process
	ways            []*Proxy // the proxies through which the processes reach the store, in the order of processes
	targets         []*proxiedTarget
	routes          []route
	services        map[string]*simulator.Engine
	checker         *Checker
	keys            *accountKeys
	callers         *callerGroup
	activeFaults    sync.WaitGroup
	manifestVersion int
	steps           stepList
	restoring       sync.Mutex // held while the store is away
	// disturbances is the number of times that a disturbance of the store or of an instance began
	// or ended, and settledNanos when guarantees with a time bound hold again, in Unix nanoseconds.
	disturbances atomic.Int64
	settledNanos atomic.Int64
	isRecovered  atomic.Bool
	isClosing    atomic.Bool
	outMu        sync.Mutex
}

// Run soaks the program for settings.Length and returns the violations that it found.
// The error reports that the run itself failed.
func Run(ctx context.Context, settings Settings) ([]Violation, error) {
	s := &soak{settings: settings, start: time.Now(), checker: NewChecker()}
	if settings.HasAccounts {
		s.keys = newAccountKeys()
		s.checker.keys = s.keys
	}
	s.callers = &callerGroup{soak: s, seed: settings.Seed}
	defer s.close()
	if err := s.setUp(); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for n := range settings.Callers {
		callers.Go(func() { s.callers.run(running, n) })
	}
	go s.sendHeartbeats(running)
	s.injectFaults(rand.New(rand.NewPCG(settings.Seed, 1)), time.Now().Add(settings.Length))
	s.logf("all disturbances ended")
	time.Sleep(recoveryTime)
	s.isRecovered.Store(true)
	time.Sleep(observationTime)
	s.isRecovered.Store(false)
	stop()
	callers.Wait()
	time.Sleep(cancelTimeout)
	s.checker.Finish()
	return s.checker.Violations(), nil
}

// setUp starts the simulated platform and the instances.
func (s *soak) setUp() error {
	store, err := simulator.NewStore()
	if err != nil {
		return errors.Wrap(err, "store")
	}
	s.store = store
	s.defineServices()
	s.manifestVersion = 3
	s.putManifest(nil)
	if err := s.addTargets(); err != nil {
		return err
	}
	for n := range s.settings.Instances {
		if err := s.addProcess(fmt.Sprintf("i%d", n+1)); err != nil {
			return err
		}
	}
	return nil
}

const (
	engineService = "fleet"
	plainService  = "desk"
	// modelMegabytes lets a target hold two models and its adapters, but not three models.
	modelMegabytes  = 70.0
	targetMegabytes = 160.0
	maxAdapters     = 3
	// unframedShare is the share of answers with neither a length nor chunks.
	unframedShare = 0.25
)

var models = map[string]float64{"m1": modelMegabytes, "m2": modelMegabytes, "m3": modelMegabytes, "m4": modelMegabytes}

// defineServices sets the services and routes of the manifest.
func (s *soak) defineServices() {
	s.services = map[string]*simulator.Engine{
		plainService:  nil,
		engineService: {Slots: 8, WeightMegabytes: targetMegabytes, AdapterSlots: maxAdapters, Models: models, Adapters: 3},
	}
	names := []string{"m1", "m2", "m3", "m4", "m1/a1", "m1/a2", "m2/a1", "m3/a3", "m4/a2"}
	s.routes = []route{
		{Route: simulator.Route{Name: "order", Prefix: "/order/", Kind: "unsafe", Service: plainService, MaxAttempts: 1, TimeoutMS: 1500}},
		{Route: simulator.Route{Name: "look", Prefix: "/look/", Kind: "safe", Service: plainService, MaxAttempts: 2, TimeoutMS: 1500}},
		{Route: simulator.Route{Name: "talk", Prefix: "/talk/", Kind: "streaming", Service: engineService, MaxAttempts: 1, TimeoutMS: 5000}, models: names},
		{Route: simulator.Route{
			Name: "tell", Prefix: "/tell/", Kind: "streaming", Service: engineService, MaxAttempts: 2, Resumable: true, TimeoutMS: 5000,
		}, models: names},
	}
	for i := range s.routes {
		s.routes[i].services = []string{s.routes[i].Service}
	}
}

// putManifest writes the manifest under the current version, with extra routes beside
// those that callers use.
func (s *soak) putManifest(more []simulator.Route) {
	routes := make([]simulator.Route, 0, len(s.routes)+len(more))
	for _, r := range s.routes {
		routes = append(routes, r.Route)
	}
	added := s.steps.next(s.manifestVersion)
	for _, r := range added {
		routes = append(routes, r.Route)
	}
	routes = append(routes, more...)
	accounts, revoked := s.keys.next()
	manifest := simulator.Manifest(s.manifestVersion, host, routes, s.services)
	s.store.Put(platform.ManifestTable, platform.ManifestKey, simulator.WithAccounts(manifest, accounts))
	revoked()
	s.steps.acknowledged(added)
	s.checker.ManifestAcknowledged(s.manifestVersion)
}

// changeManifest writes a new version of the manifest with other extra routes and returns
// a description of the change.
func (s *soak) changeManifest(random *rand.Rand) string {
	s.manifestVersion += 1 + random.IntN(3)
	more := make([]simulator.Route, random.IntN(50))
	for n := range more {
		more[n] = pick(random, s.routes).Route
		more[n].Name, more[n].Prefix = fmt.Sprintf("extra%d", n), fmt.Sprintf("/extra%d/", n)
	}
	s.putManifest(more)
	return fmt.Sprintf("version %d, %d routes", s.manifestVersion, len(s.routes)+len(more))
}

func (s *soak) addTargets() error {
	observer := simulator.Observer{Began: s.checker.Began, Ended: s.checker.Ended, Ordered: s.checker.Ordered, Exceeded: s.checker.Exceeded, TurnedAway: s.checker.TurnedAway, Crashed: s.targetCrashed}
	engine := simulator.TargetConfig{
		Service: engineService, Models: models, Events: streamEvents, Pause: 20 * time.Millisecond, LoadTime: 400 * time.Millisecond, Slots: 8,
		WeightMegabytes: targetMegabytes, AdapterSlots: maxAdapters, Unframed: unframedShare,
	}
	plain := simulator.TargetConfig{Service: plainService, Pause: 10 * time.Millisecond, Slots: 6, Unframed: unframedShare}
	for n, held := range [][]string{{"m1", "m2"}, {"m3", "m4"}, {"m1", "m3"}, {"m2", "m4"}, nil, nil, nil} {
		config := engine
		if held == nil {
			config = plain
		}
		config.ID = fmt.Sprintf("t%d", n+1)
		target, err := simulator.NewTarget(config, s.store, platform.TargetTable, observer, held...)
		if err != nil {
			return errors.Wrap(err, "target")
		}
		proxy, err := NewProxy(target.Address)
		if err != nil {
			return errors.Wrap(err, "proxy of a target")
		}
		target.Advertised = proxy.Address
		target.Heartbeat()
		s.targets = append(s.targets, &proxiedTarget{target: target, proxy: proxy})
	}
	return nil
}

// addProcess writes the settings file of an instance and starts the instance.
func (s *soak) addProcess(name string) error {
	storeProxy, err := NewProxy(s.store.Address)
	if err != nil {
		return errors.Wrap(err, "proxy of the store")
	}
	addresses, err := freeAddresses(5)
	if err != nil {
		return err
	}
	settings := messenger.GatewaySettings{
		Instance: name, DataCentre: "z", CallerAddress: addresses[0], ReadinessAddress: addresses[1], PeerAddress: addresses[2],
		LocatorAddress: addresses[3], LoadAddress: addresses[4], StoreAddress: storeProxy.Address, Seeds: []string{},
		Bounds: messenger.GatewayBounds{
			GraceSeconds: stopTimeout.Seconds(), LeaseMilliseconds: float64(leaseDuration.Milliseconds()), RetryRatio: 0.2, RetryWindowSeconds: 10,
			RetrySlack: 50, LoadWindowSeconds: 5, LocateSeconds: 2, DrainMilliseconds: float64(leaveTimeout.Milliseconds()),
		},
	}
	if s.keys != nil {
		settings.Bounds.RevokeMilliseconds = float64(revokeTime.Milliseconds())
	}
	if len(s.processes) > 0 {
		settings.Seeds = []string{s.processes[0].peerAddress}
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	settingsFile := filepath.Join(s.settings.Directory, name+".json")
	if err := os.WriteFile(settingsFile, text, 0o644); err != nil {
		return errors.Wrap(err, "settings")
	}
	p := &process{
		name: name, program: s.settings.Program, settingsFile: settingsFile, logDirectory: s.settings.Directory, readinessAddress: addresses[1],
		callerAddress: addresses[0], peerAddress: addresses[2], locatorAddress: addresses[3], onUnexpectedExit: s.reportUnexpectedExit,
	}
	s.processes = append(s.processes, p)
	s.ways = append(s.ways, storeProxy)
	return p.start()
}

// freeAddresses returns n addresses that no other process uses.
func freeAddresses(n int) ([]string, error) {
	out := []string{}
	for range n {
		address, err := addresser.Free()
		if err != nil {
			return nil, err
		}
		out = append(out, address)
	}
	return out, nil
}

func (s *soak) awaitReady() error {
	caller := simulator.NewCaller()
	defer caller.Close()
	var missing []*process
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(heartbeatInterval) {
		missing = nil
		for _, p := range s.processes {
			if !caller.Ready(p.readinessAddress) {
				missing = append(missing, p)
			}
		}
		if len(missing) == 0 {
			return nil
		}
	}
	out := errors.New("the instances are not ready")
	for _, p := range missing {
		out = errors.Wrapf(out, "%s, its last lines of log: %s", p.name, p.lastLines())
	}
	return out
}

// sendHeartbeats makes the targets write their entries until ctx is done.
func (s *soak) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(heartbeatInterval)
		for _, t := range s.targets {
			t.target.Heartbeat()
		}
	}
}

// instanceAt returns the name of the instance that serves callers at an address.
func (s *soak) instanceAt(address string) string {
	for _, p := range s.processes {
		if p.callerAddress == address {
			return p.name
		}
	}
	return ""
}

func (s *soak) restart(p *process) {
	s.noteDisturbance()
	s.checker.InstanceDisturbed(p.name)
	s.checker.InstanceRestarted(p.name)
	if s.isClosing.Load() {
		return
	}
	if err := p.start(); err != nil {
		s.checker.Report(OwnEnd, "%s failed to start: %v", p.name, err)
	}
}

// replaceTarget ends an incarnation of a target and begins the next one.
func (s *soak) replaceTarget(t *proxiedTarget) {
	endDisturbance := s.checker.TargetDisturbed(t.target.ID)
	t.target.Crash()
	s.restartTarget(t)
	endDisturbance()
}

func (s *soak) restartTarget(t *proxiedTarget) {
	s.checker.TargetReturned(t.target.ID) // before its entry is written, which waits while the store is away
	t.target.Restart()
}

// reportUnexpectedExit records the exit of an instance that was not asked to stop.
func (s *soak) reportUnexpectedExit(name string, err error) {
	if s.isClosing.Load() {
		return
	}
	s.checker.Report(OwnEnd, "%s exited unexpectedly: %v", name, err)
}

// noteDisturbance records that a disturbance of the store or of an instance begins or
// ends now.
func (s *soak) noteDisturbance() {
	s.suspendTimeBounds(stabilizationTime)
	s.checker.Disturbed()
	for _, t := range s.targets {
		t.target.RestartCount(stabilizationTime) // an instance that starts has yet to learn of limits
	}
}

// suspendTimeBounds excuses what happens now, and for a time, from the guarantees with a time bound.
func (s *soak) suspendTimeBounds(settle time.Duration) {
	until := time.Now().Add(settle).UnixNano()
	for known := s.settledNanos.Load(); until > known && !s.settledNanos.CompareAndSwap(known, until); {
		known = s.settledNanos.Load()
	}
	s.disturbances.Add(1)
}

// lastDisturbance returns a mark of the latest disturbance, for isUndisturbedSince.
func (s *soak) lastDisturbance() int64 { return s.disturbances.Load() }

// isUndisturbedSince reports whether guarantees with a time bound hold, and there was no disturbance
// since a mark was taken.
func (s *soak) isUndisturbedSince(mark int64) bool {
	return mark == s.disturbances.Load() && time.Now().UnixNano() > s.settledNanos.Load()
}

func (s *soak) isAfterRecovery() bool { return s.isRecovered.Load() }

// logf writes a line with the time since the start of the run.
func (s *soak) logf(format string, args ...any) {
	s.outMu.Lock()
	defer s.outMu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(s.settings.Out, line) // a failed write does not stop the run
}

// close stops everything that the run started.
func (s *soak) close() {
	s.isClosing.Store(true)
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.stop(syscall.SIGKILL, time.Second)
	}
	for _, storeProxy := range s.ways {
		storeProxy.Close()
	}
	for _, t := range s.targets {
		t.proxy.Close()
		t.target.Close()
	}
	if s.store != nil {
		s.store.Close()
	}
}
