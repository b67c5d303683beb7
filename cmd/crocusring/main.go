// Command crocusring serves many models on fewer accelerators. It runs the instances
// that stand between clients and targets, and is the operators' tool to configure and
// inspect them.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/tool/requester"
	"github.com/crocusring/crocusring/internal/wire/inspector"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1 // no instance answered, a file could not be read, or an instance failed; only batches that apply has reported as accepted took effect
	exitUsage   = 2
	exitInvalid = 3 // settings or declarations have faults
	exitDiffers = 4 // diff found differences
	exitRefused = 5 // an instance refused; only batches that apply has reported as accepted took effect
	exitUnknown = 6 // unknown outcome: a change may have been accepted
)

type arguments struct {
	Serve   *serveCommand   `arg:"subcommand:serve" help:"run an entry instance"`
	Gateway *gatewayCommand `arg:"subcommand:gateway" help:"run an instance on the platform of its users"`
	Explain *explainCommand `arg:"subcommand:explain" help:"tell the story of a request from the logs of instances"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check files and report all faults"`
	Apply   *applyCommand   `arg:"subcommand:apply" help:"make the settings what the declarations say"`
	Diff    *diffCommand    `arg:"subcommand:diff" help:"show what apply would change"`
	Get     *getCommand     `arg:"subcommand:get" help:"print settings as declarations"`
	Locate  *locateCommand  `arg:"subcommand:locate" help:"print the addresses that a caller is to use"`
	Status  *statusCommand  `arg:"subcommand:status" help:"print the state of the system as an instance sees it"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"run the whole system in one process and show it"`
	Version *versionCommand `arg:"subcommand:version" help:"print the version"`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout))
}

// run parses args, runs the subcommand, and returns the exit code.
func run(args []string, out io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "crocusring", Out: os.Stderr}, &a)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if err := parser.Parse(args); err != nil {
		return explainUsage(parser, err)
	}
	return dispatch(&a, parser, out)
}

func dispatch(a *arguments, parser *arg.Parser, out io.Writer) int {
	switch {
	case a.Serve != nil:
		return serve(a.Serve)
	case a.Gateway != nil:
		return gateway(a.Gateway)
	case a.Explain != nil:
		return explain(a.Explain, out)
	case a.Check != nil:
		return check(a.Check, out)
	case a.Apply != nil:
		return apply(a.Apply, out)
	case a.Diff != nil:
		return diff(a.Diff, out)
	case a.Get != nil:
		return get(a.Get, out)
	case a.Locate != nil:
		return locate(a.Locate, out)
	case a.Status != nil:
		return status(a.Status, out)
	case a.Demo != nil:
		return demo(a.Demo)
	case a.Version != nil:
		return printVersion(out)
	default:
		parser.WriteHelp(os.Stderr)
		return exitUsage
	}
}

// explainUsage prints the help if it was requested, or reports invalid arguments.
func explainUsage(parser *arg.Parser, err error) int {
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(os.Stdout)
		return exitOK
	}
	parser.WriteUsage(os.Stderr)
	fmt.Fprintln(os.Stderr, "error:", err)
	return exitUsage
}

// fail prints an error to standard error and returns the exit code for it.
func fail(err error) int {
	if errors.Is(err, inspector.ErrInvalid) {
		fmt.Fprintln(os.Stderr, err) // one line for each fault, with its file and line
		return exitInvalid
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	switch {
	case errors.Is(err, requester.ErrRefused):
		return exitRefused
	case errors.Is(err, requester.ErrUnknownOutcome):
		return exitUnknown
	default:
		return exitFailed
	}
}
