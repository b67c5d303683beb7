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

// lastLines bounds how long the end of the process waits for its last log lines.
const lastLines = 200 * time.Millisecond

// gateway runs an instance on the platform until it is told to stop.
func gateway(c *gatewayCommand) int {
	settings, err := loader.LoadGateway(c.Settings)
	if err != nil {
		return fail(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	out := recorder.New(os.Stdout)
	defer func() { out.Close(time.Now().Add(lastLines)) }()
	log := newLog(out, settings.LogLevel)
	if err := supervisor.New(settings, platform.Connect(settings.StoreAddress), log).Run(ctx); err != nil {
		log.Error(err, "instance failed")
		return exitFailed
	}
	return exitOK
}
