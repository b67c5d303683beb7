package main

import (
	"io"

	"github.com/crocusring/crocusring/internal/tool/applier"
)

type getCommand struct {
	connectionArguments

	Prefix string `arg:"positional" default:"/" help:"start of the paths"`
}

// get prints the settings below a prefix as declarations.
func get(c *getCommand, out io.Writer) int {
	client, err := c.client()
	if err != nil {
		return fail(err)
	}
	answer, err := client.Settings(c.Prefix)
	if err != nil {
		return fail(err)
	}
	if err := applier.Format(out, answer.Entries); err != nil {
		return fail(err)
	}
	return exitOK
}
