package test

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkAddedLatency sends the same requests alternately to an engine directly and
// through an instance, at 60 requests a second on each path, and reports the time until
// the complete answer.
func BenchmarkAddedLatency(b *testing.B) {
	c := newCluster(b, 1, 1, "--token-interval", "0", "--slots", "512")
	c.configure("oak")
	const (
		rate  = 60 // requests a second on each path
		count = 600
	)
	direct := &loadCaller{url: "http://" + c.engines[0].address, model: "oak@v1", client: newLoadClient()}
	relayed := &loadCaller{url: "http://" + c.entries[0].address, model: "oak", client: newLoadClient()}
	for b.Loop() {
		var directTimes, relayedTimes []time.Duration
		next := time.Now()
		for i := range count {
			next = next.Add(time.Second / (2 * rate))
			time.Sleep(time.Until(next))
			directTimes = append(directTimes, direct.timeRequest(b, i, 20))
			next = next.Add(time.Second / (2 * rate))
			time.Sleep(time.Until(next))
			relayedTimes = append(relayedTimes, relayed.timeRequest(b, i, 20))
		}
		reportTimes(b, "direct", directTimes)
		reportTimes(b, "relayed", relayedTimes)
		added := percentile(relayedTimes, 50) - percentile(directTimes, 50)
		b.ReportMetric(float64(added.Microseconds()), "added-median-µs")
	}
}

// BenchmarkRelayedTokens runs concurrent streams whose tokens are 26 ms apart
// and reports the resources that the instance uses for them.
func BenchmarkRelayedTokens(b *testing.B) {
	c := newCluster(b, 1, 1, "--token-interval", "26ms", "--slots", "4096")
	c.configure("oak")
	const tokens = 200 // of one stream, about 5 s
	for _, streams := range []int{100, 400, 800} {
		b.Run(strconv.Itoa(streams), func(b *testing.B) {
			relayed := &loadCaller{url: "http://" + c.entries[0].address, model: "oak", client: newLoadClient()}
			for b.Loop() {
				before := cpuTime(b, c.entries[0].command.Process.Pid)
				began := time.Now()
				var group sync.WaitGroup
				for i := range streams {
					group.Go(func() { relayed.timeRequest(b, i, tokens) })
				}
				group.Wait()
				took := time.Since(began)
				cpu := cpuTime(b, c.entries[0].command.Process.Pid) - before
				total := float64(streams * tokens)
				b.ReportMetric(total/took.Seconds(), "tokens/s")
				b.ReportMetric(total/cpu.Seconds(), "tokens/core-s")
				b.ReportMetric(cpu.Seconds()/took.Seconds(), "cores")
				b.ReportMetric(float64(residentBytes(b, c.entries[0].command.Process.Pid))/(1<<20), "MiB")
			}
		})
	}
}

// loadCaller sends chat requests over persistent connections.
type loadCaller struct {
	url    string
	model  string
	client *http.Client
}

func newLoadClient() *http.Client {
	const connections = 2000
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, MaxIdleConns: connections}}
}

// timeRequest returns the time from sending a request to the end of its answer.
func (c *loadCaller) timeRequest(b *testing.B, number, tokens int) time.Duration {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"prompt %d"}]}`,
		c.model, tokens, number)
	req, err := http.NewRequest(http.MethodPost, c.url+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+teamCredential)
	req.Header.Set("X-Request-Id", fmt.Sprintf("bench-%d", number))
	began := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	got := 0
	complete := false
	for lines.Scan() {
		switch {
		case lines.Text() == "data: [DONE]":
			complete = true
		case strings.HasPrefix(lines.Text(), "data: "):
			got++
		}
	}
	if !complete || got != tokens {
		b.Errorf("answer %d: complete %v, %d of %d tokens, status %d", number, complete, got, tokens, resp.StatusCode)
	}
	return time.Since(began)
}

func percentile(times []time.Duration, percent int) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[(len(sorted)-1)*percent/100]
}

func reportTimes(b *testing.B, prefix string, times []time.Duration) {
	b.ReportMetric(float64(percentile(times, 50).Microseconds()), prefix+"-median-µs")
	b.ReportMetric(float64(percentile(times, 99).Microseconds()), prefix+"-p99-µs")
}

// cpuTime returns the processor time that a process has used.
func cpuTime(b *testing.B, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(b, err)
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const (
		userField   = 11 // after the name of the program
		systemField = 12
		tick        = 10 * time.Millisecond
	)
	user, err := strconv.Atoi(fields[userField])
	require.NoError(b, err)
	system, err := strconv.Atoi(fields[systemField])
	require.NoError(b, err)
	return time.Duration(user+system) * tick
}

func residentBytes(b *testing.B, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	require.NoError(b, err)
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	require.NoError(b, err)
	return pages * os.Getpagesize()
}
