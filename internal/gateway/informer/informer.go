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
	// leastInterval is the time between two sends of news in a small system.
	leastInterval = 250 * time.Millisecond
	// intervalPerPeer stretches it in a large one, so that the messages of an
	// instance stay bounded.
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
}

// Informer exchanges news. The zero value is not usable; see New.
type Informer struct {
	self string
	// news returns this instance's news for a peer that holds the lease or does not.
	news func(toHolder bool) messenger.GatewayNews
	// send sends news to a peer and returns its own.
	send func(address string, news messenger.GatewayNews, deadline time.Time) (messenger.GatewayNews, error)
	// heard is told of each peer's news.
	heard func(messenger.GatewayNews)
	now   func() time.Time
	log   logr.Logger

	mu    sync.Mutex
	peers map[string]Peer
	// addresses are those to send to, with the deadline until which each is tried
	// without an answer.
	addresses map[string]time.Time
	lost      map[string]bool
}

// Calls are what an informer needs of its surroundings.
type Calls struct {
	News  func(toHolder bool) messenger.GatewayNews
	Send  func(address string, news messenger.GatewayNews, deadline time.Time) (messenger.GatewayNews, error)
	Heard func(messenger.GatewayNews)
}

// New returns an informer of the instance self that knows no peer.
func New(self string, calls Calls, log logr.Logger) *Informer {
	return &Informer{
		self: self, news: calls.News, send: calls.Send, heard: calls.Heard, now: time.Now, log: log,
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
	known, ok := i.peers[news.Instance]
	if ok && news.Incarnation < known.News.Incarnation && i.now().Sub(known.HeardAt) < i.life() {
		i.mu.Unlock()
		return
	}
	if !ok || news.Incarnation != known.News.Incarnation || i.lost[news.Instance] {
		i.log.Info("peer is there", "peer", news.Instance, "incarnation", news.Incarnation, "address", news.PeerAddress)
	}
	delete(i.lost, news.Instance)
	i.peers[news.Instance] = Peer{News: news, HeardAt: i.now()}
	i.addresses[news.PeerAddress] = i.now().Add(forgetAfter)
	i.mu.Unlock()
	i.heard(news)
}

// Interval is the time between two sends.
func (i *Informer) Interval() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.interval()
}

func (i *Informer) interval() time.Duration {
	return max(leastInterval, time.Duration(len(i.peers))*intervalPerPeer)
}

// life is how long news make a peer count as there. It is called with the lock held.
func (i *Informer) life() time.Duration { return missedNews * i.interval() }

// Peers returns the instances that are there, without this one, ordered by name.
func (i *Informer) Peers() []Peer {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	out := make([]Peer, 0, len(i.peers))
	for name, peer := range i.peers {
		if now.Sub(peer.HeardAt) < i.life() {
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

// Tell sends this instance's news to all peers and takes their answers.
func (i *Informer) Tell() {
	short := i.news(false)
	deadline := i.now().Add(sendTimeout)
	holder := i.holderAddress()
	var group errgroup.Group
	for _, address := range i.targets(short.PeerAddress) {
		news := short
		if address == holder {
			news = i.news(true)
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
	_ = group.Wait() // the functions return no error: a peer that is away is told of by its silence
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

// targets returns the addresses to send to. Of two instances that know each other
// one sends and the other answers.
func (i *Informer) targets(own string) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	heard := map[string]time.Time{}
	for _, peer := range i.peers {
		heard[peer.News.PeerAddress] = peer.HeardAt
	}
	out := []string{}
	for address, until := range i.addresses {
		if now.After(until) {
			delete(i.addresses, address)
			continue
		}
		fresh := now.Sub(heard[address]) < 2*i.interval()
		if address != own && (own < address || !fresh) {
			out = append(out, address)
		}
	}
	sort.Strings(out)
	return out
}
