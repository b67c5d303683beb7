package supervisor

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/crocusring/crocusring/internal/gateway/confirmer"
	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// defaultApplyTime is how long after its acknowledgement a manifest must be in force, where the settings do not say.
	defaultApplyTime = 2 * time.Second
	// revokeWaitShare is the share of the time in which a key is revoked for which the store may hold a call for
	// changes of the manifest open: each answer is a proof.
	revokeWaitShare = 0.2
	// revokeAgeShare is the share of the time in which a key is revoked from which a proof is old enough to ask
	// the store directly for another one.
	revokeAgeShare = 0.5
	// confirmInterval is the shortest time between two checks whether it is, and clockInterval is the time between two
	// calls while only the reading of the store's clock is to be renewed.
	confirmInterval = 100 * time.Millisecond
	clockInterval   = 5 * time.Second
	// askSpread is the mean time between two such calls of all instances together, and minAskSpread the shortest time
	// over which they are spread: the first answers reach most others in a status before they ask.
	askSpread    = time.Millisecond
	minAskSpread = 300 * time.Millisecond
	// maxDirectCalls is the largest number of such calls of this instance at once: one may hang.
	maxDirectCalls = 2
	// maxClockMilliseconds is the uncertainty of the store's clock, in milliseconds, from which its
	// reading is renewed. It counts in full against each proof.
	maxClockMilliseconds = 60
	// maxManifestWait is the longest time that the store may hold a call for changes of the manifest
	// open where proofs are required.
	maxManifestWait = 1800 * time.Millisecond
)

// applyTime returns how long after its acknowledgement a manifest must be in force.
func applyTime(bounds messenger.GatewayBounds) time.Duration {
	if bounds.ApplyMilliseconds == 0 {
		return defaultApplyTime
	}
	return milliseconds(bounds.ApplyMilliseconds)
}

// withProofs returns the option by which the follower of the manifest passes proofs on. Where a
// proof is required, it also has the store answer more often.
func (s *Supervisor) withProofs() follower.Option {
	return func(f *follower.Follower) {
		follower.WithProofs(s.proof, s.receiveProof)(f)
		follower.WithReadable(s.isReadable)(f)
		if s.confirmer.IsRequired() {
			follower.WithMaxWait(min(milliseconds(revokeWaitShare*s.settings.Bounds.RevokeMilliseconds), maxManifestWait))(f)
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
	return messenger.GatewayProof{
		RowEpoch: proof.Version.Epoch, RowVersion: proof.Version.Number, StoreMilliseconds: proof.StoreMilliseconds, SinceStoreMilliseconds: s.confirmer.Since(proof.Version),
	}
}

// receivePeerProof records the proof in a message of a peer, and reports whether the manifest there is newer.
func (s *Supervisor) receivePeerProof(in messenger.GatewayProof) (isNewer bool) {
	latest := s.latestStoreTime()
	isNewer = s.confirmer.Receive(confirmer.Proof{Version: in.StoreVersion(), StoreMilliseconds: in.StoreMilliseconds}, latest)
	s.confirmer.NoteSince(in.StoreVersion(), in.SinceStoreMilliseconds, latest)
	return isNewer
}

// receiveProof records the proof in an answer of the store, or of a peer, whose rows have been
// applied.
func (s *Supervisor) receiveProof(proof messenger.GatewayProof) {
	if proof.RowVersion == 0 {
		s.confirmer.Confirm(proof.RowEpoch, proof.StoreMilliseconds, s.latestStoreTime())
		return
	}
	s.receivePeerProof(proof)
}

// isRecent reports whether a route that the manifest does not have may be called unknown.
func (s *Supervisor) isRecent() bool {
	return s.platform.Clock == nil || s.confirmer.IsRecent(s.latestStoreTime())
}

// confirmRegularly asks the store directly for a proof while the newest one is old, until ctx is
// done. These calls do not wait for changes, and do not depend on those that do, nor on other instances.
func (s *Supervisor) confirmRegularly(ctx context.Context) {
	if s.platform.Clock == nil {
		return
	}
	schedule := confirmer.NewSchedule(applyTime(s.settings.Bounds), s.maxProofAge(), randomPart)
	directCalls := semaphore.NewWeighted(maxDirectCalls)
	var clockDue time.Time
	wasUnconfirmed := false
	for ctx.Err() == nil {
		wasUnconfirmed = s.logUnconfirmed(wasUnconfirmed)
		now := time.Now()
		if s.isProofDue(schedule, now) || (!now.Before(clockDue) && s.isClockUncertain()) {
			clockDue = now.Add(clockInterval)
			s.confirmBeside(directCalls)
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(schedule.UntilOld(s.proofAge()), confirmInterval)):
		}
	}
}

// confirmBeside confirms the manifest in a goroutine of its own, unless as many calls are under way as there may be.
func (s *Supervisor) confirmBeside(directCalls *semaphore.Weighted) {
	if s.manifests.Version().IsZero() || !directCalls.TryAcquire(1) {
		return
	}
	go func() {
		defer directCalls.Release(1)
		s.confirmManifest()
	}()
}

// confirmManifest asks the store directly whether there is a newer manifest.
func (s *Supervisor) confirmManifest() {
	s.measurer.CountEvent(measurer.ManifestDirectProofs, 1)
	if err := s.manifests.Confirm(s.followStore(originDirect), s.readStore(originDirect)); err != nil {
		s.log.V(1).Info("manifest not confirmed by the store", "error", err.Error())
	}
}

// logUnconfirmed logs whether keys are accepted, if that has changed.
func (s *Supervisor) logUnconfirmed(before bool) (isUnconfirmed bool) {
	isUnconfirmed = s.isUnconfirmed()
	if isUnconfirmed != before {
		proof := s.confirmer.Proof()
		s.log.Info("acceptance of account keys changed", "areAccepted", !isUnconfirmed, "rowEpoch", proof.Version.Epoch, "rowVersion", proof.Version.Number,
			"provedAtStoreMilliseconds", proof.StoreMilliseconds, "storeMilliseconds", s.latestStoreTime())
	}
	return isUnconfirmed
}

// maxProofAge returns the age of a proof, as far as keys are concerned, from which the store is asked directly.
func (s *Supervisor) maxProofAge() time.Duration {
	if !s.confirmer.IsRequired() {
		return applyTime(s.settings.Bounds)
	}
	return milliseconds(revokeAgeShare * s.settings.Bounds.RevokeMilliseconds)
}

// proofAge returns the greatest possible age of the proof; false if there is none.
func (s *Supervisor) proofAge() (time.Duration, bool) { return s.confirmer.Age(s.latestStoreTime()) }

func (s *Supervisor) isProofDue(schedule *confirmer.Schedule, now time.Time) bool {
	age, isKnown := s.proofAge()
	spread := max(time.Duration(s.instanceCount.Load())*askSpread, minAskSpread)
	return schedule.IsDue(now, age, isKnown, spread) && s.confirmer.MayConfirm(s.latestStoreTime())
}

func (s *Supervisor) isClockUncertain() bool {
	earliest, latest, ok := s.platform.Clock()
	return !ok || latest-earliest > maxClockMilliseconds
}
