package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/crocusring/crocusring/internal/node/loader"
	"github.com/crocusring/crocusring/internal/node/runner"
)

type serveCommand struct {
	Settings string `arg:"positional,required" help:"settings file, JSON with comments"`
}

// serve runs an entry instance until the process receives SIGTERM or SIGINT.
func serve(c *serveCommand) int {
	settings, err := loader.Load(c.Settings)
	if err != nil {
		return fail(err)
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
