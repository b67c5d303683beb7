package test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/servicer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// outcome is the result of one attempt of a request for its caller.
type outcome string

const (
	outcomeComplete outcome = "Whole"
	outcomeNotSent  outcome = "NotSent" // no connection to the instance
	outcomeNotRun   outcome = "NotRun"  // refused with X-Not-Run
	outcomeRefused  outcome = "Refused" // refused without X-Not-Run
	outcomeLost     outcome = "Lost"    // no complete answer
)

// result is the history of one request of a caller, with all its attempts.
type result struct {
	request  string
	kind     string
	attempts []attempt
}

type attempt struct {
	address  string
	at       time.Time
	took     time.Duration
	deadline time.Time // of the locate answer with the address
	outcome  outcome
	detail   string
}

func (r result) lastAttempt() attempt { return r.attempts[len(r.attempts)-1] }

// Kinds of request.
const (
	kindChat  = "chat"  // may be repeated
	kindOrder = "order" // must not be repeated
	kindKeyed = "keyed" // must not be repeated, has a key
)

const sendTimeout = 3 * time.Second

// recorder is a caller that records the history of its requests. It uses a locate answer
// until its deadline, and retries a request at the next address if the request was not run
// or may be repeated, as callers are required to.
type recorder struct {
	name    string
	model   string
	entries []string
	client  *http.Client
	located messenger.LocateAnswer
	results []result
}

func newRecorder(c *cluster, number int, model string) *recorder {
	k := &recorder{name: fmt.Sprintf("caller-%d", number), model: model, client: &http.Client{Transport: &http.Transport{}}}
	for i := range c.entries {
		k.entries = append(k.entries, c.entries[(i+number)%len(c.entries)].address)
	}
	return k
}

// locate returns the cached locate answer, or fetches a new one if the cached one has
// expired.
func (k *recorder) locate() messenger.LocateAnswer {
	if !time.Now().Before(k.located.Deadline) {
		k.located = k.fetchLocate()
	}
	return k.located
}

// fetchLocate asks one instance after the other for a locate answer.
func (k *recorder) fetchLocate() messenger.LocateAnswer {
	for _, address := range k.entries {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		var answer messenger.LocateAnswer
		err := k.get(ctx, "http://"+address+"/v1/locate", &answer)
		cancel()
		if err == nil && len(answer.Addresses) > 0 {
			return answer
		}
	}
	return messenger.LocateAnswer{}
}

func (k *recorder) get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := k.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// run sends count requests of all kinds, one after the other.
func (k *recorder) run(count int, pause time.Duration) {
	kinds := []string{kindChat, kindOrder, kindChat, kindKeyed}
	for i := range count {
		k.request(fmt.Sprintf("%s-%d", k.name, i), kinds[i%len(kinds)])
		time.Sleep(pause)
	}
}

func (k *recorder) request(id, kind string) {
	located := k.locate()
	if kind == kindKeyed {
		located = k.fetchLocate()
	}
	r := result{request: id, kind: kind}
	for _, address := range located.Addresses {
		s := k.sendAttempt(located, address, id, kind)
		r.attempts = append(r.attempts, s)
		again := s.outcome == outcomeNotSent || s.outcome == outcomeNotRun || (kind != kindOrder && s.outcome != outcomeComplete)
		if !again {
			break
		}
	}
	k.results = append(k.results, r)
}

func (k *recorder) sendAttempt(located messenger.LocateAnswer, address, id, kind string) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	s := attempt{address: address, at: time.Now(), deadline: located.Deadline}
	path, body := "/v1/services/orders/"+id, id
	if kind == kindChat {
		path = "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":20,"messages":[{"role":"user","content":%q}]}`, k.model, id)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+teamCredential)
	if kind == kindKeyed {
		req.Header.Set("X-Request-Key", located.Key)
	}
	s.outcome, s.detail = k.outcomeOf(req, kind)
	s.took = time.Since(s.at)
	return s
}

func (k *recorder) outcomeOf(req *http.Request, kind string) (outcome, string) {
	resp, err := k.client.Do(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcomeNotSent, err.Error()
	}
	if err != nil {
		return outcomeLost, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	isComplete := kind != kindChat || strings.HasSuffix(string(text), "data: [DONE]\n\n")
	switch {
	case err == nil && resp.StatusCode == http.StatusOK && isComplete:
		return outcomeComplete, ""
	case resp.Header.Get("X-Not-Run") == "true":
		return outcomeNotRun, string(text)
	case resp.StatusCode != http.StatusOK:
		return outcomeRefused, string(text)
	}
	return outcomeLost, fmt.Sprint(err, string(text))
}

// runCallers runs callers concurrently and returns their histories.
func (c *cluster) runCallers(callers, count int, pause time.Duration) []result {
	var group sync.WaitGroup
	list := make([]*recorder, callers)
	for i := range callers {
		list[i] = newRecorder(c, i, "oak")
		group.Go(func() { list[i].run(count, pause) })
	}
	group.Wait()
	history := []result{}
	for _, k := range list {
		history = append(history, k.results...)
	}
	return history
}

// unanswered returns the requests without a complete answer after all attempts.
func unanswered(history []result) []result {
	list := []result{}
	for _, r := range history {
		if len(r.attempts) == 0 || r.lastAttempt().outcome != outcomeComplete {
			list = append(list, r)
		}
	}
	return list
}

// failedBeforeExpiry returns the requests with an attempt that got no complete answer
// although the locate answer with its address had not expired.
func failedBeforeExpiry(history []result) []result {
	list := []result{}
	for _, r := range history {
		for _, s := range r.attempts {
			if s.outcome != outcomeComplete && s.at.Before(s.deadline) {
				list = append(list, r)
				break
			}
		}
	}
	return list
}

// wrongExecutions describes the orders that ran twice, ran although their only attempt was
// not sent or was refused as not run, or did not run although they were answered.
func wrongExecutions(history []result, executions []servicer.Execution) []string {
	runs := map[string]int{}
	for _, e := range executions {
		runs[strings.TrimPrefix(e.Path, "/")]++
	}
	list := []string{}
	for _, r := range history {
		if r.kind == kindChat || len(r.attempts) == 0 {
			continue
		}
		n := runs[r.request]
		saysNotRun := r.lastAttempt().outcome == outcomeNotRun || r.lastAttempt().outcome == outcomeNotSent
		if n > 1 || (n == 0 && r.lastAttempt().outcome == outcomeComplete) || (n > 0 && saysNotRun && len(r.attempts) == 1) {
			list = append(list, fmt.Sprintf("%s ran %d times, %+v", r.request, n, r.attempts))
		}
	}
	return list
}

// longestDuration returns the longest time that a request took over all its attempts.
func longestDuration(history []result) time.Duration {
	longest := time.Duration(0)
	for _, r := range history {
		total := time.Duration(0)
		for _, s := range r.attempts {
			total += s.took
		}
		longest = max(longest, total)
	}
	return longest
}

// TestHistoryCheckers runs the checkers of histories on correct and incorrect histories.
func TestHistoryCheckers(t *testing.T) {
	now := time.Now()
	history := func(kind string, outcomes ...outcome) []result {
		r := result{request: "r", kind: kind}
		for _, o := range outcomes {
			r.attempts = append(r.attempts, attempt{at: now, deadline: now.Add(time.Second), outcome: o})
		}
		return []result{r}
	}
	ran := func(n int) []servicer.Execution {
		return make([]servicer.Execution, n, n+1)
	}
	for _, c := range []struct {
		name                           string
		history                        []result
		runs                           int
		unanswered, failedEarly, wrong bool
	}{
		{"whole", history(kindOrder, outcomeComplete), 1, false, false, false},
		{"no address", history(kindOrder), 0, true, false, false},
		{"lost", history(kindChat, outcomeLost), 0, true, true, false},
		{"not run, then whole", history(kindChat, outcomeNotRun, outcomeComplete), 0, false, true, false},
		{"ran twice", history(kindOrder, outcomeComplete), 2, false, false, true},
		{"never ran", history(kindOrder, outcomeComplete), 0, false, false, true},
		{"refused as not run but ran", history(kindOrder, outcomeNotRun), 1, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			executions := ran(c.runs)
			for i := range executions {
				executions[i].Path = "/r"
			}
			assert.Equal(t, c.unanswered, len(unanswered(c.history)) > 0)
			assert.Equal(t, c.failedEarly, len(failedBeforeExpiry(c.history)) > 0)
			assert.Equal(t, c.wrong, len(wrongExecutions(c.history, executions)) > 0)
		})
	}
	require.Equal(t, time.Duration(0), longestDuration(nil))
}
