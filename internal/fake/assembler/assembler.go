// Package assembler runs a complete system in one process, on loopback, for the demo
// and for tests: a fake platform, fake engines and plain services, and entry instances.
package assembler

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/crocusring/crocusring/internal/edge/lister"
	"github.com/crocusring/crocusring/internal/fake/breaker"
	"github.com/crocusring/crocusring/internal/fake/engineer"
	"github.com/crocusring/crocusring/internal/fake/platformer"
	"github.com/crocusring/crocusring/internal/fake/servicer"
	"github.com/crocusring/crocusring/internal/node/loader"
	"github.com/crocusring/crocusring/internal/node/runner"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// Credentials of an assembled system.
const (
	OperatorCredential = "operator-credential"
	PeerCredential     = "peer-credential-of-the-demo"
)

const stateLive = "Live"

// Node is one entry instance of a System.
type Node struct {
	ID      string
	Address string
	Node    *runner.Node
	stop    context.CancelFunc
	done    chan struct{}
	ln      *breaker.Listener
}

// Stop begins a graceful stop and returns at once. The channel that Done returns is closed
// when the stop has ended.
func (n *Node) Stop() { n.stop() }

// Kill stops the instance and resets its connections immediately, as a crash does.
func (n *Node) Kill() {
	n.ln.Refuse(true)
	n.ln.CloseAll()
	n.Node.Kill()
}

// Done returns a channel that is closed when the instance has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// System is a running system. Close stops it.
type System struct {
	Platform        *platformer.Platform
	PlatformAddress string
	Engines         []*engineer.Engine
	Services        []*servicer.Service
	Nodes           []*Node

	group    errgroup.Group
	poster   *poster.Client
	log      logr.Logger
	nodeOpts []runner.Option
}

// Option configures a System before it starts.
type Option func(*options)

type options struct {
	engines     int
	engineOpts  []engineer.Option
	fencing     bool
	services    int
	nodes       int
	dataCentres int
	policy      loader.Policy
	log         logr.Logger
	nodeOpts    []runner.Option
}

// WithEngines sets the number of engines and their options.
func WithEngines(n int, opts ...engineer.Option) Option {
	return func(o *options) {
		o.engines = n
		o.engineOpts = opts
	}
}

// WithFencing sets whether engines check fencing tokens.
func WithFencing(on bool) Option { return func(o *options) { o.fencing = on } }

// WithServices sets the number of plain services.
func WithServices(n int) Option { return func(o *options) { o.services = n } }

// WithNodes sets the number of entry instances.
func WithNodes(n int) Option { return func(o *options) { o.nodes = n } }

// WithPolicy sets the policy of the instances.
func WithPolicy(p loader.Policy) Option { return func(o *options) { o.policy = p } }

// WithDrainTimeout sets how long a planned stop of an instance may take.
func WithDrainTimeout(d time.Duration) Option {
	return func(o *options) { o.nodeOpts = append(o.nodeOpts, runner.WithDrainTimeout(d)) }
}

// WithLog sets the log of the instances.
func WithLog(log logr.Logger) Option { return func(o *options) { o.log = log } }

// New starts a system. By default it has three engines that check fencing tokens, one
// plain service and four instances in three data centres.
func New(opts ...Option) (*System, error) {
	o := options{engines: 3, fencing: true, services: 1, nodes: 4, dataCentres: 3, log: logr.Discard()}
	for _, opt := range opts {
		opt(&o)
	}
	s := &System{Platform: platformer.New(), poster: poster.New(), log: o.log, nodeOpts: o.nodeOpts}
	ln, err := s.serve(s.Platform.Serve)
	if err != nil {
		return nil, err
	}
	s.PlatformAddress = ln.Addr().String()
	for i := range o.engines {
		engine := engineer.New(engineID(i), append([]engineer.Option{engineer.WithFencing(o.fencing)}, o.engineOpts...)...)
		if err := s.addTarget(engineID(i), lister.KindEngine, i%o.dataCentres, o.fencing, engine.Serve); err != nil {
			return nil, err
		}
		s.Engines = append(s.Engines, engine)
	}
	for i := range o.services {
		service := servicer.New()
		if err := s.addTarget(serviceID(i), lister.KindService, i%o.dataCentres, false, service.Serve); err != nil {
			return nil, err
		}
		s.Services = append(s.Services, service)
	}
	for i := range o.nodes {
		if _, err := s.AddNode(i, i%o.dataCentres, o.policy); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func engineID(i int) string  { return fmt.Sprintf("engine-%d", i+1) }
func serviceID(i int) string { return fmt.Sprintf("service-%d", i+1) }

func dataCentreID(i int) string { return fmt.Sprintf("dc-%d", i+1) }

// serve runs a server on a new loopback listener.
func (s *System) serve(serve func(net.Listener) error) (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	// The error is ignored: serve returns that of the listener when the server is closed.
	s.group.Go(func() error {
		_ = serve(ln)
		return nil
	})
	return ln, nil
}

// addTarget starts a target and adds it to the platform's instance list.
func (s *System) addTarget(id, kind string, dataCentre int, fencing bool, serve func(net.Listener) error) error {
	ln, err := s.serve(serve)
	if err != nil {
		return err
	}
	s.Platform.SetInstance(messenger.ListedInstance{
		ID: id, Kind: kind, Address: ln.Addr().String(), DataCentre: dataCentreID(dataCentre),
		State: stateLive, ChecksFencing: fencing,
	})
	return nil
}

// AddNode starts an entry instance and adds it to the platform's instance list.
func (s *System) AddNode(number, dataCentre int, policy loader.Policy) (*Node, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	digest := sha256.Sum256([]byte(OperatorCredential))
	settings := loader.Settings{
		Instance:       fmt.Sprintf("entry-%d", number+1),
		DataCentre:     dataCentreID(dataCentre),
		Listen:         ln.Addr().String(),
		Platform:       "http://" + s.PlatformAddress,
		PeerCredential: PeerCredential,
		OperatorDigest: hex.EncodeToString(digest[:]),
		Policy:         policy,
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &Node{
		ID: settings.Instance, Address: settings.Listen, Node: runner.New(settings, s.log, s.nodeOpts...),
		stop: cancel, done: make(chan struct{}), ln: breaker.New(ln),
	}
	s.Platform.SetInstance(messenger.ListedInstance{
		ID: node.ID, Kind: lister.KindEntry, Address: node.Address, DataCentre: settings.DataCentre, State: stateLive,
	})
	s.group.Go(func() error {
		defer close(node.done)
		return node.Node.Serve(ctx, node.ln)
	})
	s.Nodes = append(s.Nodes, node)
	return node, nil
}

// Credential returns the credential of a team of the system.
func Credential(team string) string { return team + ".secret-of-" + team }

// Digest returns the digest of a team's credential in the format of the settings.
func Digest(team string) string {
	digest := sha256.Sum256([]byte(Credential(team)))
	return hex.EncodeToString(digest[:])
}

const changeTimeout = 5 * time.Second

// Change changes settings through the instance at address, with the operators' credential.
func (s *System) Change(address string, changes ...messenger.SettingChange) (messenger.ChangeAnswer, error) {
	var answer messenger.ChangeAnswer
	err := s.poster.Do(poster.Call{
		Method: fasthttp.MethodPost, URL: "http://" + address + "/v1/settings", Token: OperatorCredential,
		In: messenger.ChangeRequest{Changes: changes}, Out: &answer, Deadline: time.Now().Add(changeTimeout),
	})
	return answer, err
}

// Close stops the system immediately.
func (s *System) Close() {
	for _, e := range s.Engines {
		_ = e.Close()
	}
	for _, sv := range s.Services {
		_ = sv.Close()
	}
	_ = s.Platform.Close()
	for _, n := range s.Nodes {
		n.Kill()
	}
	_ = s.group.Wait()
}
