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

// access is one read (an empty value) or conditional write of a path.
type access struct {
	path    string
	version int64
	value   string
}

// seen is what an access returned.
type seen struct {
	outcome outcome
	version int64
	value   string
}

// register is the state of a path.
type register struct {
	version int64
	value   string
}

// stepRegister says whether an access may have returned what was seen. One with
// an unknown outcome may have taken effect or not.
func stepRegister(state, input, output any) []any {
	r, in, out := state.(register), input.(access), output.(seen)
	written := register{version: r.version + 1, value: in.value}
	switch {
	case in.value == "":
		if out.outcome == accepted && (out.version != r.version || out.value != r.value) {
			return nil
		}
		return []any{r}
	case out.outcome == undone:
		return []any{r}
	case out.outcome == conflicted && in.version != r.version && out.version == r.version:
		return []any{r}
	case out.outcome == accepted && in.version == r.version:
		return []any{written}
	case out.outcome == unknown && in.version == r.version:
		return []any{r, written}
	case out.outcome == unknown:
		return []any{r}
	}
	return nil
}

var registers = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byPath := map[string][]porcupine.Operation{}
		for _, op := range history {
			path := op.Input.(access).path
			byPath[path] = append(byPath[path], op)
		}
		parts := [][]porcupine.Operation{}
		for _, part := range byPath {
			parts = append(parts, part)
		}
		return parts
	},
	Init:  func() []any { return []any{register{}} },
	Step:  stepRegister,
	Equal: func(a, b any) bool { return a == b },
}

func isLinearizable(history []porcupine.Operation) bool {
	model := registers.ToModel()
	return porcupine.CheckOperations(model, history)
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

func (c *client) run(paths, accesses int) {
	versions := map[string]int64{}
	for i := range accesses {
		in := access{path: fmt.Sprintf("/platform/models/m%d", c.rng.IntN(paths))}
		if c.rng.IntN(3) > 0 {
			in.version = versions[in.path]
			in.value = fmt.Sprintf(`{"Version":"v%d","Bytes":%d,"Copies":1,"MaximumCopies":0}`, c.id, i+1)
		}
		call := time.Since(c.started).Nanoseconds()
		out := c.access(in, fmt.Sprintf("op-%d-%d", c.id, i))
		if out.outcome == undone {
			time.Sleep(undonePause)
		} else {
			versions[in.path] = out.version
		}
		c.counts[out.outcome]++
		end := time.Since(c.started).Nanoseconds()
		if out.outcome == unknown {
			end = time.Hour.Nanoseconds() // it may take effect at any later time
		}
		c.history = append(c.history, porcupine.Operation{ClientId: c.id, Input: in, Call: call, Output: out, Return: end})
	}
}

func (c *client) access(in access, id string) seen {
	if in.value == "" {
		if c.configurer.Poll() != nil {
			return seen{outcome: undone}
		}
		known, _ := c.configurer.tree.snapshot()
		return seen{version: known.version(in.path), value: string(known[in.path].Value)}
	}
	_, err := c.configurer.Change(request(id, messenger.SettingChange{Path: in.path, Version: in.version, Value: json.RawMessage(in.value)}))
	var conflict *ConflictError
	switch {
	case err == nil:
		return seen{outcome: accepted, version: in.version + 1}
	case errors.As(err, &conflict):
		return seen{outcome: conflicted, version: conflict.Version}
	case errors.Is(err, ErrUnknownOutcome):
		return seen{outcome: unknown}
	default:
		return seen{outcome: undone}
	}
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
		paths    = 2
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
				group.Go(func() { c.run(paths, accesses) })
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
	write := func(version int64, value string, out seen, call, end int64) porcupine.Operation {
		return porcupine.Operation{Input: access{path: "p", version: version, value: value}, Output: out, Call: call, Return: end}
	}
	read := func(version int64, value string, call, end int64) porcupine.Operation {
		return porcupine.Operation{Input: access{path: "p"}, Output: seen{version: version, value: value}, Call: call, Return: end}
	}
	for name, history := range map[string][]porcupine.Operation{
		"lost update": {write(0, "a", seen{}, 0, 1), write(0, "b", seen{}, 2, 3)},
		"reverted":    {write(0, "a", seen{}, 0, 1), write(1, "b", seen{}, 2, 3), read(1, "a", 4, 5)},
		"called undone after it took effect": {
			write(0, "a", seen{outcome: undone}, 0, 1), read(1, "a", 2, 3),
		},
	} {
		t.Run(name, func(t *testing.T) { assert.False(t, isLinearizable(history)) })
	}
	assert.True(t, isLinearizable([]porcupine.Operation{write(0, "a", seen{outcome: unknown}, 0, 9), read(0, "", 1, 2), read(1, "a", 3, 4)}))
}
