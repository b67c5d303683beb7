package main

import (
	"fmt"
	"io"

	"github.com/crocusring/crocusring/internal/tool/applier"
	"github.com/crocusring/crocusring/internal/tool/requester"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// declarationArguments holds the arguments of the commands that compare declarations with the
// settings in force.
type declarationArguments struct {
	connectionArguments

	Files []string `arg:"positional,required" help:"files with declarations, or folders of them"`
	Prune bool     `arg:"--prune" help:"delete what is not declared in the operator's own subtree"`
}

type diffCommand struct {
	declarationArguments
}

// compare returns the differences, the settings in force that the declarations were
// compared with, and the client that fetched those.
func (d *declarationArguments) compare() ([]applier.Difference, messenger.SettingsAnswer, *requester.Client, error) {
	var present messenger.SettingsAnswer
	set, err := applier.Load(d.Files)
	if err != nil {
		return nil, present, nil, err
	}
	client, err := d.client()
	if err != nil {
		return nil, present, nil, err
	}
	present, err = client.Settings("/")
	if err != nil {
		return nil, present, nil, err
	}
	return applier.Plan(set, present, d.Prune), present, client, nil
}

func diff(c *diffCommand, out io.Writer) int {
	diffs, present, _, err := c.compare()
	if err != nil {
		return fail(err)
	}
	if len(diffs) == 0 {
		_, _ = fmt.Fprintf(out, "no differences at revision %d\n", present.Revision)
		return exitOK
	}
	if err := applier.Print(out, diffs); err != nil {
		return fail(err)
	}
	return exitDiffers
}
