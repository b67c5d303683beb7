package main

import (
	"fmt"
	"io"
)

// version is set by the build.
var version = "devel"

type versionCommand struct{}

func printVersion(out io.Writer) int {
	_, _ = fmt.Fprintln(out, "crocusring", version)
	return exitOK
}
