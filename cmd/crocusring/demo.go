package main

import (
	"fmt"
	"os"

	"github.com/go-logr/logr"

	"github.com/crocusring/crocusring/internal/tool/demonstrator"
)

type demoCommand struct {
	Log bool `arg:"--log" help:"write the logs of the instances to standard error"`
}

// demo runs the whole system, with fake targets, inside this process.
func demo(c *demoCommand) int {
	log := logr.Discard()
	if c.Log {
		log = newLog(os.Stderr, 0)
	}
	if _, err := demonstrator.Run(os.Stdout, log); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}
