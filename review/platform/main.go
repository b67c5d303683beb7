// Command standin plays the cases of the review: it starts instances of the system as processes
// beside stand-ins of the store, the replicas and the clients, and checks a rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is a case. It returns one of the exit codes.
type scenario func(program string, rec *record, isTroubled bool) int

var scenarios = map[string]scenario{
	"restart":  restartCase,
	"dark":     darkCase,
	"memory":   memoryCase,
	"truncate": truncateCase,
	"limit":    limitCase,
}

// main runs the case that the first argument names: standin CASE PROGRAM RECORD.
func main() {
	if len(os.Args) == 5 && os.Args[1] == "replica" {
		fmt.Fprintln(os.Stderr, serveChild(os.Args[2], os.Args[3], os.Args[4]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code := exitNotRun
	for attempt := 0; attempt < maxStarts && code == exitNotRun; attempt++ {
		code = scenarios[os.Args[1]](os.Args[2], rec, os.Getenv("TROUBLE") != "0")
	}
	os.Exit(code)
}

// maxStarts bounds how often a case is begun: another program may take one of its ports just before
// an instance listens there.
const maxStarts = 3

// verdict records the result of a case and returns its exit code.
func verdict(rec *record, isBroken bool, format string, args ...any) int {
	word, code := "held", exitHeld
	if isBroken {
		word, code = "broken", exitBroken
	}
	text := fmt.Sprintf(format, args...)
	rec.add("rule %s: %s", word, text)
	fmt.Printf("rule %s: %s\n", word, text)
	return code
}

// notRun records why a case could not run.
func notRun(rec *record, reason string) int {
	rec.add("not run: %s", reason)
	fmt.Println("not run:", reason)
	return exitNotRun
}
