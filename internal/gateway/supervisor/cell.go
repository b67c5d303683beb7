package supervisor

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

const (
	// minCellSize is the number of instances in a data centre from which they form a
	// cell: they share their reads of the store, and send changes of load only to each
	// other, so that neither grows with the square of the size of the system.
	minCellSize = 5
	// maxReaderAge is the maximum age of a table from a reader, which is an instance that
	// reads the store for others.
	maxReaderAge = time.Second
	// maxReaderWait is how long a call to a reader may wait for changes. A call to a
	// reader that has stopped must fail well before a new manifest has to be in force.
	maxReaderWait = time.Second
	// readerCallMargin is added to the wait of a call to a reader to give the timeout of
	// the call.
	readerCallMargin = 300 * time.Millisecond
	// maxReaders is the number of instances that read the store for the others of their
	// data centre.
	maxReaders = 2
	// maxStartWait is how long an instance that starts waits until its readers have read
	// the store.
	maxStartWait = 600 * time.Millisecond
	// maxRereadWait is how long an instance waits until a reader has read a table again in a later epoch,
	// and rereadPollInterval is the time between two checks whether one has.
	maxRereadWait      = 1500 * time.Millisecond
	rereadPollInterval = 100 * time.Millisecond
	// startPollInterval is the time between two checks whether they have.
	startPollInterval = 10 * time.Millisecond
)

// errStaleTable reports that a peer's copy of a table is too old to be used.
var errStaleTable = errors.New("copy of the table at the peer is out of date")

// cell returns the other instances of this data centre; nil if it has too few instances
// to form a cell.
func (s *Supervisor) cell() []informer.Peer { return s.cellOf(s.informer.Peers()) }

// cellOf is like cell for given live peers.
func (s *Supervisor) cellOf(peers []informer.Peer) []informer.Peer {
	out := s.localPeers(peers)
	if len(out)+1 < minCellSize {
		return nil
	}
	return out
}

// localPeers returns the peers of this data centre that are not leaving.
func (s *Supervisor) localPeers(peers []informer.Peer) []informer.Peer {
	out := []informer.Peer{}
	for _, peer := range peers {
		if peer.LastStatus.DataCentre == s.settings.DataCentre && !peer.LastStatus.Leaving {
			out = append(out, peer)
		}
	}
	return out
}

// storeReaders returns the instances that read the store for this one, in the order in
// which to ask them; none if this one reads the store itself. The second one can answer
// while the store rejects the calls of the first one.
func (s *Supervisor) storeReaders() []informer.Peer {
	out := []informer.Peer{}
	for _, peer := range s.predecessors(s.cell()) {
		if peer.LastStatus.Ready && len(out) < maxReaders {
			out = append(out, peer)
		}
	}
	return out
}

// followTable returns the changes of a table from a reader, or from the store if no
// reader has a fresh copy.
func (s *Supervisor) followTable(table string, after messenger.StoreVersion, wait time.Duration) (follower.Changes, error) {
	for _, reader := range s.storeReaders() {
		changes, err := s.followThroughReader(reader, table, after, min(wait, maxReaderWait))
		if err == nil || errors.Is(err, follower.ErrHistoryTruncated) {
			return changes, err
		}
		s.log.V(1).Info("table not followed through a peer", "table", table, "peer", reader.LastStatus.Instance, "error", err.Error())
	}
	return s.followStore(originStoreFeed)(table, after, wait)
}

func (s *Supervisor) followThroughReader(reader informer.Peer, table string, after messenger.StoreVersion, wait time.Duration) (follower.Changes, error) {
	query := url.Values{
		"name": {table}, "epoch": {strconv.FormatInt(after.Epoch, 10)}, "after": {strconv.FormatInt(after.Number, 10)}, "wait": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var in messenger.TableChanges
	err := s.poster.Do(poster.Call{
		Method: http.MethodGet, URL: "http://" + reader.LastStatus.PeerAddress + pathChanges + "?" + query.Encode(), Out: &in,
		Deadline: time.Now().Add(wait + readerCallMargin),
	})
	var status *poster.StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		// The reader has no changes since that version, but it can return the whole
		// table; see readTable.
		return follower.Changes{}, errors.Wrap(follower.ErrHistoryTruncated, table)
	}
	if err != nil {
		return follower.Changes{}, err
	}
	changes := follower.ChangesFromPeer(in)
	if changes.Epoch < after.Epoch {
		return changes, errors.Wrapf(errStaleTable, "of epoch %d, before %d", changes.Epoch, after.Epoch)
	}
	err = checkAge(table, changes.Age, wait)
	if err == nil {
		s.observeArrival(arrival{table: table, from: originReaderFeed, peer: reader.LastStatus.Instance, age: changes.Age, rows: changes.Rows, proof: changes.Proof})
	}
	return changes, err
}

// checkAge returns errStaleTable if the copy of a table from a peer is too old to be
// used. The table of instances may have any age: status messages keep the addresses of
// the instances up to date, and the table is only needed to find them.
func checkAge(table string, age, wait time.Duration) error {
	if table != instanceTable && age > wait+maxReaderAge {
		return errStaleTable
	}
	return nil
}

// readTable returns a whole table from a reader, or from the store if no reader has a
// fresh copy.
func (s *Supervisor) readTable(table string) (messenger.TableSnapshot, error) {
	if table == instanceTable {
		s.awaitJitter()
		return s.platform.Read(table) // without it no peers are known
	}
	s.awaitReaders()
	s.awaitReread(table)
	for _, reader := range s.storeReaders() {
		snapshot, err := s.readThroughReader(reader, table)
		if err == nil {
			s.observeSnapshot(table, originReaderTable, reader.LastStatus.Instance, snapshot)
			return snapshot, nil
		}
		s.log.V(1).Info("table not read through a peer", "table", table, "peer", reader.LastStatus.Instance, "error", err.Error())
	}
	return s.readStore(originStoreTable)(table)
}

// awaitReread delays the read of a table that is to be read again in a later epoch until a reader has read it, so
// that not all instances of a data centre read it from the store at once.
func (s *Supervisor) awaitReread(table string) {
	epoch, version := s.epochs.current.Load(), s.follower(table).Version()
	if version.IsZero() || version.Epoch >= epoch {
		return
	}
	for end := time.Now().Add(maxRereadWait); time.Now().Before(end); time.Sleep(rereadPollInterval) {
		readers := s.storeReaders()
		if len(readers) == 0 {
			return // this instance is the reader
		}
		for _, reader := range readers {
			if s.hasRead(reader, table, epoch) {
				return
			}
		}
	}
	time.Sleep(s.jitter())
}

// hasRead reports whether a reader has read a table in an epoch.
func (s *Supervisor) hasRead(reader informer.Peer, table string, epoch int64) bool {
	_, err := s.followThroughReader(reader, table, messenger.StoreVersion{Epoch: epoch}, 0)
	return err == nil || errors.Is(err, follower.ErrHistoryTruncated)
}

// awaitReaders delays the first reads of an instance that starts in a large system until
// it has received the status of its readers, and until those readers that have just
// started have read the store.
func (s *Supervisor) awaitReaders() {
	for time.Now().Before(s.readersAwaitedUntil) && s.mayHaveReaders() && len(s.storeReaders()) == 0 {
		time.Sleep(startPollInterval)
	}
}

// mayHaveReaders reports whether there may be instances that can read the store for this
// one. This holds until the table of instances has been read, and after that while fewer
// than half of its instances have sent their status, or while a predecessor of this one
// is not ready.
func (s *Supervisor) mayHaveReaders() bool {
	instanceCount := int(s.instanceCount.Load())
	switch {
	case s.instances.Version().IsZero():
		return true
	case instanceCount < minCellSize:
		return false
	default:
		return 2*len(s.informer.Peers()) < instanceCount || len(s.predecessors(s.cell())) > 0
	}
}

func (s *Supervisor) readThroughReader(reader informer.Peer, table string) (messenger.TableSnapshot, error) {
	out, err := s.fetchTable(reader.LastStatus.PeerAddress, table)
	if err != nil {
		return out, err
	}
	if out.Version == 0 || out.StoreVersion().IsBefore(s.follower(table).Version()) {
		return out, errStaleTable
	}
	return out, checkAge(table, time.Duration(out.AgeMilliseconds)*time.Millisecond, 0)
}

// serveChanges serves the changes of a table to an instance that follows it through this
// one. It does not wait until the copy is too old to be used: the other instance must ask elsewhere then.
func (s *Supervisor) serveChanges(ctx *fasthttp.RequestCtx) {
	name := string(ctx.QueryArgs().Peek("name"))
	table := s.follower(name)
	if table == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	after, err := parseVersion(ctx.QueryArgs(), table.Version().Epoch)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	wait := time.Duration(ctx.QueryArgs().GetUintOrZero("wait")) * time.Millisecond
	if name != instanceTable {
		wait = min(wait, table.FreshFor(maxReaderWait+maxReaderAge))
	}
	waiting, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	changes, err := table.Since(waiting, after)
	switch {
	case errors.Is(err, follower.ErrHistoryTruncated):
		ctx.SetStatusCode(fasthttp.StatusGone)
	case err != nil:
		s.checkEpoch(after.Epoch)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		s.encode(ctx, changes)
	}
}

// parseVersion returns the version after which changes are asked for. Instances of a release without epochs leave the
// epoch out, and mean that of the copy.
func parseVersion(query *fasthttp.Args, copyEpoch int64) (messenger.StoreVersion, error) {
	out := messenger.StoreVersion{Epoch: copyEpoch}
	if query.Has("epoch") {
		epoch, err := strconv.ParseInt(string(query.Peek("epoch")), 10, 64)
		if err != nil {
			return out, err
		}
		out.Epoch = epoch
	}
	number, err := strconv.ParseInt(string(query.Peek("after")), 10, 64)
	out.Number = number
	return out, err
}

// follower returns the follower of a table that is served to peers; nil for any other
// table.
func (s *Supervisor) follower(table string) *follower.Follower {
	switch table {
	case s.platform.ManifestTable:
		return s.manifests
	case s.platform.TargetTable:
		return s.targets
	case instanceTable:
		return s.instances
	default:
		return nil
	}
}
