package supervisor

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/archivist"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/state/ranker"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// verdictTable holds a row for each conviction.
	verdictTable = "verdicts"
	// verdictWait bounds the time for which an instance that starts keeps the first targets back until
	// it has read the verdicts: nothing is sent before. It reads both at the same time.
	verdictWait = time.Second
	// verdictRetryInterval is the time between two attempts to read or to write the rows.
	verdictRetryInterval = 250 * time.Millisecond
	// verdictSweepInterval is the time between two removals of expired rows, by one instance for all.
	verdictSweepInterval = 30 * time.Second
	// maxVerdictRowBytes bounds a row: its trait, and those tied with it.
	maxVerdictRowBytes = 16 << 10
)

// verdictRows keeps the convictions in the store.
type verdictRows struct {
	archivist *archivist.Archivist
	// isRead is closed once the rows were read at the start.
	isRead chan struct{}
	// isWaiting is set while the first targets are kept back.
	isWaiting atomic.Bool
	// changed triggers a write, and check a check that the rows that were written are there.
	changed, check chan struct{}
}

func newVerdictRows() *verdictRows {
	return &verdictRows{archivist: archivist.New(), isRead: make(chan struct{}), changed: make(chan struct{}, 1), check: make(chan struct{}, 1)}
}

// awaitVerdicts keeps the first targets back until the verdicts were read, at most for verdictWait.
func (s *Supervisor) awaitVerdicts() {
	if len(s.registry.View().Targets) > 0 {
		return
	}
	s.verdictRows.isWaiting.Store(true)
	defer s.verdictRows.isWaiting.Store(false)
	timer := time.NewTimer(verdictWait)
	defer timer.Stop()
	select {
	case <-s.verdictRows.isRead:
	case <-timer.C:
		s.log.Info("verdicts not read in time")
	}
}

// keepVerdicts reads the rows at the start, and then writes what this instance decides.
func (s *Supervisor) keepVerdicts(ctx context.Context) {
	s.retryVerdicts(ctx, s.restoreVerdicts)
	close(s.verdictRows.isRead)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.verdictRows.changed:
			s.retryVerdicts(ctx, s.writeVerdicts)
		case <-s.verdictRows.check:
			s.awaitJitter()
			s.retryVerdicts(ctx, s.rewriteVerdicts)
			s.sweepVerdicts()
		case <-time.After(verdictSweepInterval):
			s.sweepVerdicts()
		}
	}
}

// retryVerdicts calls do until it succeeds or ctx is done.
func (s *Supervisor) retryVerdicts(ctx context.Context, do func() error) {
	retry(ctx, verdictRetryInterval, do, func(err error) {
		s.log.V(1).Info("verdicts not read from or written to the store", "error", err.Error())
	})
}

// errNoStoreClock reports that no answer has shown the time of the store yet.
var errNoStoreClock = errors.New("time of the store is not known")

// readVerdicts returns the rows that can be read, and an upper bound of the store's time.
func (s *Supervisor) readVerdicts() (rows []archivist.Row, clock int64, err error) {
	snapshot, err := s.platform.Read(verdictTable)
	if err != nil {
		return nil, 0, err
	}
	clock, err = s.storeTime()
	if err != nil {
		return nil, 0, err
	}
	for _, row := range snapshot.Rows {
		decoded, err := decodeVerdictRow(row)
		if err != nil {
			s.log.Info("row of a verdict not decoded", "key", row.Key, "error", err.Error())
			continue
		}
		rows = append(rows, decoded)
	}
	return rows, clock, nil
}

// storeTime returns an upper bound of the store's time, which it asks for if it is not known.
func (s *Supervisor) storeTime() (int64, error) {
	if latest, ok := s.knownStoreTime(); ok {
		return latest, nil
	}
	if _, err := s.platform.Get(instanceTable, s.settings.Instance); err != nil {
		return 0, err
	}
	latest, ok := s.knownStoreTime()
	if !ok {
		return 0, errNoStoreClock
	}
	return latest, nil
}

// knownStoreTime returns an upper bound of the store's time; false if it is not known.
func (s *Supervisor) knownStoreTime() (int64, bool) {
	if s.platform.Clock == nil {
		return 0, false
	}
	_, latest, ok := s.platform.Clock()
	return latest, ok
}

// restoreVerdicts takes over the convictions in the store. Those that an instance has kept in its
// memory go before them.
func (s *Supervisor) restoreVerdicts() error {
	rows, clock, err := s.readVerdicts()
	if err != nil {
		return err
	}
	now := time.Now()
	verdicts := make([]quarantiner.Verdict, 0, len(rows))
	for _, row := range rows {
		if left := row.DeadlineMilliseconds - clock; left > 0 {
			verdicts = append(verdicts, quarantiner.Restored(now, row.Trait, row.Tied, now.Add(time.Duration(left)*time.Millisecond)))
		}
	}
	added := s.quarantiner.MergeShared(now, verdicts)
	s.verdictRows.archivist.Heard(now, added)
	s.logVerdicts(added, now, false)
	s.log.Info("verdicts read from the store", "rows", len(rows), "inForce", len(added))
	return nil
}

// noteDecided keeps verdicts that this instance has reached as examiner.
func (s *Supervisor) noteDecided(verdicts []quarantiner.Verdict) {
	clock, isKnown := s.knownStoreTime()
	if !isKnown && s.epochs.current.Load() == 0 {
		return // no answer of the store yet: nothing has been sent to a target
	}
	s.verdictRows.archivist.Decided(time.Now(), clock, verdicts)
	trigger := s.verdictRows.changed
	if !isKnown {
		trigger = s.verdictRows.check // with a deadline by the clock of the epoch that has just been observed
	}
	select {
	case trigger <- struct{}{}:
	default:
	}
}

// noteHeard records verdicts that another instance has reached.
func (s *Supervisor) noteHeard(verdicts []quarantiner.Verdict) {
	if len(verdicts) > 0 {
		s.verdictRows.archivist.Heard(time.Now(), verdicts)
	}
}

// rewriteVerdicts writes the rows again that this instance has written and that the store came back without.
func (s *Supervisor) rewriteVerdicts() error {
	if s.leaving.Load() || !s.verdictRows.archivist.HasOwn(time.Now()) {
		return nil
	}
	rows, clock, err := s.readVerdicts()
	if err != nil {
		return err
	}
	lost := s.verdictRows.archivist.Restore(time.Now(), clock, rows)
	if err := s.writeVerdicts(); err != nil {
		return err
	}
	for _, row := range lost {
		s.log.Info("row written again", "table", verdictTable, "key", row.Key, "deadlineStoreMilliseconds", row.DeadlineMilliseconds,
			"epoch", s.epochs.current.Load())
	}
	s.measurer.CountEvent(measurer.StoreRowsRewritten, len(lost))
	return nil
}

// writeVerdicts writes what is pending.
func (s *Supervisor) writeVerdicts() error {
	for {
		changes := s.verdictRows.archivist.Pending()
		if len(changes) == 0 {
			return nil
		}
		if err := s.writeVerdictChanges(changes); err != nil {
			return err
		}
		s.verdictRows.archivist.Written(changes)
	}
}

func (s *Supervisor) writeVerdictChanges(changes []archivist.Change) error {
	writes := make([]messenger.Write, 0, len(changes))
	for _, change := range changes {
		write := messenger.Write{Table: verdictTable, Key: change.Row.Key}
		if !change.IsRemoval {
			value, err := json.Marshal(messenger.VerdictRow{
				Trait: encodeTrait(change.Row.Trait), Tied: encodeTraits(change.Row.Tied), DeadlineMilliseconds: change.Row.DeadlineMilliseconds,
			})
			if err != nil {
				return errors.Wrap(err, "encode verdict")
			}
			write.Value = value
		}
		writes = append(writes, write)
	}
	_, err := s.platform.Transact(messenger.TransactRequest{Writes: writes})
	return err
}

// sweepVerdicts removes rows that are no longer needed, and writes those that are missing although their convictions are in
// force, if that is up to this instance.
func (s *Supervisor) sweepVerdicts() {
	names := []string{s.settings.Instance}
	for _, peer := range s.informer.Peers() {
		if !peer.LastStatus.Leaving {
			names = append(names, peer.LastStatus.Instance)
		}
	}
	if s.leaving.Load() || ranker.Order(verdictTable, names)[0] != s.settings.Instance {
		return
	}
	rows, clock, err := s.readVerdicts()
	if err != nil {
		return // the next sweep removes them
	}
	now := time.Now()
	changes := archivist.Sweep(clock, rows, func(t quarantiner.Trait) bool {
		known := s.quarantiner.VerdictsOn(now, []quarantiner.Trait{t})
		return len(known) > 0 && !now.Before(known[0].ConvictedUntil)
	})
	s.writeSwept(changes, "rows of verdicts removed")
	s.writeSwept(archivist.Missing(now, clock, rows, s.quarantiner.Shared(now)), "missing rows of verdicts written")
}

// writeSwept writes changes of a sweep. If that fails the next sweep finds them again.
func (s *Supervisor) writeSwept(changes []archivist.Change, done string) {
	if len(changes) == 0 {
		return
	}
	if err := s.writeVerdictChanges(changes); err != nil {
		s.log.V(1).Info("rows of verdicts not swept", "error", err.Error())
		return
	}
	s.log.Info(done, "rows", len(changes))
}

// errVerdictFormat reports that a row is in another format.
var errVerdictFormat = errors.New("row of a verdict in another format")

func decodeVerdictRow(row messenger.StoreRow) (archivist.Row, error) {
	var in messenger.VerdictRow
	if len(row.Value) > maxVerdictRowBytes {
		return archivist.Row{}, errVerdictFormat
	}
	if err := json.Unmarshal(row.Value, &in); err != nil {
		return archivist.Row{}, errors.Wrap(errVerdictFormat, err.Error())
	}
	trait, ok := decodeTrait(in.Trait)
	tied := decodeTraits(in.Tied)
	if !ok || len(tied) != len(in.Tied) || archivist.KeyOf(trait) != row.Key {
		return archivist.Row{}, errVerdictFormat
	}
	return archivist.Row{Key: row.Key, Trait: trait, Tied: tied, DeadlineMilliseconds: in.DeadlineMilliseconds}, nil
}
