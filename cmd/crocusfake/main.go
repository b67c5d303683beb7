// Command crocusfake runs a fake platform, model engine or plain service in a process
// of its own, for tests and trials.
package main

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/crocusring/crocusring/internal/fake/engineer"
	"github.com/crocusring/crocusring/internal/fake/platformer"
	"github.com/crocusring/crocusring/internal/fake/servicer"
)

type platformCommand struct {
	Listen  string        `arg:"positional,required" help:"address to listen on"`
	ListLag time.Duration `arg:"--list-lag" help:"lag of the instance list"`
}

type engineCommand struct {
	ID            string        `arg:"positional,required" help:"ID of the engine in the instance list"`
	Listen        string        `arg:"positional,required" help:"address to listen on"`
	MemoryBytes   int64         `arg:"--memory" default:"85899345920" help:"accelerator memory in bytes"`
	Fencing       bool          `arg:"--fencing" help:"refuse orders with an old fencing number"`
	TokenInterval time.Duration `arg:"--token-interval" default:"1ms" help:"time between tokens"`
	LoadTime      time.Duration `arg:"--load-time" default:"50ms" help:"time to load a model"`
	Slots         int           `arg:"--slots" default:"16" help:"requests that run at once"`
	ExitOnCrash   bool          `arg:"--exit-on-crash" help:"end the process on a crash"`
}

type serviceCommand struct {
	Listen string `arg:"positional,required" help:"address to listen on"`
}

type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"table service, object store and instance list"`
	Engine   *engineCommand   `arg:"subcommand:engine" help:"model engine"`
	Service  *serviceCommand  `arg:"subcommand:service" help:"plain service"`
}

func main() {
	var a arguments
	parser := arg.MustParse(&a)
	var err error
	switch {
	case a.Platform != nil:
		err = listenAndServe(a.Platform.Listen, platformer.New(platformer.WithListLag(a.Platform.ListLag)).Serve)
	case a.Engine != nil:
		err = listenAndServe(a.Engine.Listen, newEngine(a.Engine).Serve)
	case a.Service != nil:
		err = listenAndServe(a.Service.Listen, servicer.New().Serve)
	default:
		parser.Fail("a subcommand is required")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newEngine(c *engineCommand) *engineer.Engine {
	opts := []engineer.Option{
		engineer.WithMemory(c.MemoryBytes), engineer.WithFencing(c.Fencing), engineer.WithSlots(c.Slots),
		engineer.WithTokenInterval(c.TokenInterval), engineer.WithLoadTime(c.LoadTime),
	}
	if c.ExitOnCrash {
		opts = append(opts, engineer.WithCrash(func() { os.Exit(1) }))
	}
	return engineer.New(c.ID, opts...)
}

func listenAndServe(address string, serve func(net.Listener) error) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return serve(ln)
}
