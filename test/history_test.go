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

// outcome is how one send of a request ended for its caller.
type outcome string

const (
	whole   outcome = "Whole"
	notSent outcome = "NotSent" // no connection
	notRun  outcome = "NotRun"  // a refusal that says so
	refused outcome = "Refused" // a refusal that does not say so
	lost    outcome = "Lost"    // no whole answer
)

// result is the history of one request of a caller.
type result struct {
	request string
	kind    string
	sends   []sending
}

type sending struct {
	address  string
	at       time.Time
	took     time.Duration
	deadline time.Time // of the locate answer that named the address
	outcome  outcome
	detail   string
}

func (r result) last() sending { return r.sends[len(r.sends)-1] }

// Kinds of request.
const (
	kindChat  = "chat"  // may be repeated
	kindOrder = "order" // must not be repeated
	kindKeyed = "keyed" // must not be repeated, has a key
)

const sendTimeout = 3 * time.Second

// recorder is a caller that records its history. It keeps a locate answer for its
// life and goes to the next address as the documents for callers say: if a request
// was not run, or if it may be repeated.
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

// locate returns the kept locate answer, or asks one instance after the other
// for a new one if that has lapsed.
func (k *recorder) locate() messenger.LocateAnswer {
	if !time.Now().Before(k.located.Deadline) {
		k.located = k.ask()
	}
	return k.located
}

func (k *recorder) ask() messenger.LocateAnswer {
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

// run sends a fixed count of requests, one after the other.
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
		located = k.ask()
	}
	r := result{request: id, kind: kind}
	for _, address := range located.Addresses {
		s := k.send(located, address, id, kind)
		r.sends = append(r.sends, s)
		again := s.outcome == notSent || s.outcome == notRun || (kind != kindOrder && s.outcome != whole)
		if !again {
			break
		}
	}
	k.results = append(k.results, r)
}

func (k *recorder) send(located messenger.LocateAnswer, address, id, kind string) sending {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	s := sending{address: address, at: time.Now(), deadline: located.Deadline}
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
	s.outcome, s.detail = k.do(req, kind)
	s.took = time.Since(s.at)
	return s
}

func (k *recorder) do(req *http.Request, kind string) (outcome, string) {
	resp, err := k.client.Do(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notSent, err.Error()
	}
	if err != nil {
		return lost, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	isWhole := kind != kindChat || strings.HasSuffix(string(text), "data: [DONE]\n\n")
	switch {
	case err == nil && resp.StatusCode == http.StatusOK && isWhole:
		return whole, ""
	case resp.Header.Get("X-Not-Run") == "true":
		return notRun, string(text)
	case resp.StatusCode != http.StatusOK:
		return refused, string(text)
	}
	return lost, fmt.Sprint(err, string(text))
}

// runCallers runs callers at once and returns the history of all of them.
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

// unanswered returns the requests that never got a whole answer.
func unanswered(history []result) []result {
	list := []result{}
	for _, r := range history {
		if len(r.sends) == 0 || r.last().outcome != whole {
			list = append(list, r)
		}
	}
	return list
}

// turnedAway returns the requests that some instance did not answer in full
// though the caller's address had not lapsed.
func turnedAway(history []result) []result {
	list := []result{}
	for _, r := range history {
		for _, s := range r.sends {
			if s.outcome != whole && s.at.Before(s.deadline) {
				list = append(list, r)
				break
			}
		}
	}
	return list
}

// misrun returns the IDs of orders that ran twice, ran though their caller was
// told that they did not, or did not run though answered.
func misrun(history []result, executions []servicer.Execution) []string {
	runs := map[string]int{}
	for _, e := range executions {
		runs[strings.TrimPrefix(e.Path, "/")]++
	}
	list := []string{}
	for _, r := range history {
		if r.kind == kindChat || len(r.sends) == 0 {
			continue
		}
		n := runs[r.request]
		saysNotRun := r.last().outcome == notRun || r.last().outcome == notSent
		if n > 1 || (n == 0 && r.last().outcome == whole) || (n > 0 && saysNotRun && len(r.sends) == 1) {
			list = append(list, fmt.Sprintf("%s ran %d times, %+v", r.request, n, r.sends))
		}
	}
	return list
}

// slowest returns the longest time that a request took over all its sends.
func slowest(history []result) time.Duration {
	longest := time.Duration(0)
	for _, r := range history {
		total := time.Duration(0)
		for _, s := range r.sends {
			total += s.took
		}
		longest = max(longest, total)
	}
	return longest
}

// TestCheckers runs the checkers of histories on good and bad ones.
func TestCheckers(t *testing.T) {
	now := time.Now()
	history := func(kind string, outcomes ...outcome) []result {
		r := result{request: "r", kind: kind}
		for _, o := range outcomes {
			r.sends = append(r.sends, sending{at: now, deadline: now.Add(time.Second), outcome: o})
		}
		return []result{r}
	}
	ran := func(n int) []servicer.Execution {
		return make([]servicer.Execution, n, n+1)
	}
	for _, c := range []struct {
		name                  string
		history               []result
		runs                  int
		unanswered, away, run bool
	}{
		{"whole", history(kindOrder, whole), 1, false, false, false},
		{"no address", history(kindOrder), 0, true, false, false},
		{"lost", history(kindChat, lost), 0, true, true, false},
		{"moved", history(kindChat, notRun, whole), 0, false, true, false},
		{"ran twice", history(kindOrder, whole), 2, false, false, true},
		{"never ran", history(kindOrder, whole), 0, false, false, true},
		{"said not run but ran", history(kindOrder, notRun), 1, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			executions := ran(c.runs)
			for i := range executions {
				executions[i].Path = "/r"
			}
			assert.Equal(t, c.unanswered, len(unanswered(c.history)) > 0)
			assert.Equal(t, c.away, len(turnedAway(c.history)) > 0)
			assert.Equal(t, c.run, len(misrun(c.history, executions)) > 0)
		})
	}
	require.Equal(t, time.Duration(0), slowest(nil))
}
