// Command crocusring-soak runs instances of crocusring against a simulated platform
// while it injects faults, which are drawn at random from a seed. It reports which
// guarantees of crocusring to its callers were violated.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/crocusring/crocusring/internal/tool/soaker"
)

type arguments struct {
	Seed      uint64  `arg:"--seed" help:"what disturbances are drawn from; 0 for the time of day"`
	Minutes   float64 `arg:"--minutes" default:"1" help:"how long to disturb"`
	Instances int     `arg:"--instances" default:"4" help:"instances to run"`
	Callers   int     `arg:"--callers" default:"24" help:"callers that send requests"`
	Accounts  bool    `arg:"--accounts" help:"give the callers accounts, whose keys change"`
	Restores  float64 `arg:"--restores" help:"share, 0 to 1, of disturbances that are a return of the store from a copy, beyond those drawn as any other"`
	Program   string  `arg:"--program" help:"the program under test; crocusring beside this one if not given"`
	Directory string  `arg:"--directory" help:"where settings and logs go; a new one if not given"`
}

// Description returns the head of the usage text.
func (arguments) Description() string {
	return "Runs crocusring under injected faults and checks that its promises hold. Exit code 1: a promise was broken; 2: the run failed."
}

const (
	exitBroken = 1
	exitFailed = 2
)

func main() { os.Exit(run()) }

// run runs the test, prints the violations, and returns the exit code.
func run() int {
	var a arguments
	arg.MustParse(&a)
	settings, err := settingsOf(a)
	if err != nil {
		fmt.Fprintln(os.Stderr, "crocusring-soak:", err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	fmt.Printf("seed %d, settings and logs in %s\n", settings.Seed, settings.Directory)
	found, err := soaker.Run(ctx, settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "crocusring-soak:", err)
		return exitFailed
	}
	for _, v := range found {
		fmt.Printf("broken: %s at %s: %s\n", v.Promise, v.At.Format(time.RFC3339Nano), v.Detail)
	}
	fmt.Printf("seed %d: %d promises broken\n", settings.Seed, len(found))
	if len(found) > 0 {
		return exitBroken
	}
	return 0
}

// settingsOf returns the settings for the arguments, with defaults filled in.
func settingsOf(a arguments) (soaker.Settings, error) {
	out := soaker.Settings{
		Seed: a.Seed, Length: time.Duration(a.Minutes * float64(time.Minute)), Instances: a.Instances, Callers: a.Callers, HasAccounts: a.Accounts, RestoreShare: a.Restores,
		Program: a.Program, Directory: a.Directory, Out: os.Stdout,
	}
	if a.Instances < 1 || a.Callers < 1 || a.Minutes <= 0 {
		return out, fmt.Errorf("--instances, --callers and --minutes must be more than 0")
	}
	if a.Restores < 0 || a.Restores > 1 {
		return out, fmt.Errorf("--restores must be between 0 and 1")
	}
	if out.Seed == 0 {
		out.Seed = uint64(time.Now().UnixNano())
	}
	if out.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return out, err
		}
		out.Program = filepath.Join(filepath.Dir(self), "crocusring")
	}
	if out.Directory == "" {
		directory, err := os.MkdirTemp("", "crocusring-soak")
		if err != nil {
			return out, err
		}
		out.Directory = directory
		return out, nil
	}
	return out, os.MkdirAll(out.Directory, 0o755)
}
