package main

import (
	"encoding/json"
	"fmt"
	"io"
)

type statusCommand struct {
	connectionArguments
}

// status prints the state of the system as known to an instance, as JSON.
func status(c *statusCommand, out io.Writer) int {
	client, err := c.client()
	if err != nil {
		return fail(err)
	}
	answer, err := client.Status()
	if err != nil {
		return fail(err)
	}
	text, err := json.MarshalIndent(answer, "", "\t")
	if err != nil {
		return fail(err)
	}
	_, _ = fmt.Fprintln(out, string(text))
	return exitOK
}
