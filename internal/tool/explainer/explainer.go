// Package explainer tells the story of one request from the logs of several
// instances: the lines that name it, in order of time, with what the instances came
// to believe shortly before and during it about the targets, the store and the lease
// that it depended on.
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

// ErrNotFound tells that no line names the request.
var ErrNotFound = errors.New("no line names the request")

const (
	// maxLine bounds a log line.
	maxLine = 1 << 20
	// lookBack is how long before the request changes of belief are shown.
	lookBack = 5 * time.Second
)

// beliefs are the messages that tell of a change of what an instance believes.
var beliefs = []string{
	"target", "target is gone", "target is superseded at its address", "lease on orders", "store does not answer", "store is back", "manifest",
	"table taken from a peer", "peer is silent", "peer is there", "instance starts", "instance stops",
}

// line is a log line with the fields that matter here.
type line struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Request  string    `json:"request"`
	Target   string    `json:"target"`
	instance string
	text     string
}

// Explain reads logs and writes the story of a request. Text before the JSON of a
// line is taken for the name of its instance. The error is ErrNotFound or that of a
// reader or the writer.
func Explain(out io.Writer, request string, logs ...io.Reader) error {
	own, others := []line{}, []line{}
	for _, log := range logs {
		err := readLines(log, func(l line) {
			switch {
			case l.Request == request:
				own = append(own, l)
			case slices.Contains(beliefs, l.Message):
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
	return write(out, story(own, others))
}

func readLines(log io.Reader, take func(line)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLine)
	for scanner.Scan() {
		prefix, text, ok := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !ok {
			continue
		}
		var l line
		text = append([]byte("{"), text...)
		if json.Unmarshal(text, &l) != nil {
			continue // a line of something else
		}
		if fields := strings.Fields(string(prefix)); len(fields) > 0 {
			l.instance = fields[len(fields)-1]
		}
		l.text = string(text)
		take(l)
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read log")
	}
	return nil
}

// story returns the lines of the request and the beliefs that concern it, by time.
func story(own, others []line) []line {
	byTime := func(a, b line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	from := own[0].Time.Add(-lookBack)
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

func write(out io.Writer, lines []line) error {
	for _, l := range lines {
		mark := " "
		if l.Request != "" {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %s %-16s %s\n", mark, l.Time.Format("15:04:05.000"), l.instance, describe(l)); err != nil {
			return errors.Wrap(err, "write story")
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
