package main

import (
	"fmt"
	"io"
	"strings"
	"time"
)

type locateCommand struct {
	connectionArguments
}

// locate prints the addresses that a caller may use, and until when.
func locate(c *locateCommand, out io.Writer) int {
	client, err := c.client()
	if err != nil {
		return fail(err)
	}
	answer, err := client.Locate()
	if err != nil {
		return fail(err)
	}
	_, _ = fmt.Fprintln(out, strings.Join(answer.Addresses, "\n"))
	_, _ = fmt.Fprintln(out, "until", answer.Deadline.Format(time.RFC3339Nano))
	return exitOK
}
