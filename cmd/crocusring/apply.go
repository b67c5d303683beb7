package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/tool/applier"
)

type applyCommand struct {
	declared
}

// apply changes the settings to the declared ones, on condition that they are
// still those that the differences were found in.
func apply(c *applyCommand, out io.Writer) int {
	diffs, present, client, err := c.compare()
	if err != nil {
		return fail(err)
	}
	if len(diffs) == 0 {
		_, _ = fmt.Fprintf(out, "nothing to change at revision %d\n", present.Revision)
		return exitOK
	}
	if err := applier.Print(out, diffs); err != nil {
		return fail(err)
	}
	batches := applier.Batches(diffs)
	for i, batch := range batches {
		answer, err := client.Change(batch)
		if err != nil {
			return fail(errors.Wrapf(err, "batch %d of %d", i+1, len(batches)))
		}
		_, _ = fmt.Fprintf(out, "%d changes accepted as revision %d\n", len(batch), answer.Revision)
		if len(answer.Pending) > 0 {
			_, _ = fmt.Fprintln(out, "not yet confirmed by", strings.Join(answer.Pending, " "))
		}
	}
	return exitOK
}
