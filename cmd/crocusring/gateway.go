package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/supervisor"
	"github.com/crocusring/crocusring/internal/node/loader"
	"github.com/crocusring/crocusring/internal/node/recorder"
	"github.com/crocusring/crocusring/platform"
)

type gatewayCommand struct {
	Settings string `arg:"positional,required" help:"settings file, JSON with comments"`
}

// logFlushTimeout bounds how long the process waits at its end for buffered log lines to
// be written.
const logFlushTimeout = 200 * time.Millisecond

// gateway runs a gateway instance until the process receives SIGTERM or SIGINT.
func gateway(c *gatewayCommand) int {
	settings, err := loader.LoadGateway(c.Settings)
	if err != nil {
		return fail(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	out := recorder.New(os.Stdout)
	defer func() { out.Close(time.Now().Add(logFlushTimeout)) }()
	log := newLog(out, settings.LogLevel)
	if err := supervisor.New(settings, platform.Connect(settings.StoreAddress), log).Run(ctx); err != nil {
		log.Error(err, "instance failed")
		return exitFailed
	}
	return exitOK
}
