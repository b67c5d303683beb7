// Command crocusring serves many models on fewer accelerators: it runs entry
// instances and talks to them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/node/loader"
	"github.com/crocusring/crocusring/internal/node/runner"
)

// version is set by the build.
var version = "devel"

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitInvalid = 3
)

type serveCommand struct {
	Settings string `arg:"positional,required" help:"settings file, JSON with comments"`
}

type checkCommand struct {
	Settings string `arg:"positional,required" help:"settings file to check"`
}

type versionCommand struct{}

type arguments struct {
	Serve   *serveCommand   `arg:"subcommand:serve" help:"run an entry instance"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check a settings file and report all faults"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"run the whole system in one process and show it"`
	Version *versionCommand `arg:"subcommand:version" help:"print the version"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "crocusring", Out: os.Stderr}, &a)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if err := parser.Parse(args); err != nil {
		return explain(parser, err)
	}
	switch {
	case a.Serve != nil:
		return serve(a.Serve)
	case a.Check != nil:
		return check(a.Check)
	case a.Demo != nil:
		return demo(a.Demo)
	case a.Version != nil:
		fmt.Println("crocusring", version)
		return exitOK
	default:
		parser.WriteHelp(os.Stderr)
		return exitUsage
	}
}

// explain answers a request for help or reports what is wrong with the arguments.
func explain(parser *arg.Parser, err error) int {
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(os.Stdout)
		return exitOK
	}
	parser.WriteUsage(os.Stderr)
	fmt.Fprintln(os.Stderr, "error:", err)
	return exitUsage
}

func serve(c *serveCommand) int {
	settings, err := loader.Load(c.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := newLog(os.Stderr, settings.LogLevel)
	if err := runner.New(settings, log).Run(ctx); err != nil {
		log.Error(err, "instance failed")
		return exitFailed
	}
	return exitOK
}

func check(c *checkCommand) int {
	if _, err := loader.Load(c.Settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	fmt.Println(c.Settings, "is valid")
	return exitOK
}
