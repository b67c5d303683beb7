package supervisor

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/registrar"

	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// applyInstances adds the peer addresses of the other instances.
func (s *Supervisor) applyInstances(rows []messenger.StoreRow, removed []string) {
	for _, instance := range s.decodeInstances(rows) {
		s.informer.AddAddress(instance.PeerAddress)
	}
	if len(removed) > 0 {
		s.log.Info("instances removed from the store", "instances", removed)
	}
	all := s.decodeInstances(s.instances.Snapshot().Rows)
	s.instanceCount.Store(int64(len(all)))
	s.registerLimitMembers(all)
}

// decodeInstances decodes rows of the table of instances and leaves out those that cannot be
// read.
func (s *Supervisor) decodeInstances(rows []messenger.StoreRow) []messenger.GatewayInstance {
	out := make([]messenger.GatewayInstance, 0, len(rows))
	for _, row := range rows {
		var instance messenger.GatewayInstance
		if err := json.Unmarshal(row.Value, &instance); err != nil {
			s.log.Error(err, "row of an instance cannot be read", "key", row.Key)
			continue
		}
		if registrar.CheckAddress(instance.PeerAddress) != nil || instance.Instance != row.Key {
			s.log.Info("row names no instance", "key", row.Key, "instance", instance.Instance, "address", instance.PeerAddress)
			continue
		}
		out = append(out, instance)
	}
	return out
}

// register writes the row of this instance, and retries until it succeeds.
func (s *Supervisor) register(ctx context.Context) {
	s.retryRow(ctx, func() error { return s.writeRow(true) })
}

// writeRow writes the row of this instance, or removes it.
func (s *Supervisor) writeRow(isPresent bool) error {
	write := messenger.Write{Table: instanceTable, Key: s.settings.Instance}
	if isPresent {
		value, err := json.Marshal(messenger.GatewayInstance{
			Instance: s.settings.Instance, Incarnation: s.incarnation, PeerAddress: s.settings.PeerAddress, DataCentre: s.settings.DataCentre,
		})
		if err != nil {
			return errors.Wrap(err, "encode row of this instance")
		}
		write.Value = value
	}
	_, err := s.platform.Transact(messenger.TransactRequest{Writes: []messenger.Write{write}})
	return err
}

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
		s.retryRow(ctx, s.rewriteRow)
	}
}

// retryRow calls do, which writes the row of this instance, until it succeeds or ctx is done.
func (s *Supervisor) retryRow(ctx context.Context, do func() error) {
	retry(ctx, registerRetryInterval, do, func(err error) {
		s.log.Info("row of this instance not written", "error", err.Error())
	})
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
