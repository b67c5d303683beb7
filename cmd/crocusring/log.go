package main

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// newLog returns a log that writes JSON lines. level is the highest verbosity
// that is written.
func newLog(w io.Writer, level int) logr.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-level)})
	return logr.FromSlogHandler(handler)
}
