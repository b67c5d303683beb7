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

// kind of an operation in a history.
type kind int

const (
	acquire kind = iota // a transaction that takes the lease
	act                 // an instant at which an instance acts as holder
	write               // a transaction under the fence condition of a grant
)

type input struct {
	kind  kind
	fence int64
}

// output of a transaction: whether it took effect, as its caller knows.
type output int

const (
	failed output = iota
	done
	unknown
)

// fenceModel is the lease as one register that holds the present fence.
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

// world is a table service, a clock and some leasers that run as coroutines,
// one step at a time, in an order that the seed gives.
type world struct {
	rand    *rand.Rand
	now     time.Time
	step    int64
	down    bool
	rows    map[string]messenger.Row
	history []porcupine.Operation
	procs   []*proc
	started int
}

// proc is one instance. It yields before and after each call to the table service.
type proc struct {
	w       *world
	id      int
	leaser  *Leaser
	yield   func(struct{}) bool
	next    func() (struct{}, bool)
	stop    func()
	stopped bool
	leaving bool
	paused  time.Time
}

func (w *world) start(id int) *proc {
	w.started++
	p := &proc{w: w, id: id}
	p.leaser = New(fmt.Sprintf("entry-%d", id), fmt.Sprintf("run-%d", w.started), Tables{})
	p.leaser.now = func() time.Time { return w.now }
	p.leaser.get = p.get
	p.leaser.transact = func(req messenger.TransactRequest) ([]int64, error) {
		versions := []int64{}
		for _, c := range req.Conditions {
			versions = append(versions, c.Version+1)
		}
		return versions, p.transact(req)
	}
	p.next, p.stop = iter.Pull(func(yield func(struct{}) bool) {
		p.yield = yield
		for p.pass() {
			if p.leaving {
				_ = p.leaser.Release()
				return
			}
			_ = p.leaser.Tick()
			if grant, held := p.leaser.Held(w.now); held && w.rand.IntN(4) == 0 {
				p.writeAs(grant)
			}
		}
	})
	return p
}

func (p *proc) pass() bool {
	p.stopped = p.stopped || !p.yield(struct{}{})
	return !p.stopped
}

func (p *proc) get(_, key string) (messenger.Row, error) {
	if !p.pass() || p.w.down {
		return messenger.Row{}, transactor.ErrUnavailable
	}
	row := p.w.rows[key]
	p.pass()
	return row, nil
}

func (p *proc) transact(req messenger.TransactRequest) error {
	if !p.pass() || p.w.down {
		return transactor.ErrUnavailable
	}
	for _, c := range req.Conditions {
		if p.w.rows[c.Key].Version != c.Version {
			p.pass()
			return transactor.ErrConflict
		}
	}
	for _, write := range req.Writes {
		p.w.rows[write.Key] = messenger.Row{Key: write.Key, Version: p.w.rows[write.Key].Version + 1, Value: write.Value}
	}
	const lostOneIn = 8
	lost := p.w.rand.IntN(lostOneIn) == 0
	if !p.pass() || lost {
		return transactor.ErrUnknownOutcome
	}
	return nil
}

// writeAs runs a transaction that a paused holder may finish after its successor took over.
func (p *proc) writeAs(grant Grant) {
	call := p.w.step
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
	p.w.note(p.id, input{write, grant.Fence}, out, call)
}

func (w *world) note(client int, in input, out output, call int64) {
	w.history = append(w.history, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: 2 * call, Return: 2*w.step + 1,
	})
}

// advance runs one coroutine up to its next call and records who acts as holder.
func (w *world) advance() {
	const (
		mostStep   = 120 // milliseconds
		mostPause  = 20 * time.Second
		mostOutage = 40 // steps
	)
	w.step++
	w.now = w.now.Add(time.Duration(w.rand.IntN(mostStep)) * time.Millisecond)
	if w.rand.IntN(mostOutage) == 0 {
		w.down = !w.down && w.rand.IntN(2) == 0
	}
	p := w.procs[w.rand.IntN(len(w.procs))]
	if w.now.Before(p.paused) {
		return
	}
	fence := p.leaser.Holder().Fence
	before := w.step
	if _, runs := p.next(); !runs {
		w.procs[p.id] = w.start(p.id)
	}
	if grant, held := p.leaser.Held(w.now); held {
		if grant.Fence != fence {
			w.note(p.id, input{acquire, grant.Fence}, done, before)
			w.step++
		}
		w.note(p.id, input{act, grant.Fence}, done, w.step)
	}
	switch w.rand.IntN(60) {
	case 0:
		p.paused = w.now.Add(time.Duration(w.rand.Int64N(int64(mostPause))))
	case 1:
		p.leaving = true
	case 2:
		p.stop()
		w.procs[p.id] = w.start(p.id)
	}
}

func run(seed uint64, steps int) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), rows: map[string]messenger.Row{}}
	for i := range 4 {
		w.procs = append(w.procs, w.start(i))
	}
	for range steps {
		w.advance()
	}
	for _, p := range w.procs {
		p.stop()
	}
	return w
}

// TestOneHolder checks that histories of leasers with pauses, restarts, outages
// and lost answers have one holder at a time, with fences that rise.
func TestOneHolder(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := run(seed, 3000)
			acquired := 0
			for _, op := range w.history {
				if op.Input.(input).kind == acquire {
					acquired++
				}
			}
			require.Greater(t, acquired, 2, "the history shows no takeover")
			assert.True(t, porcupine.CheckOperations(fenceModel, w.history))
		})
	}
}

// TestModelFindsTwoHolders checks the checker itself on bad histories.
func TestModelFindsTwoHolders(t *testing.T) {
	bad := map[string][]input{
		"acts after a successor":   {{acquire, 1}, {acquire, 2}, {act, 1}},
		"writes after a successor": {{acquire, 1}, {acquire, 2}, {write, 1}},
		"fence does not rise":      {{acquire, 2}, {acquire, 2}},
	}
	for name, inputs := range bad {
		t.Run(name, func(t *testing.T) {
			w := &world{}
			for _, in := range inputs {
				w.step++
				w.note(0, in, done, w.step)
			}
			assert.False(t, porcupine.CheckOperations(fenceModel, w.history))
		})
	}
}
