package supervisor

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// checkRows triggers a check that the rows which this instance has written are there, after the store came
// back from a copy.
func (s *Supervisor) checkRows() {
	for _, check := range []chan struct{}{s.rowCheck, s.verdictRows.check} {
		select {
		case check <- struct{}{}:
		default: // one is due already
		}
	}
}

// keepRow writes the row of this instance again whenever the store came back without it, until ctx is done.
func (s *Supervisor) keepRow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.rowCheck:
		}
		s.awaitJitter()
		s.retryRow(ctx)
	}
}

// retryRow calls rewriteRow until it succeeds or ctx is done.
func (s *Supervisor) retryRow(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.rewriteRow()
		if err == nil {
			return
		}
		s.log.Info("row of this instance not written again", "error", err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(registerRetryInterval):
		}
	}
}

// rewriteRow writes the row of this instance if the store has none of it or of a later process, unless this
// instance leaves.
func (s *Supervisor) rewriteRow() error {
	if s.leaving.Load() {
		return nil
	}
	row, err := s.platform.Get(instanceTable, s.settings.Instance)
	if err != nil {
		return errors.Wrap(err, "read row of this instance")
	}
	if s.isOwnOrLater(row) {
		return nil
	}
	if err := s.writeRow(true); err != nil {
		return err
	}
	s.log.Info("row written again", "table", instanceTable, "key", s.settings.Instance, "incarnation", s.incarnation, "epoch", row.Epoch)
	s.measurer.CountEvent(measurer.StoreRowsRewritten, 1)
	if s.leaving.Load() {
		return s.writeRow(false) // release may have removed it before
	}
	return nil
}

// isOwnOrLater reports whether a row is that of this process, or of a later one that has replaced it.
func (s *Supervisor) isOwnOrLater(row messenger.Row) bool {
	var instance messenger.GatewayInstance
	if row.Version == 0 || json.Unmarshal(row.Value, &instance) != nil {
		return false
	}
	return instance.Incarnation >= s.incarnation
}
