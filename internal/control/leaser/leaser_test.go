package leaser

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// kind is the type of an operation in a history.
type kind int

const (
	acquire kind = iota // a transaction that acquires the lease
	act                 // a moment at which an instance acts as holder
	write               // a transaction that includes the fence condition of a grant
)

type input struct {
	kind  kind
	fence int64
}

// output is the outcome of a transaction as its caller knows it.
type output int

const (
	failed output = iota
	done
	unknown
)

// fenceModel models the lease as one register with the current fencing token.
var fenceModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, in, out any) (bool, any) {
		fence, op := state.(int64), in.(input)
		switch {
		case out.(output) == failed:
			return true, fence
		case op.kind == acquire && out.(output) == unknown && op.fence <= fence:
			return true, fence // it never took effect
		case op.kind == acquire:
			return op.fence > fence, op.fence
		case op.kind == write && out.(output) == unknown:
			return true, fence
		}
		return op.fence == fence, fence
	},
	Equal: func(a, b any) bool { return a == b },
}

// testCluster is a table service, a clock and some leasers that run as coroutines,
// one step at a time, in an order that the seed determines.
type testCluster struct {
	rand      *rand.Rand
	now       time.Time
	step      int64
	down      bool
	rows      map[string]messenger.Row
	history   []porcupine.Operation
	instances []*testInstance
	started   int
}

// testInstance is one instance. It yields before and after each call to the table service.
type testInstance struct {
	c           *testCluster
	id          int
	leaser      *Leaser
	yield       func(struct{}) bool
	next        func() (struct{}, bool)
	stop        func()
	stopped     bool
	leaving     bool
	pausedUntil time.Time
}

func (c *testCluster) start(id int) *testInstance {
	c.started++
	p := &testInstance{c: c, id: id}
	p.leaser = New(fmt.Sprintf("entry-%d", id), fmt.Sprintf("run-%d", c.started), Tables{})
	p.leaser.now = func() time.Time { return c.now }
	p.leaser.get = p.get
	p.leaser.transact = func(req messenger.TransactRequest) ([]messenger.StoreVersion, error) {
		versions := []messenger.StoreVersion{}
		for _, cond := range req.Conditions {
			versions = append(versions, messenger.StoreVersion{Number: cond.Version + 1})
		}
		return versions, p.transact(req)
	}
	p.next, p.stop = iter.Pull(func(yield func(struct{}) bool) {
		p.yield = yield
		for p.yieldStep() {
			if p.leaving {
				_ = p.leaser.Release()
				return
			}
			_ = p.leaser.Tick()
			if grant, held := p.leaser.Held(c.now); held && c.rand.IntN(4) == 0 {
				p.writeUnder(grant)
			}
		}
	})
	return p
}

func (p *testInstance) yieldStep() bool {
	p.stopped = p.stopped || !p.yield(struct{}{})
	return !p.stopped
}

func (p *testInstance) get(_, key string) (messenger.Row, error) {
	if !p.yieldStep() || p.c.down {
		return messenger.Row{}, transactor.ErrUnavailable
	}
	row := p.c.rows[key]
	p.yieldStep()
	return row, nil
}

func (p *testInstance) transact(req messenger.TransactRequest) error {
	if !p.yieldStep() || p.c.down {
		return transactor.ErrUnavailable
	}
	for _, cond := range req.Conditions {
		if p.c.rows[cond.Key].Version != cond.Version {
			p.yieldStep()
			return transactor.ErrConflict
		}
	}
	for _, write := range req.Writes {
		p.c.rows[write.Key] = messenger.Row{Key: write.Key, Version: p.c.rows[write.Key].Version + 1, Value: write.Value}
	}
	const lostOneIn = 8
	lost := p.c.rand.IntN(lostOneIn) == 0
	if !p.yieldStep() || lost {
		return transactor.ErrUnknownOutcome
	}
	return nil
}

// writeUnder runs a transaction under a grant. A paused holder may finish it after
// its successor has acquired the lease.
func (p *testInstance) writeUnder(grant Grant) {
	call := p.c.step
	err := p.transact(messenger.TransactRequest{
		Conditions: []messenger.Condition{grant.FenceCondition}, Writes: []messenger.Write{{Key: "ledger"}},
	})
	out := done
	switch {
	case err == nil:
	case errors.Is(err, transactor.ErrUnknownOutcome):
		out = unknown
	default:
		out = failed
	}
	p.c.recordOp(p.id, input{write, grant.Fence}, out, call)
}

func (c *testCluster) recordOp(client int, in input, out output, call int64) {
	c.history = append(c.history, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: 2 * call, Return: 2*c.step + 1,
	})
}

// advance runs one coroutine up to its next yield, records which instance acts as
// holder, and at random pauses, releases or restarts the instance.
func (c *testCluster) advance() {
	const (
		maxStepMilliseconds = 120
		maxPause            = 20 * time.Second
		outageChangeOneIn   = 40 // steps
	)
	c.step++
	c.now = c.now.Add(time.Duration(c.rand.IntN(maxStepMilliseconds)) * time.Millisecond)
	if c.rand.IntN(outageChangeOneIn) == 0 {
		c.down = !c.down && c.rand.IntN(2) == 0
	}
	p := c.instances[c.rand.IntN(len(c.instances))]
	if c.now.Before(p.pausedUntil) {
		return
	}
	fence := p.leaser.Holder().Fence
	before := c.step
	if _, runs := p.next(); !runs {
		c.instances[p.id] = c.start(p.id)
	}
	if grant, held := p.leaser.Held(c.now); held {
		if grant.Fence != fence {
			c.recordOp(p.id, input{acquire, grant.Fence}, done, before)
			c.step++
		}
		c.recordOp(p.id, input{act, grant.Fence}, done, c.step)
	}
	switch c.rand.IntN(60) {
	case 0:
		p.pausedUntil = c.now.Add(time.Duration(c.rand.Int64N(int64(maxPause))))
	case 1:
		p.leaving = true
	case 2:
		p.stop()
		c.instances[p.id] = c.start(p.id)
	}
}

func runCluster(seed uint64, steps int) *testCluster {
	c := &testCluster{rand: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), rows: map[string]messenger.Row{}}
	for i := range 4 {
		c.instances = append(c.instances, c.start(i))
	}
	for range steps {
		c.advance()
	}
	for _, p := range c.instances {
		p.stop()
	}
	return c
}

// TestOneHolder checks histories of leasers with pauses, restarts, outages and
// lost answers: there is one holder at a time, and fencing tokens rise.
func TestOneHolder(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := runCluster(seed, 3000)
			acquired := 0
			for _, op := range c.history {
				if op.Input.(input).kind == acquire {
					acquired++
				}
			}
			require.Greater(t, acquired, 2, "too few acquisitions in the history")
			assert.True(t, porcupine.CheckOperations(fenceModel, c.history))
		})
	}
}

// TestModelRejectsTwoHolders checks that the model rejects faulty histories.
func TestModelRejectsTwoHolders(t *testing.T) {
	bad := map[string][]input{
		"acts after a successor":   {{acquire, 1}, {acquire, 2}, {act, 1}},
		"writes after a successor": {{acquire, 1}, {acquire, 2}, {write, 1}},
		"fence does not rise":      {{acquire, 2}, {acquire, 2}},
	}
	for name, inputs := range bad {
		t.Run(name, func(t *testing.T) {
			c := &testCluster{}
			for _, in := range inputs {
				c.step++
				c.recordOp(0, in, done, c.step)
			}
			assert.False(t, porcupine.CheckOperations(fenceModel, c.history))
		})
	}
}
