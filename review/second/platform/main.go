// Command standins runs a case of the second review: it starts instances of the system as separate
// processes, beside a store, replicas, an operator and clients of its own, and judges what these
// have seen. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Tables that the system may not write to.
const (
	tableOperator = "op"
	tableReplicas = "servers"
)

// world is what a case runs in.
type world struct {
	record     *record
	store      *store
	hasTrouble bool
	binary     string
	folder     string
	instances  []*instance
}

// runCase sets a case up, plays it and returns whether the rule was broken.
type runCase func(w *world) (isBroken bool, err error)

var cases = map[string]runCase{}

func main() {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file for the record")
	binary := flag.String("binary", "target/crocusring", "the system's program")
	limit := flag.Duration("limit", 115*time.Second, "the case is given up after this time")
	flag.Parse()
	os.Exit(play(*name, *recordPath, *binary, *limit))
}

func play(name, recordPath, binary string, limit time.Duration) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	out, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		out.addf("cannot run: %v", err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	w := &world{record: out, hasTrouble: os.Getenv("TROUBLE") != "0", binary: binary, folder: folder}
	defer w.end()
	return w.judge(run, limit)
}

// judge plays the case within a time, or until it is told to stop.
func (w *world) judge(run runCase, limit time.Duration) int {
	type verdict struct {
		isBroken bool
		err      error
	}
	ended := make(chan verdict, 1)
	go func() {
		isBroken, err := run(w)
		ended <- verdict{isBroken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case v := <-ended:
		switch {
		case v.err != nil:
			w.record.addf("cannot run: %v", v.err)
			return exitNotRun
		case v.isBroken:
			w.record.addf("RULE BROKEN")
			return exitBroken
		}
		w.record.addf("rule held")
		return exitHeld
	case <-stop:
		w.record.addf("cannot run: told to stop")
	case <-time.After(limit):
		w.record.addf("cannot run: not done within %v", limit)
	}
	return exitNotRun
}

// clear ends all processes, for a round that begins anew.
func (w *world) clear() {
	w.end()
	w.instances, w.store = nil, nil
}

// end ends all processes that the case started.
func (w *world) end() {
	for _, i := range w.instances {
		i.kill()
	}
	if w.store != nil {
		w.store.close()
	}
}
