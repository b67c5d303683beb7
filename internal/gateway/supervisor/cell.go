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
	// cellSize is the number of instances in a data centre from which they share
	// reads of the store and tell changes of load only among themselves, so that
	// neither grows with the square of the system.
	cellSize = 5
	// readerAge is how old the word of an instance that reads for others may be.
	readerAge = time.Second
	// readerWait is how long a call to it may wait for changes: one to an instance that
	// has stopped must end well before a new manifest has to be in force.
	readerWait = time.Second
	// readerTimeout is how much longer than it may wait a call to it may take.
	readerTimeout = 300 * time.Millisecond
	// mostReaders is the number of instances that read the store for the others of their
	// data centre.
	mostReaders = 2
	// startPatience is how long an instance that starts waits for those before it to
	// have read the store.
	startPatience = 600 * time.Millisecond
	// startTick is the time between two looks at whether they have.
	startTick = 10 * time.Millisecond
)

// errOldWord tells that what a peer has of a table is too old to go by.
var errOldWord = errors.New("peer has had no word of the store for long")

// cell returns the other instances of this data centre; nil in one that is too small
// to share anything.
func (s *Supervisor) cell() []informer.Peer { return s.cellOf(s.informer.Peers()) }

// cellOf is cell for those that are there.
func (s *Supervisor) cellOf(peers []informer.Peer) []informer.Peer {
	out := s.nearOf(peers)
	if len(out)+1 < cellSize {
		return nil
	}
	return out
}

// nearOf returns the peers of this data centre that do not leave.
func (s *Supervisor) nearOf(peers []informer.Peer) []informer.Peer {
	out := []informer.Peer{}
	for _, peer := range peers {
		if peer.News.DataCentre == s.settings.DataCentre && !peer.News.Leaving {
			out = append(out, peer)
		}
	}
	return out
}

// readers returns the instances that read the store for this one, the one to ask first
// before the other; none if this one reads for itself. The second one's word is there
// when the store turns the first one away.
func (s *Supervisor) readers() []informer.Peer {
	out := []informer.Peer{}
	for _, peer := range s.aheadIn(s.cell()) {
		if peer.News.Ready && len(out) < mostReaders {
			out = append(out, peer)
		}
	}
	return out
}

// followTable returns what has changed in a table, from an instance that reads for this
// one, or from the store if none has a fresh word.
func (s *Supervisor) followTable(table string, after int64, wait time.Duration) (follower.Changes, error) {
	for _, reader := range s.readers() {
		changes, err := s.followThrough(reader, table, after, min(wait, readerWait))
		if err == nil || errors.Is(err, follower.ErrHistoryGone) {
			return changes, err
		}
		s.log.V(1).Info("table not followed through a peer", "table", table, "peer", reader.News.Instance, "error", err.Error())
	}
	return s.platform.Follow(table, after, wait)
}

func (s *Supervisor) followThrough(reader informer.Peer, table string, after int64, wait time.Duration) (follower.Changes, error) {
	query := url.Values{
		"name": {table}, "after": {strconv.FormatInt(after, 10)}, "wait": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var in messenger.TableChanges
	err := s.poster.Do(poster.Call{
		Method: http.MethodGet, URL: "http://" + reader.News.PeerAddress + pathChanges + "?" + query.Encode(), Out: &in,
		Deadline: time.Now().Add(wait + readerTimeout),
	})
	var status *poster.StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		// What it has no changes of it has as a whole; see readTable.
		return follower.Changes{}, errors.Wrap(follower.ErrHistoryGone, table)
	}
	if err != nil {
		return follower.Changes{}, err
	}
	changes := follower.ChangesOf(in)
	return changes, checkAge(table, changes.Age, wait)
}

// checkAge returns errOldWord if the word of the store that a peer passed on is too old
// to go by. Where instances are is told by their news; the table of them says it once.
func checkAge(table string, age, wait time.Duration) error {
	if table != instanceTable && age > wait+readerAge {
		return errOldWord
	}
	return nil
}

// readTable returns a whole table, from an instance that reads for this one, or from the
// store if none has a fresh word.
func (s *Supervisor) readTable(table string) (messenger.TableSnapshot, error) {
	if table == instanceTable {
		return s.platform.Read(table) // the peers are found by it
	}
	s.awaitReaders()
	for _, reader := range s.readers() {
		snapshot, err := s.readThrough(reader, table)
		if err == nil {
			return snapshot, nil
		}
		s.log.V(1).Info("table not read through a peer", "table", table, "peer", reader.News.Instance, "error", err.Error())
	}
	return s.platform.Read(table)
}

// awaitReaders lets an instance of a large system that starts hear of the others first,
// and those that start just before it read the store for it.
func (s *Supervisor) awaitReaders() {
	for time.Now().Before(s.readsFrom) && s.startsAmongMany() && len(s.readers()) == 0 {
		time.Sleep(startTick)
	}
}

// startsAmongMany reports whether instances that could read for this one may be there:
// until the store has told of instances, and then while most of those that it knows have
// not been heard of or one that goes before this one is not ready.
func (s *Supervisor) startsAmongMany() bool {
	members := int(s.members.Load())
	switch {
	case s.instances.Version() == 0:
		return true
	case members < cellSize:
		return false
	default:
		return 2*len(s.informer.Peers()) < members || len(s.aheadIn(s.cell())) > 0
	}
}

func (s *Supervisor) readThrough(reader informer.Peer, table string) (messenger.TableSnapshot, error) {
	out, err := s.askTable(reader.News.PeerAddress, table)
	if err != nil {
		return out, err
	}
	if out.Version == 0 || out.Version < s.follower(table).Version() {
		return out, errOldWord
	}
	return out, checkAge(table, time.Duration(out.AgeMilliseconds)*time.Millisecond, 0)
}

// serveChanges tells an instance that follows a table through this one.
func (s *Supervisor) serveChanges(ctx *fasthttp.RequestCtx) {
	table := s.follower(string(ctx.QueryArgs().Peek("name")))
	after, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if table == nil || err != nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	wait := time.Duration(ctx.QueryArgs().GetUintOrZero("wait")) * time.Millisecond
	waiting, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	changes, err := table.Since(waiting, after)
	if errors.Is(err, follower.ErrHistoryGone) {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	s.encode(ctx, changes)
}

// follower returns the follower of a table that is passed on; nil for another one.
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
