package supervisor

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/authenticator"
	"github.com/crocusring/crocusring/internal/gateway/confirmer"
	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// proofWaitShare is the share of the bound for which the store may hold a call for changes of
	// the manifest open: each answer is a proof, and it may pass through two more instances.
	proofWaitShare = 0.2
	// confirmAgeShare is the share of the bound from which a proof is old enough to ask the store
	// directly for another one.
	confirmAgeShare = 0.5
	// confirmInterval is the time between two such calls, and maxConfirmInterval is the same while
	// only the reading of the store's clock is to be renewed.
	confirmInterval    = 400 * time.Millisecond
	maxConfirmInterval = 5 * time.Second
	// maxClockMilliseconds is the uncertainty of the store's clock, in milliseconds, from which its
	// reading is renewed. It counts in full against each proof.
	maxClockMilliseconds = 60
	// fetchInterval is the time between two reads of the manifest from peers whose proofs are for a
	// newer one, and peerFetchInterval that for a peer that did not send what it has named: there
	// may be no such version. maxFetches is the number of reads at once: one may hang.
	fetchInterval     = 100 * time.Millisecond
	peerFetchInterval = time.Second
	maxFetches        = 2
)

// withProofs returns the option by which the follower of the manifest passes proofs on. Where a
// proof is required, it also has the store answer more often.
func (s *Supervisor) withProofs() follower.Option {
	wait := milliseconds(proofWaitShare * s.settings.Bounds.RevokeMilliseconds)
	return func(f *follower.Follower) {
		follower.WithProofs(s.proof, s.receiveProof)(f)
		follower.WithReadable(s.isReadable)(f)
		if s.confirmer.IsRequired() {
			follower.WithMaxWait(min(wait, maxManifestWait))(f)
		}
	}
}

// isReadable reports whether a row of the manifest's table can be decoded.
func (s *Supervisor) isReadable(row messenger.StoreRow) bool {
	if row.Key != s.platform.ManifestKey {
		return true
	}
	_, err := s.platform.DecodeManifest(row.Value)
	if err != nil {
		s.log.Error(err, "manifest cannot be decoded", "rowEpoch", row.Epoch, "rowVersion", row.Version)
	}
	return err == nil
}

// maxManifestWait is the longest time that the store may hold a call for changes of the manifest
// open where proofs are required.
const maxManifestWait = 1800 * time.Millisecond

// latestStoreTime returns the upper bound of the current time of the store's clock; 0 if this
// instance has not read that clock.
func (s *Supervisor) latestStoreTime() int64 {
	latest, ok := s.knownStoreTime()
	if !ok {
		return 0
	}
	return latest
}

// currency reports whether keys may be acted on, and whether a key that the manifest does not have
// may be called unknown.
func (s *Supervisor) currency() (isConfirmed, isRecent bool) {
	if !s.confirmer.IsRequired() {
		return true, true
	}
	return s.confirmer.Currency(s.latestStoreTime())
}

// isUnconfirmed reports whether this instance refuses requests with a key.
func (s *Supervisor) isUnconfirmed() bool {
	if !s.registry.View().HasAccounts() {
		return false
	}
	isConfirmed, _ := s.currency()
	return !isConfirmed
}

// countAccountRefusal counts a request that was refused for its key.
func (s *Supervisor) countAccountRefusal(reason error) {
	event := measurer.AccountUnknownKey
	if errors.Is(reason, authenticator.ErrUnconfirmed) {
		event = measurer.AccountUnconfirmed
	}
	s.measurer.CountEvent(event, 1)
}

// proof returns the proof to pass on to peers.
func (s *Supervisor) proof() messenger.GatewayProof {
	proof := s.confirmer.Proof()
	return messenger.GatewayProof{RowEpoch: proof.Version.Epoch, RowVersion: proof.Version.Number, StoreMilliseconds: proof.StoreMilliseconds}
}

// receiveProof records the proof in an answer of the store, or of a peer, whose rows have been
// applied.
func (s *Supervisor) receiveProof(proof messenger.GatewayProof) {
	latest := s.latestStoreTime()
	if proof.RowVersion == 0 {
		s.confirmer.Confirm(proof.RowEpoch, proof.StoreMilliseconds, latest)
		return
	}
	s.confirmer.Receive(confirmer.Proof{Version: proof.StoreVersion(), StoreMilliseconds: proof.StoreMilliseconds}, latest)
}

// receivePeerManifest records the proof in the status of a peer. If the manifest there is newer, by its row or
// by the operators' version, it is read from the peer at once, whatever the own calls to the store do.
func (s *Supervisor) receivePeerManifest(status messenger.GatewayNews) {
	if !s.lacksManifestOf(status) || !s.peerFetches.begin(status.Instance, time.Now()) {
		return
	}
	go func() {
		hasBrought := false
		defer func() { s.peerFetches.end(status.Instance, hasBrought) }()
		s.measurer.CountEvent(measurer.AccountFetches, 1)
		snapshot, err := s.fetchTable(status.PeerAddress, s.platform.ManifestTable)
		if err != nil {
			s.log.Info("newer manifest not read from a peer", "peer", status.Instance, "error", err.Error())
			return
		}
		s.observeSnapshot(s.platform.ManifestTable, originPeerProof, status.Instance, snapshot)
		s.manifests.Adopt(snapshot)
		hasBrought = !s.lacksManifestOf(status)
	}()
}

// lacksManifestOf adopts the proof in the status of a peer, and reports whether the manifest there is newer
// than the one here.
func (s *Supervisor) lacksManifestOf(status messenger.GatewayNews) bool {
	known := s.manifests.Version()
	isLater := !known.IsZero() && (status.InForceManifest > s.inForceManifest() || status.ManifestEpoch > known.Epoch)
	if status.Proof.RowVersion <= 0 {
		return isLater
	}
	proof := confirmer.Proof{Version: status.Proof.StoreVersion(), StoreMilliseconds: status.Proof.StoreMilliseconds}
	isNewer := s.confirmer.Receive(proof, s.latestStoreTime())
	return isLater || (isNewer && s.confirmer.IsRequired())
}

// confirmRegularly asks the store directly for a proof while the newest one is old, until ctx is
// done. These calls do not wait for changes, and do not depend on those that do.
func (s *Supervisor) confirmRegularly(ctx context.Context) {
	if !s.confirmer.IsRequired() {
		return
	}
	var last time.Time
	wasUnconfirmed := false
	every(ctx, confirmInterval, func() {
		if isUnconfirmed := s.isUnconfirmed(); isUnconfirmed != wasUnconfirmed {
			wasUnconfirmed = isUnconfirmed
			proof := s.confirmer.Proof()
			s.log.Info("acceptance of account keys changed", "areAccepted", !isUnconfirmed, "rowEpoch", proof.Version.Epoch, "rowVersion", proof.Version.Number, "provedAtStoreMilliseconds", proof.StoreMilliseconds,
				"storeMilliseconds", s.latestStoreTime())
		}
		isDue := (s.isProofOld() && s.confirmer.MayConfirm(s.latestStoreTime())) || (time.Since(last) >= maxConfirmInterval && s.isClockUncertain())
		if !s.registry.View().HasAccounts() || !isDue {
			return
		}
		last = time.Now()
		s.measurer.CountEvent(measurer.AccountDirectProofs, 1)
		if err := s.manifests.Confirm(s.followStore(originDirect), s.readStore(originDirect)); err != nil {
			s.log.V(1).Info("manifest not confirmed by the store", "error", err.Error())
		}
	})
}

func (s *Supervisor) isProofOld() bool {
	age, ok := s.confirmer.Age(s.latestStoreTime())
	return !ok || age > milliseconds(confirmAgeShare*s.settings.Bounds.RevokeMilliseconds)
}

func (s *Supervisor) isClockUncertain() bool {
	earliest, latest, ok := s.platform.Clock()
	return !ok || latest-earliest > maxClockMilliseconds
}

// omitUnconfirmed returns which instances the locator names: without those that refuse requests with
// a key, unless all of them do. isListed and isUnconfirmed are of this instance.
func omitUnconfirmed(isListed, isUnconfirmed bool, peers []informer.Peer) (bool, []informer.Peer) {
	confirmed := []informer.Peer{}
	for _, peer := range peers {
		if !peer.LastStatus.IsUnconfirmed {
			confirmed = append(confirmed, peer)
		}
	}
	if (!isListed || isUnconfirmed) && len(confirmed) == 0 {
		return isListed, peers
	}
	return isListed && !isUnconfirmed, confirmed
}

// peerFetches are the reads of manifests from peers: one at a time from each peer, maxFetches from
// all, and not more often than their intervals.
type peerFetches struct {
	mu sync.Mutex
	// due is when the manifest may be read again, dueOf the same for each peer, and running holds
	// the peers that it is being read from.
	due     time.Time
	dueOf   map[string]time.Time
	running map[string]bool
}

func newPeerFetches() *peerFetches {
	return &peerFetches{dueOf: map[string]time.Time{}, running: map[string]bool{}}
}

// begin reports whether the manifest may be read from a peer now; end must be called then.
func (p *peerFetches) begin(peer string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[peer] || len(p.running) >= maxFetches || now.Before(p.due) || now.Before(p.dueOf[peer]) {
		return false
	}
	p.running[peer], p.due, p.dueOf[peer] = true, now.Add(fetchInterval), now.Add(peerFetchInterval)
	return true
}

// end records the end of a read. hasBrought reports that it brought the version that the peer named.
func (p *peerFetches) end(peer string, hasBrought bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, peer)
	if hasBrought {
		delete(p.dueOf, peer)
	}
}
