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
)

// cell returns the other instances of this data centre; nil in one that is too small
// to share anything.
func (s *Supervisor) cell() []informer.Peer { return s.cellOf(s.informer.Peers()) }

// cellOf is cell for those that are there.
func (s *Supervisor) cellOf(peers []informer.Peer) []informer.Peer {
	out := []informer.Peer{}
	for _, peer := range peers {
		if peer.News.DataCentre == s.settings.DataCentre && !peer.News.Leaving {
			out = append(out, peer)
		}
	}
	if len(out)+1 < cellSize {
		return nil
	}
	return out
}

// reader returns the peer address of the instance that reads the store for this one;
// empty if this one reads for itself.
func (s *Supervisor) reader() string { return s.firstOf(s.cell()).News.PeerAddress }

// followTable returns what has changed in a table, from the instance that reads for
// this one, or from the store if that has no fresh word.
func (s *Supervisor) followTable(table string, after int64, wait time.Duration) (follower.Changes, error) {
	address := s.reader()
	if address == "" {
		return s.platform.Follow(table, after, wait)
	}
	own := wait
	wait = min(wait, readerWait)
	query := url.Values{
		"name": {table}, "after": {strconv.FormatInt(after, 10)}, "wait": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var in messenger.TableChanges
	err := s.poster.Do(poster.Call{
		Method: http.MethodGet, URL: "http://" + address + pathChanges + "?" + query.Encode(), Out: &in,
		Deadline: time.Now().Add(wait + readerTimeout),
	})
	changes := follower.ChangesOf(in)
	if err != nil || changes.Age > wait+readerAge {
		return s.platform.Follow(table, after, own)
	}
	return changes, nil
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
