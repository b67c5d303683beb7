// Package demonstrator runs the whole system with fake targets inside one process on
// the loopback interface. It serves callers, kills an engine and an instance, adds a
// model, stops an instance in a planned way, and summarizes what the callers observed.
package demonstrator

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/crocusring/crocusring/internal/fake/assembler"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// ErrFailed reports that the system violated a guarantee in the demo.
var ErrFailed = errors.New("demo failed")

const (
	team            = "wilgenrand"
	callerCount     = 8
	tokensPerAnswer = 30
	modelBytes      = 20 << 30
	phaseTime       = 3 * time.Second
	readyTimeout    = 15 * time.Second
	pollInterval    = 50 * time.Millisecond
	ordersPerPhase  = 3
)

var models = []string{"oak", "elm", "willow", "birch"}

// Summary is what the callers observed and what the targets ran.
type Summary struct {
	Requests        int64
	Answered        int64
	ResentByCallers int64
	Orders          int
	OrderRuns       int
	OvercommitBytes int64
}

// demo is the state of one run of the demo.
type demo struct {
	out    io.Writer
	system *assembler.System
	stop   chan struct{}
	group  sync.WaitGroup

	requests atomic.Int64
	answered atomic.Int64
	resent   atomic.Int64
	failure  atomic.Pointer[error]
	orders   int
}

// Run runs the demo, reports its progress on out, and returns the summary. The error
// is ErrFailed if a request of the callers under load got no complete answer, an order
// did not run exactly once, or the memory of an engine was overcommitted. Any other error
// reports that a step of the demo failed.
func Run(out io.Writer, log logr.Logger) (Summary, error) {
	system, err := assembler.New(assembler.WithLog(log))
	if err != nil {
		return Summary{}, err
	}
	defer system.Close()
	d := &demo{out: out, system: system, stop: make(chan struct{})}
	if err := d.runSteps(); err != nil {
		return Summary{}, errors.Wrap(err, "demo")
	}
	summary := d.summary()
	d.printf("%s", summary)
	return summary, d.check(summary)
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

// step is one step of the demo.
type step struct {
	title string
	run   func() error
}

// runSteps runs the steps of the demo and stops the callers at the end.
func (d *demo) runSteps() error {
	steps := []step{
		{"configure a team, a plain service and four models through instance 1", d.configure},
		{"serve callers", d.startCallers},
		{"send orders that may not be repeated, each twice, to two instances", d.sendOrders},
		{"kill engine 1 under load", func() error { d.system.Engines[0].Crash(); return nil }},
		{"kill instance 2 under load", func() error { d.system.Nodes[1].Kill(); return nil }},
		{"declare a further model and have it placed", d.addModel},
		{"stop instance 3 in a planned way under load", d.stopNode},
		{"send more orders", d.sendOrders},
	}
	defer d.stopCallers()
	for i, s := range steps {
		d.printf("%d. %s", i+1, s.title)
		if err := s.run(); err != nil {
			return errors.Wrap(err, s.title)
		}
		if i > 0 {
			time.Sleep(phaseTime / 2)
		}
	}
	return nil
}

// configure creates the models, a team and a service and waits until the models answer.
func (d *demo) configure() error {
	changes := make([]messenger.SettingChange, 0, len(models))
	for _, m := range models {
		changes = append(changes, modelChange(m))
	}
	changes = append(
		changes,
		messenger.SettingChange{Path: "/platform/teams/" + team, Value: json.RawMessage(fmt.Sprintf(
			`{"CredentialDigest":%q,"RequestsPerSecond":0,"Burst":0,"InFlight":0}`, assembler.Digest(team)))},
		messenger.SettingChange{Path: "/platform/services/orders", Value: json.RawMessage(`{"Repeatable":false,"Targets":["service-1"]}`)},
	)
	if _, err := d.change(changes); err != nil {
		return err
	}
	return d.awaitModels(models)
}

func modelChange(name string) messenger.SettingChange {
	return messenger.SettingChange{Path: "/platform/models/" + name, Value: json.RawMessage(fmt.Sprintf(
		`{"Version":"v1","Bytes":%d,"Copies":2,"MaximumCopies":0}`, int64(modelBytes)))}
}

// change changes settings through instance 1. It retries for readyTimeout, since the
// instance may not be ready yet.
func (d *demo) change(changes []messenger.SettingChange) (messenger.ChangeAnswer, error) {
	deadline := time.Now().Add(readyTimeout)
	for {
		answer, err := d.system.Change(d.system.Nodes[0].Address, changes...)
		if err == nil || time.Now().After(deadline) {
			return answer, err
		}
		time.Sleep(pollInterval)
	}
}

// awaitModels waits until each model answers a request.
func (d *demo) awaitModels(names []string) error {
	c := newCaller(team, assembler.Credential(team), d.addresses())
	for _, name := range names {
		if _, err := c.chat(name, "is the model there", 1); err != nil {
			return errors.Wrap(err, name)
		}
		d.printf("   %s answers", name)
	}
	return nil
}

func (d *demo) addresses() []string {
	list := make([]string, 0, len(d.system.Nodes))
	for _, n := range d.system.Nodes {
		list = append(list, n.Address)
	}
	return list
}

// startCallers starts the callers.
func (d *demo) startCallers() error {
	for i := range callerCount {
		c := newCaller(team, assembler.Credential(team), d.addresses())
		d.group.Go(func() { d.sendUntilStopped(c, i) })
	}
	return nil
}

// sendUntilStopped sends requests of one caller until the demo ends or a request fails.
func (d *demo) sendUntilStopped(c *caller, number int) {
	for i := 0; ; i++ {
		select {
		case <-d.stop:
			return
		default:
		}
		d.requests.Add(1)
		sends, err := c.chat(models[(number+i)%len(models)], fmt.Sprintf("photo %d of caller %d", i, number), tokensPerAnswer)
		d.resent.Add(int64(sends - 1))
		if err != nil {
			d.failure.Store(&err)
			return
		}
		d.answered.Add(1)
	}
}

// sendOrders sends orders, which must not run twice, each of them to two instances.
func (d *demo) sendOrders() error {
	c := newCaller(team, assembler.Credential(team), d.addresses())
	for range ordersPerPhase {
		if err := c.sendOrderTwice(fmt.Sprintf("trim the willow at pylon %d", d.orders)); err != nil {
			return err
		}
		d.orders++
	}
	return nil
}

func (d *demo) addModel() error {
	answer, err := d.change([]messenger.SettingChange{modelChange("hazel")})
	if err != nil {
		return err
	}
	d.printf("   accepted as revision %d", answer.Revision)
	return d.awaitModels([]string{"hazel"})
}

func (d *demo) stopNode() error {
	node := d.system.Nodes[2]
	node.Stop()
	select {
	case <-node.Done():
	case <-time.After(readyTimeout):
		return errors.New("instance did not stop")
	}
	d.printf("   %s has left", node.ID)
	return nil
}

// stopCallers stops the callers and waits for their last requests.
func (d *demo) stopCallers() {
	close(d.stop)
	d.group.Wait()
}

func (d *demo) summary() Summary {
	s := Summary{
		Requests: d.requests.Load(), Answered: d.answered.Load(), ResentByCallers: d.resent.Load(),
		Orders: d.orders, OrderRuns: len(d.system.Services[0].Executions()),
	}
	for _, e := range d.system.Engines {
		s.OvercommitBytes = max(s.OvercommitBytes, e.MaxOvercommit())
	}
	return s
}

func (s Summary) String() string {
	return fmt.Sprintf("requests %d, answered whole %d, sent again by callers %d\norders %d, each sent twice, run %d times\nmemory overcommitted by %d bytes",
		s.Requests, s.Answered, s.ResentByCallers, s.Orders, s.OrderRuns, s.OvercommitBytes)
}

// check returns ErrFailed if the summary shows a violated guarantee.
func (d *demo) check(s Summary) error {
	if failure := d.failure.Load(); failure != nil {
		return errors.Wrapf(ErrFailed, "a request was not answered: %v", *failure)
	}
	if s.Answered != s.Requests || s.OrderRuns != s.Orders || s.OvercommitBytes > 0 {
		return ErrFailed
	}
	return nil
}
