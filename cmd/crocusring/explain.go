package main

import (
	"io"
	"os"

	"github.com/crocusring/crocusring/internal/tool/explainer"
)

type explainCommand struct {
	Request string   `arg:"required" help:"ID of the request"`
	Logs    []string `arg:"positional" help:"log files of instances; standard input if there are none"`
}

func explain(c *explainCommand, out io.Writer) int {
	logs := []io.Reader{}
	for _, name := range c.Logs {
		file, err := os.Open(name)
		if err != nil {
			return fail(err)
		}
		defer func() { _ = file.Close() }() // opened only for reading
		logs = append(logs, file)
	}
	if len(logs) == 0 {
		logs = append(logs, os.Stdin)
	}
	if err := explainer.Explain(out, c.Request, logs...); err != nil {
		return fail(err)
	}
	return exitOK
}
