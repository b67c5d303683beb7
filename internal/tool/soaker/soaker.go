// Package soaker runs instances of the real program as separate processes against a
// simulated platform, disturbs them from outside at drawn times, and checks what callers
// and targets see against what the system promises. A run follows from its seed as far
// as the machine's own timing allows; what it finds once is a finding.
//
// It ends only the processes that it started. Promises with a time bound are checked
// only for what no disturbance has touched, as far back as instances count as disturbed.
package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/platform"
	"github.com/crocusring/crocusring/platform/simulator"
)

const (
	// grace is how long an instance may take to stop.
	grace = 5 * time.Second
	// contactTime is how long after a disturbance promises with a time bound hold again.
	contactTime = 4 * time.Second
	// recovery is the time from the end of all disturbance until requests are served
	// again, and tail how long that is watched.
	recovery = 12 * time.Second
	tail     = 4 * time.Second
	// startTime bounds the start of the first instances.
	startTime = 20 * time.Second
	// heartbeat is the time between two heartbeats of a target.
	heartbeat = 300 * time.Millisecond
	// orderGap is the least time between orders of two holders of the lease.
	orderGap = 600 * time.Millisecond
)

// Settings are those of a run.
type Settings struct {
	Seed      uint64
	Length    time.Duration
	Instances int
	Callers   int
	// Program is the program under test, Directory where settings and logs go.
	Program   string
	Directory string
	// Out is told of each disturbance and violation.
	Out io.Writer
}

// member is a target behind its proxy.
type member struct {
	target *simulator.Target
	proxy  *Proxy
}

// world is what a run consists of.
type world struct {
	settings  Settings
	start     time.Time
	store     *simulator.Store
	processes []*process
	ways      []*Proxy // of each process to the store
	targets   []*member
	routes    []route
	services  map[string]*simulator.Engine
	checker   *Checker
	pending   sync.WaitGroup
	version   int
	// lastDisturbed is when a disturbance last began or ended, in Unix nanoseconds.
	lastDisturbed atomic.Int64
	inTail        atomic.Bool
	isOver        atomic.Bool
	output        sync.Mutex
}

// Run soaks for a while and returns the promises that were broken. The error tells that
// the run itself did not work.
func Run(ctx context.Context, settings Settings) ([]Violation, error) {
	w := &world{settings: settings, start: time.Now(), checker: NewChecker()}
	defer w.close()
	if err := w.build(); err != nil {
		return nil, err
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	crowd := &crowd{world: w, seed: settings.Seed}
	for n := range settings.Callers {
		callers.Go(func() { crowd.run(running, n) })
	}
	go w.beat(running)
	w.disturb(rand.New(rand.NewPCG(settings.Seed, 1)), time.Now().Add(settings.Length))
	w.tell("all disturbance is over")
	time.Sleep(recovery)
	w.inTail.Store(true)
	time.Sleep(tail)
	w.inTail.Store(false)
	stop()
	callers.Wait()
	time.Sleep(cancelTime)
	w.checker.Finish()
	return w.checker.Found(), nil
}

// build makes the platform and starts the instances.
func (w *world) build() error {
	store, err := simulator.NewStore()
	if err != nil {
		return errors.Wrap(err, "store")
	}
	w.store = store
	w.layOut()
	w.version = 3
	w.putManifest(nil)
	if err := w.addTargets(); err != nil {
		return err
	}
	for n := range w.settings.Instances {
		if err := w.addProcess(fmt.Sprintf("i%d", n+1)); err != nil {
			return err
		}
	}
	return nil
}

const (
	fleet = "fleet"
	desk  = "desk"
	// modelMegabytes is such that a target holds two models beside its adapters.
	modelMegabytes = 70.0
	roomMegabytes  = 160.0
	adapterPlaces  = 3
)

var models = map[string]float64{"m1": modelMegabytes, "m2": modelMegabytes, "m3": modelMegabytes, "m4": modelMegabytes}

// layOut declares the services and routes.
func (w *world) layOut() {
	w.services = map[string]*simulator.Engine{
		desk:  nil,
		fleet: {Slots: 8, WeightMegabytes: roomMegabytes, AdapterSlots: adapterPlaces, Models: models, Adapters: 3},
	}
	names := []string{"m1", "m2", "m3", "m4", "m1/a1", "m1/a2", "m2/a1", "m3/a3", "m4/a2"}
	w.routes = []route{
		{Route: simulator.Route{Name: "order", Prefix: "/order/", Kind: "unsafe", Service: desk, MaxAttempts: 1, TimeoutMS: 1500}},
		{Route: simulator.Route{Name: "look", Prefix: "/look/", Kind: "safe", Service: desk, MaxAttempts: 2, TimeoutMS: 1500}},
		{Route: simulator.Route{Name: "talk", Prefix: "/talk/", Kind: "streaming", Service: fleet, MaxAttempts: 1, TimeoutMS: 5000}, models: names},
		{Route: simulator.Route{
			Name: "tell", Prefix: "/tell/", Kind: "streaming", Service: fleet, MaxAttempts: 2, Resumable: true, TimeoutMS: 5000,
		}, models: names},
	}
	for i := range w.routes {
		w.routes[i].services = []string{w.routes[i].Service}
	}
}

// putManifest writes the present version with some routes beside those in use.
func (w *world) putManifest(more []simulator.Route) {
	routes := make([]simulator.Route, 0, len(w.routes)+len(more))
	for _, r := range w.routes {
		routes = append(routes, r.Route)
	}
	routes = append(routes, more...)
	w.store.Put(platform.ManifestTable, platform.ManifestKey, simulator.Manifest(w.version, host, routes, w.services))
}

// changeManifest writes a new version with other routes beside those in use.
func (w *world) changeManifest(random *rand.Rand) string {
	w.version += 1 + random.IntN(3)
	more := make([]simulator.Route, random.IntN(50))
	for n := range more {
		more[n] = one(random, w.routes).Route
		more[n].Name, more[n].Prefix = fmt.Sprintf("extra%d", n), fmt.Sprintf("/extra%d/", n)
	}
	w.putManifest(more)
	return fmt.Sprintf("version %d, %d routes", w.version, len(w.routes)+len(more))
}

func (w *world) addTargets() error {
	ledger := simulator.Observer{Began: w.checker.Began, Ended: w.checker.Ended, Ordered: w.checker.Ordered}
	engine := simulator.TargetConfig{
		Service: fleet, Models: models, Events: streamEvents, Pause: 20 * time.Millisecond, LoadTime: 400 * time.Millisecond, Slots: 8,
		WeightMegabytes: roomMegabytes, AdapterSlots: adapterPlaces,
	}
	plain := simulator.TargetConfig{Service: desk, Pause: 10 * time.Millisecond, Slots: 6}
	for n, held := range [][]string{{"m1", "m2"}, {"m3", "m4"}, {"m1", "m3"}, {"m2", "m4"}, nil, nil, nil} {
		traits := engine
		if held == nil {
			traits = plain
		}
		traits.ID = fmt.Sprintf("t%d", n+1)
		target, err := simulator.NewTarget(traits, w.store, platform.TargetTable, ledger, held...)
		if err != nil {
			return errors.Wrap(err, "target")
		}
		proxy, err := NewProxy(target.Address)
		if err != nil {
			return errors.Wrap(err, "proxy of a target")
		}
		target.Advertised = proxy.Address
		target.Heartbeat()
		w.targets = append(w.targets, &member{target: target, proxy: proxy})
	}
	return nil
}

// addProcess writes the settings of an instance and starts it.
func (w *world) addProcess(name string) error {
	way, err := NewProxy(w.store.Address)
	if err != nil {
		return errors.Wrap(err, "proxy of the store")
	}
	addresses, err := freeAddresses(loopback(len(w.processes)), 5)
	if err != nil {
		return err
	}
	settings := messenger.GatewaySettings{
		Instance: name, DataCentre: "z", CallerAddress: addresses[0], ReadinessAddress: addresses[1], PeerAddress: addresses[2],
		LocatorAddress: addresses[3], LoadAddress: addresses[4], StoreAddress: way.Address, Seeds: []string{},
		Bounds: messenger.GatewayBounds{
			GraceSeconds: grace.Seconds(), LeaseMilliseconds: float64(orderGap.Milliseconds()), RetryRatio: 0.2, RetryWindowSeconds: 10,
			RetrySlack: 50, LoadWindowSeconds: 5, LocateSeconds: 2,
		},
	}
	if len(w.processes) > 0 {
		settings.Seeds = []string{w.processes[0].peer}
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	file := filepath.Join(w.settings.Directory, name+".json")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return errors.Wrap(err, "settings")
	}
	p := &process{
		name: name, program: w.settings.Program, file: file, logs: w.settings.Directory, ready: addresses[1],
		peer: addresses[2], locator: addresses[3], onOwnEnd: w.ownEnd,
	}
	w.processes = append(w.processes, p)
	w.ways = append(w.ways, way)
	return p.start()
}

// loopback returns the loopback number of an instance of this run. Runs beside each
// other have others, so that none takes a port between two starts of an instance.
func loopback(n int) string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(id>>8)%127, id%256, 2+n)
}

// freeAddresses returns addresses of a loopback number that nobody listens on.
func freeAddresses(ip string, n int) ([]string, error) {
	out := []string{}
	for range n {
		ln, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "free address")
		}
		defer func() { _ = ln.Close() }() // held until all are found, so that none comes twice
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

func (w *world) awaitReady() error {
	caller := simulator.NewCaller()
	defer caller.Close()
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(heartbeat) {
		n := 0
		for _, p := range w.processes {
			if caller.Ready(p.ready) {
				n++
			}
		}
		if n == len(w.processes) {
			return nil
		}
	}
	return errors.New("the instances are not ready")
}

// beat makes the targets write their entries.
func (w *world) beat(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(heartbeat)
		for _, m := range w.targets {
			m.target.Heartbeat()
		}
	}
}

func (w *world) restart(p *process) {
	w.disturbed()
	if w.isOver.Load() {
		return
	}
	if err := p.start(); err != nil {
		w.checker.Break(OwnEnd, "%s does not start: %v", p.name, err)
	}
}

func (w *world) restartTarget(m *member) {
	m.target.Restart()
	w.checker.Back(m.target.ID)
}

// ownEnd takes the end of an instance that nobody told to end.
func (w *world) ownEnd(name string, err error) {
	if w.isOver.Load() {
		return
	}
	w.checker.Break(OwnEnd, "%s ended by itself: %v", name, err)
}

// disturbed takes note of a disturbance of the store or of an instance.
func (w *world) disturbed() {
	w.lastDisturbed.Store(time.Now().UnixNano())
	w.checker.Disturbed()
}

// calmSince returns a mark of the latest disturbance.
func (w *world) calmSince() int64 { return w.lastDisturbed.Load() }

// isCalm reports whether nothing was disturbed since a mark, nor shortly before now.
func (w *world) isCalm(mark int64) bool {
	return mark == w.lastDisturbed.Load() && time.Since(time.Unix(0, mark)) > contactTime
}

func (w *world) isTail() bool { return w.inTail.Load() }

// tell writes a line of the report.
func (w *world) tell(format string, args ...any) {
	w.output.Lock()
	defer w.output.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(w.settings.Out, line) // what is told does not stop the run
}

// close ends what the run started.
func (w *world) close() {
	w.isOver.Store(true)
	for _, p := range w.processes {
		p.signal(syscall.SIGCONT)
		p.end(syscall.SIGKILL, time.Second)
	}
	for _, way := range w.ways {
		way.Close()
	}
	for _, m := range w.targets {
		m.proxy.Close()
		m.target.Close()
	}
	if w.store != nil {
		w.store.Close()
	}
}
