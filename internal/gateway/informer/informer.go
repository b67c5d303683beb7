// Package informer exchanges status messages with the other instances and holds the last
// one of each: which instances are live and ready, which one holds the lease on orders,
// and how far each has followed the store. An instance counts as live while its last
// status message has not expired, so that liveness needs no writes to the store.
package informer

import (
	"sort"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/crocusring/crocusring/internal/node/timekeeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// minInterval is the time between two status messages to a peer when there are few
	// peers.
	minInterval = 250 * time.Millisecond
	// intervalPerPeer is that time divided by the number of peers when there are many, so
	// that the message rate of an instance stays bounded. Peers of the own data centre
	// and those of others are counted separately, since the state of the own data centre
	// must be known sooner.
	intervalPerPeer = 25 * time.Millisecond
	// maxMissedIntervals is the number of intervals without a status message after which
	// an instance counts as silent.
	maxMissedIntervals = 4
	// sendTimeout bounds the call that sends one status message.
	sendTimeout = 600 * time.Millisecond
	// addressTTL is how long the address of an instance that no longer answers is still
	// tried.
	addressTTL = 30 * time.Second
)

// Peer is another instance with its last status message.
type Peer struct {
	LastStatus messenger.GatewayNews
	ReceivedAt time.Time
	// ExpiresAt is when the peer counts as silent unless another status message arrives.
	ExpiresAt time.Time
}

// Informer exchanges status messages with the other instances. The zero value is not
// usable; see New.
type Informer struct {
	self string
	// ownDataCentre is the data centre of this instance.
	ownDataCentre string
	// status returns this instance's status for a peer.
	status func(to Recipient) messenger.GatewayNews
	// send sends a status to a peer and returns the peer's status.
	send func(address string, status messenger.GatewayNews, deadline time.Time) (messenger.GatewayNews, error)
	// onReceive is called for each status of a peer that is accepted, with the time at
	// which it expires.
	onReceive func(status messenger.GatewayNews, until time.Time)
	now       func() time.Time
	// bootTime is a clock that runs on while the machine is suspended, and transits hold what is known of
	// the times that the statuses of each peer are on their way.
	bootTime func() time.Time
	transits map[string]*transit
	log      logr.Logger

	mu    sync.Mutex
	peers map[string]Peer
	// remoteDue is when the next status is due to the peers of other data centres.
	remoteDue time.Time
	// addresses holds the addresses to send to, with the time until which each is tried
	// without an answer.
	addresses map[string]time.Time
	silent    map[string]bool // the peers whose silence has been logged
}

// Recipient is the peer that a status is for, as far as it is known.
type Recipient struct {
	// IsHolder reports whether the recipient holds the lease on orders.
	IsHolder   bool
	DataCentre string
}

// Callbacks holds the functions that an informer calls: Status returns this instance's status
// for a peer, Send sends it and returns the peer's status, and OnReceive is called for
// each accepted status of a peer.
type Callbacks struct {
	Status    func(to Recipient) messenger.GatewayNews
	Send      func(address string, status messenger.GatewayNews, deadline time.Time) (messenger.GatewayNews, error)
	OnReceive func(status messenger.GatewayNews, until time.Time)
}

// New returns an informer without peers for the instance self in a data centre.
func New(self, dataCentre string, calls Callbacks, log logr.Logger) *Informer {
	return &Informer{
		self: self, ownDataCentre: dataCentre, status: calls.Status, send: calls.Send, onReceive: calls.OnReceive, now: time.Now, log: log,
		bootTime: timekeeper.BootTime, transits: map[string]*transit{},
		peers: map[string]Peer{}, addresses: map[string]time.Time{}, silent: map[string]bool{},
	}
}

// AddAddress adds an address to send to. The instance there may have stopped.
func (i *Informer) AddAddress(address string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.addresses[address] = i.now().Add(addressTTL)
}

// ReceiveStatus records the status of a peer, unless it is out of date.
func (i *Informer) ReceiveStatus(status messenger.GatewayNews) {
	if status.Instance == i.self {
		return
	}
	i.mu.Lock()
	now := i.now()
	known, ok := i.peers[status.Instance]
	ttl := maxMissedIntervals * i.interval(status.DataCentre == i.ownDataCentre)
	isHeldUp := i.delayOf(status) >= ttl && !status.Leaving // that an instance leaves stays true
	isOldIncarnation := ok && status.Incarnation < known.LastStatus.Incarnation && now.Before(known.ExpiresAt)
	precedesLeaving := ok && status.Incarnation == known.LastStatus.Incarnation && known.LastStatus.Leaving && !status.Leaving
	// The first two were sent before the recorded status: an instance that leaves does not return.
	if isOldIncarnation || precedesLeaving || isHeldUp {
		i.mu.Unlock()
		return
	}
	if !ok || status.Incarnation != known.LastStatus.Incarnation || i.silent[status.Instance] {
		i.log.Info("peer is there", "peer", status.Instance, "incarnation", status.Incarnation, "address", status.PeerAddress)
	}
	delete(i.silent, status.Instance)
	until := now.Add(ttl)
	i.peers[status.Instance] = Peer{LastStatus: status, ReceivedAt: now, ExpiresAt: until}
	i.addresses[status.PeerAddress] = now.Add(addressTTL)
	i.mu.Unlock()
	i.onReceive(status, until)
}

// Interval returns the time between two status messages to the peers of this data centre;
// the holder of the lease on orders sends to all peers at this interval.
func (i *Informer) Interval() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.interval(true)
}

// StatusTTL returns how long the status of a peer of this data centre is valid.
func (i *Informer) StatusTTL() time.Duration { return maxMissedIntervals * i.Interval() }

// interval returns the time between two status messages to the peers of this data centre,
// or to those of others. The caller must hold i.mu.
func (i *Informer) interval(isLocal bool) time.Duration {
	count := 0
	for _, peer := range i.peers {
		if (peer.LastStatus.DataCentre == i.ownDataCentre) == isLocal {
			count++
		}
	}
	return max(minInterval, time.Duration(count)*intervalPerPeer)
}

// Peers returns the live instances, without this one, ordered by name.
func (i *Informer) Peers() []Peer {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	out := make([]Peer, 0, len(i.peers))
	for name, peer := range i.peers {
		if now.Before(peer.ExpiresAt) {
			out = append(out, peer)
			continue
		}
		if !i.silent[name] {
			i.silent[name] = true
			i.log.Info("peer is silent", "peer", name, "silentMilliseconds", now.Sub(peer.ReceivedAt).Milliseconds())
		}
		if now.Sub(peer.ReceivedAt) > addressTTL {
			delete(i.peers, name)
			delete(i.transits, name)
			delete(i.silent, name)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].LastStatus.Instance < out[b].LastStatus.Instance })
	return out
}

// AddressOf returns the peer address of a live instance; empty if it is not live.
func (i *Informer) AddressOf(instance string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	peer, ok := i.peers[instance]
	if !ok || !i.now().Before(peer.ExpiresAt) {
		return ""
	}
	return peer.LastStatus.PeerAddress
}

// SendStatus sends this instance's status to the peers for which it is due, and records
// their answers.
func (i *Informer) SendStatus() {
	deadline := i.now().Add(sendTimeout)
	var group errgroup.Group
	own := i.status(Recipient{})
	statuses := map[Recipient]messenger.GatewayNews{{}: own}
	for address, to := range i.recipients(own) {
		status, ok := statuses[to]
		if !ok {
			status = i.status(to)
			statuses[to] = status
		}
		group.Go(func() error {
			answer, err := i.send(address, status, deadline)
			if err != nil {
				i.log.V(1).Info("status not delivered", "address", address, "error", err.Error())
				return nil
			}
			i.ReceiveStatus(answer)
			return nil
		})
	}
	done := make(chan struct{})
	go func() {
		_ = group.Wait() // the functions return no error: an unreachable peer expires instead
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(minInterval): // addresses that do not answer must not delay the status to others
	}
}

// holderAddress returns the address of the peer whose status last reported that it holds
// the lease on orders; empty if there is none.
func (i *Informer) holderAddress() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	address, receivedAt := "", time.Time{}
	for _, peer := range i.peers {
		if peer.LastStatus.Holder && peer.ReceivedAt.After(receivedAt) {
			address, receivedAt = peer.LastStatus.PeerAddress, peer.ReceivedAt
		}
	}
	return address
}

// recipients returns the addresses to send to now. Of two instances that know each other
// only one sends and the other answers. An instance that holds the lease on orders or
// that leaves sends to all of them each time.
func (i *Informer) recipients(own messenger.GatewayNews) map[string]Recipient {
	holder := i.holderAddress()
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	byAddress := map[string]Peer{}
	for _, peer := range i.peers {
		byAddress[peer.LastStatus.PeerAddress] = peer
	}
	isRemoteDue := !now.Before(i.remoteDue)
	if isRemoteDue {
		i.remoteDue = now.Add(i.interval(false))
	}
	// Peers act when the holder falls silent and on the overlays that it sends; and
	// callers must not be sent to an instance that leaves.
	sendsToAll := own.Holder || own.Leaving
	out := map[string]Recipient{}
	for address, until := range i.addresses {
		if now.After(until) {
			delete(i.addresses, address)
			continue
		}
		peer, isKnown := byAddress[address]
		isLocal := !isKnown || peer.LastStatus.DataCentre == i.ownDataCentre
		isFresh := isKnown && now.Sub(peer.ReceivedAt) < 2*i.interval(isLocal)
		isDue := isLocal || isRemoteDue || sendsToAll
		mustSend := own.PeerAddress < address || !isFresh || sendsToAll
		if address != own.PeerAddress && isDue && mustSend {
			out[address] = Recipient{IsHolder: address == holder, DataCentre: peer.LastStatus.DataCentre}
		}
	}
	return out
}
