package supervisor

import (
	"context"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/confirmer"
	"github.com/crocusring/crocusring/internal/gateway/follower"
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
	// maxManifestWait is the longest time that the store may hold a call for changes of the manifest
	// open where proofs are required.
	maxManifestWait = 1800 * time.Millisecond
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

// latestStoreTime returns the upper bound of the current time of the store's clock; 0 if this
// instance has not read that clock.
func (s *Supervisor) latestStoreTime() int64 {
	latest, ok := s.knownStoreTime()
	if !ok {
		return 0
	}
	return latest
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
