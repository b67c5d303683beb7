package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/node/loader"
	"github.com/crocusring/crocusring/internal/tool/applier"
)

type checkCommand struct {
	Files        []string `arg:"positional,required" help:"settings files of instances"`
	Declarations bool     `arg:"--declarations" help:"the files, or folders of files, are declarations"`
}

// check checks files and reports all their faults.
func check(c *checkCommand, out io.Writer) int {
	if err := checkAll(c); err != nil {
		return fail(err)
	}
	_, _ = fmt.Fprintln(out, "valid:", strings.Join(c.Files, " "))
	return exitOK
}

func checkAll(c *checkCommand) error {
	if c.Declarations {
		_, err := applier.Load(c.Files)
		return err
	}
	faults := make([]error, 0, len(c.Files))
	for _, file := range c.Files {
		_, err := loader.Load(file)
		faults = append(faults, err)
	}
	return errors.Join(faults...)
}
