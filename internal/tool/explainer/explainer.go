// Package explainer reconstructs the course of one request from the logs of several
// instances. It prints the log lines of the request in order of time, together with
// the changes that those instances logged shortly before and during the request about
// the targets, the store, the lease and the peers that it depended on.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotFound reports that no log line belongs to the request.
var ErrNotFound = errors.New("no line names the request")

const (
	// maxLineBytes is the greatest length of a log line in bytes.
	maxLineBytes = 1 << 20
	// contextBefore is how long before the request state changes are shown.
	contextBefore = 5 * time.Second
)

// stateMessages are the log messages about a change of the system that an instance has detected.
var stateMessages = []string{
	"target", "target is gone", "target announces that it leaves", "target asks for quiet", "target is superseded at its address", "verdict",
	"lease on orders", "store does not answer", "store is back", "manifest", "table taken from a peer", "peer is silent", "peer is there", "instance starts", "instance stops",
}

// line is a log line with the fields by which lines are selected and ordered.
type line struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Request  string    `json:"request"`
	Target   string    `json:"target"`
	instance string
	text     string
}

// Explain reads logs and writes the timeline of a request. The last word before the
// JSON of a line, if any, is the name of the instance that logged it. The error is
// ErrNotFound or that of a reader or the writer.
func Explain(out io.Writer, request string, logs ...io.Reader) error {
	own, others := []line{}, []line{}
	for _, log := range logs {
		err := readLines(log, func(l line) {
			switch {
			case l.Request == request:
				own = append(own, l)
			case slices.Contains(stateMessages, l.Message):
				others = append(others, l)
			}
		})
		if err != nil {
			return err
		}
	}
	if len(own) == 0 {
		return errors.Wrap(ErrNotFound, request)
	}
	return write(out, timeline(own, others))
}

// readLines calls onLine for each log line in log and skips all other text.
func readLines(log io.Reader, onLine func(line)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	for scanner.Scan() {
		prefix, text, ok := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !ok {
			continue
		}
		var l line
		text = append([]byte("{"), text...)
		if json.Unmarshal(text, &l) != nil {
			continue // not a log line
		}
		if fields := strings.Fields(string(prefix)); len(fields) > 0 {
			l.instance = fields[len(fields)-1]
		}
		l.text = string(text)
		onLine(l)
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read log")
	}
	return nil
}

// timeline returns the lines of the request and the state changes that concern it, in
// order of time: those at its instances, about its targets or about no target.
func timeline(own, others []line) []line {
	byTime := func(a, b line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	from := own[0].Time.Add(-contextBefore)
	until := own[len(own)-1].Time
	targets, instances := map[string]bool{}, map[string]bool{}
	for _, l := range own {
		targets[l.Target] = true
		instances[l.instance] = true
	}
	for _, l := range others {
		isNear := !l.Time.Before(from) && !l.Time.After(until)
		concerns := instances[l.instance] && (l.Target == "" || targets[l.Target])
		if isNear && concerns {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, byTime)
	return own
}

// write writes one row for each line; those of the request are marked with an asterisk.
func write(out io.Writer, lines []line) error {
	for _, l := range lines {
		mark := " "
		if l.Request != "" {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %s %-16s %s\n", mark, l.Time.Format("15:04:05.000"), l.instance, describe(l)); err != nil {
			return errors.Wrap(err, "write timeline")
		}
	}
	return nil
}

// describe returns the message of a line with its other fields by name.
func describe(l line) string {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal([]byte(l.text), &fields); err != nil {
		return l.text
	}
	for _, shown := range []string{"time", "level", "msg", "request"} {
		delete(fields, shown)
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	b.WriteString(l.Message)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%s", name, fields[name])
	}
	return b.String()
}
