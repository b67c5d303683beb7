package configurer

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/fake/platformer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

type outcome int

const (
	accepted outcome = iota
	conflicted
	undone
	unknown
)

const pathCount = 2

// register is the state of one path, and registers that of the tree.
type register struct {
	version int64
	value   string
}

type registers [pathCount]register

// access is a read of the tree, or a conditional write of the paths that have a
// value.
type access struct {
	versions [pathCount]int64
	values   [pathCount]string
}

func (a access) isRead() bool { return a.values == [pathCount]string{} }

// seen is what an access returned: the tree for a read, the path and its version
// for a conflict.
type seen struct {
	outcome outcome
	tree    registers
	path    int
	version int64
}

// step says whether an access may have returned what was seen. One with an
// unknown outcome may have taken effect or not.
func step(state, input, output any) []any {
	r, in, out := state.(registers), input.(access), output.(seen)
	written, holds := write(r, in)
	isConflict := in.values[out.path] != "" && in.versions[out.path] != r[out.path].version && out.version == r[out.path].version
	switch {
	case out.outcome == undone:
		return []any{r}
	case in.isRead():
		if out.tree != r {
			return nil
		}
		return []any{r}
	case out.outcome == conflicted && isConflict:
		return []any{r}
	case out.outcome == accepted && holds:
		return []any{written}
	case out.outcome == unknown && holds:
		return []any{r, written}
	case out.outcome == unknown:
		return []any{r}
	}
	return nil
}

// write returns the tree after a write and whether its conditions hold.
func write(r registers, in access) (written registers, holds bool) {
	for i, value := range in.values {
		if value == "" {
			continue
		}
		if in.versions[i] != r[i].version {
			return r, false
		}
		r[i] = register{version: r[i].version + 1, value: value}
	}
	return r, true
}

var treeModel = porcupine.NondeterministicModel{
	Init:  func() []any { return []any{registers{}} },
	Step:  step,
	Equal: func(a, b any) bool { return a == b },
}

func isLinearizable(history []porcupine.Operation) bool {
	return porcupine.CheckOperations(treeModel.ToModel(), history)
}

// client accesses the settings through one configurer and notes what it saw.
type client struct {
	id         int
	configurer *Configurer
	rng        *rand.Rand
	started    time.Time
	history    []porcupine.Operation
	counts     [4]int
}

const undonePause = 5 * time.Millisecond

// run makes accesses: reads, and writes of one path or of all.
func (c *client) run(accesses int) {
	var known registers
	for i := range accesses {
		in := access{}
		for p := range pathCount {
			in.versions[p] = known[p].version
		}
		value := fmt.Sprintf(`{"Version":"v%d","Bytes":%d,"Copies":1,"MaximumCopies":0}`, c.id, i+1)
		switch kind := c.rng.IntN(pathCount + 2); {
		case kind < pathCount:
			in.values[kind] = value
		case kind == pathCount:
			in.values = [pathCount]string{value, value}
		}
		call := time.Since(c.started).Nanoseconds()
		out := c.access(in, fmt.Sprintf("op-%d-%d", c.id, i))
		end := time.Since(c.started).Nanoseconds()
		c.counts[out.outcome]++
		switch {
		case out.outcome == undone:
			time.Sleep(undonePause)
		case out.outcome == unknown:
			end = time.Hour.Nanoseconds() // it may take effect at any later time
		case out.outcome == conflicted:
			known[out.path].version = out.version
		case in.isRead():
			known = out.tree
		default:
			known, _ = write(known, in)
		}
		c.history = append(c.history, porcupine.Operation{ClientId: c.id, Input: in, Call: call, Output: out, Return: end})
	}
}

func pathOf(i int) string { return fmt.Sprintf("/platform/models/m%d", i) }

func (c *client) access(in access, id string) seen {
	if in.isRead() {
		return c.read()
	}
	req := messenger.ChangeRequest{OperationID: id}
	for i, value := range in.values {
		if value != "" {
			req.Changes = append(req.Changes, messenger.SettingChange{Path: pathOf(i), Version: in.versions[i], Value: json.RawMessage(value)})
		}
	}
	_, err := c.configurer.Change(req)
	var conflict *ConflictError
	switch {
	case err == nil:
		return seen{outcome: accepted}
	case errors.As(err, &conflict):
		return seen{outcome: conflicted, path: int(conflict.Path[len(conflict.Path)-1] - '0'), version: conflict.Version}
	case errors.Is(err, ErrUnknownOutcome):
		return seen{outcome: unknown}
	default:
		return seen{outcome: undone}
	}
}

func (c *client) read() seen {
	if c.configurer.Poll() != nil {
		return seen{outcome: undone}
	}
	known, _ := c.configurer.tree.snapshot()
	out := seen{}
	for i := range pathCount {
		out.tree[i] = register{version: known.version(pathOf(i)), value: string(known[pathOf(i)].Value)}
	}
	return out
}

// disturb makes the store fail in ways that change until stop is closed.
func disturb(platform *platformer.Platform, rng *rand.Rand, stop <-chan struct{}) {
	const faultTime = 15 * time.Millisecond
	for {
		fault := platformer.Fault{LoseAnswers: rng.IntN(3), Down: rng.IntN(4) == 0, Delay: time.Duration(rng.IntN(2)) * time.Millisecond}
		platform.SetFault(fault)
		select {
		case <-stop:
			platform.SetFault(platformer.Fault{})
			return
		case <-time.After(faultTime):
		}
	}
}

// TestSettingsAreLinearizable runs several configurers against one failing store.
func TestSettingsAreLinearizable(t *testing.T) {
	const (
		clients  = 4
		accesses = 60
	)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			platform := platformer.New()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			go func() { _ = platform.Serve(ln) }()
			defer platform.Close()
			stop := make(chan struct{})
			var disturber, group sync.WaitGroup
			disturber.Go(func() { disturb(platform, rand.New(rand.NewPCG(seed, 0)), stop) })
			list := []*client{}
			started := time.Now()
			for i := range clients {
				tables := transactor.New("http://"+ln.Addr().String(), poster.New())
				c := &client{id: i, configurer: New(tables, NewTree()), rng: rand.New(rand.NewPCG(seed, uint64(i+1))), started: started}
				list = append(list, c)
				group.Go(func() { c.run(accesses) })
			}
			group.Wait()
			close(stop)
			disturber.Wait()
			history := []porcupine.Operation{}
			var counts [4]int
			for _, c := range list {
				history = append(history, c.history...)
				for i, n := range c.counts {
					counts[i] += n
				}
				require.Eventually(t, func() bool { return c.configurer.Poll() == nil }, 3*time.Second, 10*time.Millisecond)
				assert.Equal(t, list[0].configurer.tree.Since(0), c.configurer.tree.Since(0))
			}
			t.Logf("accepted, conflicted, undone, unknown: %v", counts)
			assert.Positive(t, counts[accepted])
			assert.True(t, isLinearizable(history))
		})
	}
}

// TestHistoryChecker shows the checker bad histories.
func TestHistoryChecker(t *testing.T) {
	at := int64(0)
	op := func(in access, out seen) porcupine.Operation {
		at += 2
		return porcupine.Operation{Input: in, Output: out, Call: at, Return: at + 1}
	}
	set := func(version int64, values ...string) access {
		in := access{versions: [pathCount]int64{version, version}}
		copy(in.values[:], values)
		return in
	}
	read := func(tree registers) porcupine.Operation { return op(access{}, seen{tree: tree}) }
	a, b := register{1, "a"}, register{2, "b"}
	for name, history := range map[string][]porcupine.Operation{
		"lost update":                        {op(set(0, "a"), seen{}), op(set(0, "b"), seen{})},
		"reverted":                           {op(set(0, "a"), seen{}), op(set(1, "b"), seen{}), read(registers{a})},
		"called undone after it took effect": {op(set(0, "a"), seen{outcome: undone}), read(registers{a})},
		"half of a change":                   {op(set(0, "a", "a"), seen{}), read(registers{a})},
		"conflict without cause":             {op(set(0, "a"), seen{outcome: conflicted})},
	} {
		t.Run(name, func(t *testing.T) { assert.False(t, isLinearizable(history)) })
	}
	late := op(set(0, "a"), seen{outcome: unknown})
	late.Return = time.Hour.Nanoseconds()
	assert.True(t, isLinearizable([]porcupine.Operation{late, read(registers{}), read(registers{a}), op(set(1, "b"), seen{}), read(registers{b})}))
}
