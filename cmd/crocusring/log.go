package main

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// newLog returns a logger that writes JSON lines to w. Messages of a higher verbosity
// than level are not written.
func newLog(w io.Writer, level int) logr.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-level)})
	return logr.FromSlogHandler(handler)
}
