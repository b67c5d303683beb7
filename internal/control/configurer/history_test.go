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
	notApplied
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

// result is what an access returned: the tree for a read, the path and its version
// for a conflict.
type result struct {
	outcome outcome
	tree    registers
	path    int
	version int64
}

// stepModel returns the states that are possible after an access with a result; none
// if the result is impossible. An access of unknown outcome may have taken effect or
// not.
func stepModel(state, input, output any) []any {
	r, in, out := state.(registers), input.(access), output.(result)
	written, holds := write(r, in)
	isConflict := in.values[out.path] != "" && in.versions[out.path] != r[out.path].version && out.version == r[out.path].version
	switch {
	case out.outcome == notApplied:
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
	Step:  stepModel,
	Equal: func(a, b any) bool { return a == b },
}

func isLinearizable(history []porcupine.Operation) bool {
	return porcupine.CheckOperations(treeModel.ToModel(), history)
}

// client accesses the settings through one configurer and records the results.
type client struct {
	id         int
	configurer *Configurer
	rng        *rand.Rand
	started    time.Time
	history    []porcupine.Operation
	counts     [4]int
}

const retryDelay = 5 * time.Millisecond

// run performs random accesses: reads, and writes of one path or of all.
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
		case out.outcome == notApplied:
			time.Sleep(retryDelay)
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

func (c *client) access(in access, id string) result {
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
		return result{outcome: accepted}
	case errors.As(err, &conflict):
		return result{outcome: conflicted, path: int(conflict.Path[len(conflict.Path)-1] - '0'), version: conflict.Version}
	case errors.Is(err, ErrUnknownOutcome):
		return result{outcome: unknown}
	default:
		return result{outcome: notApplied}
	}
}

func (c *client) read() result {
	if c.configurer.Poll() != nil {
		return result{outcome: notApplied}
	}
	known, _ := c.configurer.tree.snapshot()
	out := result{}
	for i := range pathCount {
		out.tree[i] = register{version: known.version(pathOf(i)), value: string(known[pathOf(i)].Value)}
	}
	return out
}

// injectFaults changes the faults of the store at random until stop is closed.
func injectFaults(platform *platformer.Platform, rng *rand.Rand, stop <-chan struct{}) {
	const faultPeriod = 15 * time.Millisecond
	for {
		fault := platformer.Fault{LoseAnswers: rng.IntN(3), Down: rng.IntN(4) == 0, Delay: time.Duration(rng.IntN(2)) * time.Millisecond}
		platform.SetFault(fault)
		select {
		case <-stop:
			platform.SetFault(platformer.Fault{})
			return
		case <-time.After(faultPeriod):
		}
	}
}

// TestSettingsAreLinearizable runs several configurers against one store with faults,
// and checks that the history of their accesses is linearizable.
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
			var injector, group sync.WaitGroup
			injector.Go(func() { injectFaults(platform, rand.New(rand.NewPCG(seed, 0)), stop) })
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
			injector.Wait()
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
			t.Logf("accepted, conflicted, not applied, unknown: %v", counts)
			assert.Positive(t, counts[accepted])
			assert.True(t, isLinearizable(history))
		})
	}
}

// TestHistoryChecker checks that the checker rejects histories that are not
// linearizable.
func TestHistoryChecker(t *testing.T) {
	at := int64(0)
	op := func(in access, out result) porcupine.Operation {
		at += 2
		return porcupine.Operation{Input: in, Output: out, Call: at, Return: at + 1}
	}
	set := func(version int64, values ...string) access {
		in := access{versions: [pathCount]int64{version, version}}
		copy(in.values[:], values)
		return in
	}
	read := func(tree registers) porcupine.Operation { return op(access{}, result{tree: tree}) }
	a, b := register{1, "a"}, register{2, "b"}
	for name, history := range map[string][]porcupine.Operation{
		"lost update":                  {op(set(0, "a"), result{}), op(set(0, "b"), result{})},
		"reverted":                     {op(set(0, "a"), result{}), op(set(1, "b"), result{}), read(registers{a})},
		"not applied, but took effect": {op(set(0, "a"), result{outcome: notApplied}), read(registers{a})},
		"half of a change":             {op(set(0, "a", "a"), result{}), read(registers{a})},
		"conflict without cause":       {op(set(0, "a"), result{outcome: conflicted})},
	} {
		t.Run(name, func(t *testing.T) { assert.False(t, isLinearizable(history)) })
	}
	late := op(set(0, "a"), result{outcome: unknown})
	late.Return = time.Hour.Nanoseconds()
	assert.True(t, isLinearizable([]porcupine.Operation{late, read(registers{}), read(registers{a}), op(set(1, "b"), result{}), read(registers{b})}))
}
