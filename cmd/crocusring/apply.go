package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/tool/applier"
)

type applyCommand struct {
	declarationArguments
}

// apply changes the settings in force to the declared ones. Each change names the
// version of the path that it was computed from, so an instance refuses it if the
// path has changed meanwhile.
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
