// Package informer tells the other instances of this one, and holds what they
// tell: who is there, who is ready, who holds the lease on orders, and how far each
// has followed the store. An instance counts as there while its news are fresh, so
// that nothing has to be written to the store for it.
package informer

import (
	"sort"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// leastInterval is the time between two sends of news to few peers.
	leastInterval = 250 * time.Millisecond
	// intervalPerPeer stretches it for many, so that the messages of an instance stay
	// bounded. Peers of the own data centre and those of others are counted apart:
	// what is near must be known sooner.
	intervalPerPeer = 25 * time.Millisecond
	// missedNews is the number of intervals without news after which an instance
	// counts as gone.
	missedNews = 4
	// sendTimeout bounds one send.
	sendTimeout = 600 * time.Millisecond
	// forgetAfter is how long the address of an instance that is gone is still tried.
	forgetAfter = 30 * time.Second
)

// Peer is another instance as it last told of itself.
type Peer struct {
	News    messenger.GatewayNews
	HeardAt time.Time
	// Until is the deadline after which it counts as gone unless it tells more.
	Until time.Time
}

// Informer exchanges news. The zero value is not usable; see New.
type Informer struct {
	self string
	// centre is the data centre of this instance.
	centre string
	// news returns this instance's news for a peer.
	news func(to Audience) messenger.GatewayNews
	// send sends news to a peer and returns its own.
	send func(address string, news messenger.GatewayNews, deadline time.Time) (messenger.GatewayNews, error)
	// heard is told of each peer's news, and until when they count.
	heard func(news messenger.GatewayNews, until time.Time)
	now   func() time.Time
	log   logr.Logger

	mu    sync.Mutex
	peers map[string]Peer
	// farDue is when the peers of other data centres are to be told next.
	farDue time.Time
	// addresses are those to send to, with the deadline until which each is tried
	// without an answer.
	addresses map[string]time.Time
	lost      map[string]bool
}

// Audience is the peer that news are for, as far as it is known.
type Audience struct {
	// IsHolder tells that it holds the lease on orders.
	IsHolder   bool
	DataCentre string
}

// Calls are what an informer needs of its surroundings.
type Calls struct {
	News  func(to Audience) messenger.GatewayNews
	Send  func(address string, news messenger.GatewayNews, deadline time.Time) (messenger.GatewayNews, error)
	Heard func(news messenger.GatewayNews, until time.Time)
}

// New returns an informer of the instance self in a data centre that knows no peer.
func New(self, dataCentre string, calls Calls, log logr.Logger) *Informer {
	return &Informer{
		self: self, centre: dataCentre, news: calls.News, send: calls.Send, heard: calls.Heard, now: time.Now, log: log,
		peers: map[string]Peer{}, addresses: map[string]time.Time{}, lost: map[string]bool{},
	}
}

// AddAddress makes news go to an address, which may be that of no instance any more.
func (i *Informer) AddAddress(address string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.addresses[address] = i.now().Add(forgetAfter)
}

// Take takes the news of a peer.
func (i *Informer) Take(news messenger.GatewayNews) {
	if news.Instance == i.self {
		return
	}
	i.mu.Lock()
	now := i.now()
	known, ok := i.peers[news.Instance]
	isOld := ok && news.Incarnation < known.News.Incarnation && now.Before(known.Until)
	isBack := ok && news.Incarnation == known.News.Incarnation && known.News.Leaving && !news.Leaving
	if isOld || isBack { // told before what is known: an instance that leaves does not come back
		i.mu.Unlock()
		return
	}
	if !ok || news.Incarnation != known.News.Incarnation || i.lost[news.Instance] {
		i.log.Info("peer is there", "peer", news.Instance, "incarnation", news.Incarnation, "address", news.PeerAddress)
	}
	delete(i.lost, news.Instance)
	until := now.Add(missedNews * i.interval(news.DataCentre == i.centre))
	i.peers[news.Instance] = Peer{News: news, HeardAt: now, Until: until}
	i.addresses[news.PeerAddress] = now.Add(forgetAfter)
	i.mu.Unlock()
	i.heard(news, until)
}

// Interval is the time between two sends to the peers of this data centre, and of the
// holder of the lease to all.
func (i *Informer) Interval() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.interval(true)
}

// interval returns the time between two sends to peers of this data centre, or to those
// of others. It is called with the lock held.
func (i *Informer) interval(isNear bool) time.Duration {
	count := 0
	for _, peer := range i.peers {
		if (peer.News.DataCentre == i.centre) == isNear {
			count++
		}
	}
	return max(leastInterval, time.Duration(count)*intervalPerPeer)
}

// Peers returns the instances that are there, without this one, ordered by name.
func (i *Informer) Peers() []Peer {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	out := make([]Peer, 0, len(i.peers))
	for name, peer := range i.peers {
		if now.Before(peer.Until) {
			out = append(out, peer)
			continue
		}
		if !i.lost[name] {
			i.lost[name] = true
			i.log.Info("peer is silent", "peer", name, "silentMilliseconds", now.Sub(peer.HeardAt).Milliseconds())
		}
		if now.Sub(peer.HeardAt) > forgetAfter {
			delete(i.peers, name)
			delete(i.lost, name)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].News.Instance < out[b].News.Instance })
	return out
}

// Tell sends this instance's news to the peers that are to be told now and takes their
// answers.
func (i *Informer) Tell() {
	deadline := i.now().Add(sendTimeout)
	var group errgroup.Group
	own := i.news(Audience{})
	made := map[Audience]messenger.GatewayNews{{}: own}
	for address, to := range i.targets(own) {
		news, ok := made[to]
		if !ok {
			news = i.news(to)
			made[to] = news
		}
		group.Go(func() error {
			answer, err := i.send(address, news, deadline)
			if err != nil {
				i.log.V(1).Info("news not delivered", "address", address, "error", err.Error())
				return nil
			}
			i.Take(answer)
			return nil
		})
	}
	done := make(chan struct{})
	go func() {
		_ = group.Wait() // the functions return no error: a peer that is away is told of by its silence
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(leastInterval): // addresses that do not answer must not keep news from the others
	}
}

// holderAddress returns the address of the peer that last said that it holds the
// lease; empty if none does.
func (i *Informer) holderAddress() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	address, heardAt := "", time.Time{}
	for _, peer := range i.peers {
		if peer.News.Holder && peer.HeardAt.After(heardAt) {
			address, heardAt = peer.News.PeerAddress, peer.HeardAt
		}
	}
	return address
}

// targets returns the addresses to send to now. Of two instances that know each other
// one sends and the other answers, but for one that holds the lease or leaves, which sends
// to all each time.
func (i *Informer) targets(own messenger.GatewayNews) map[string]Audience {
	holder := i.holderAddress()
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	known := map[string]Peer{}
	for _, peer := range i.peers {
		known[peer.News.PeerAddress] = peer
	}
	isFarDue := !now.Before(i.farDue)
	if isFarDue {
		i.farDue = now.Add(i.interval(false))
	}
	// Peers act by the silence of the holder and by what it says of orders; and callers
	// must not be sent to one that leaves.
	tellsAll := own.Holder || own.Leaving
	out := map[string]Audience{}
	for address, until := range i.addresses {
		if now.After(until) {
			delete(i.addresses, address)
			continue
		}
		peer, isKnown := known[address]
		isNear := !isKnown || peer.News.DataCentre == i.centre
		fresh := isKnown && now.Sub(peer.HeardAt) < 2*i.interval(isNear)
		isDue := isNear || isFarDue || tellsAll
		mustSend := own.PeerAddress < address || !fresh || tellsAll
		if address != own.PeerAddress && isDue && mustSend {
			out[address] = Audience{IsHolder: address == holder, DataCentre: peer.News.DataCentre}
		}
	}
	return out
}
