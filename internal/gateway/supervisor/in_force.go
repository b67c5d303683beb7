package supervisor

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// maxPeersWait is how long an instance that starts waits to hear from its peers which manifest is in force,
// before it applies the one in the store, which may have come back from a copy.
const maxPeersWait = 400 * time.Millisecond

// inForceManifest returns the operators' version of the manifest in force; 0 if there is none.
func (s *Supervisor) inForceManifest() int64 {
	manifest := s.registry.View().Manifest
	if manifest == nil {
		return 0
	}
	return manifest.Version
}

// resolveManifest decides which of two values of the manifest's row is in force: the one with the greater
// version of the operators. A manifest of a later epoch that cannot be decoded leaves the known one in force.
func (s *Supervisor) resolveManifest(known messenger.StoreRow, isKnown bool, next messenger.StoreRow) (messenger.StoreRow, bool) {
	isEarlier := next.StoreVersion().IsBefore(known.StoreVersion())
	switch {
	case !isKnown:
		return next, true
	case next.Key != s.platform.ManifestKey:
		return laterRow(known, next), true
	}
	knownManifest, err := s.platform.DecodeManifest(known.Value)
	if err != nil {
		return next, true
	}
	nextManifest, err := s.platform.DecodeManifest(next.Value)
	switch {
	case err != nil && isEarlier:
		return known, true
	case err != nil && next.Epoch == known.Epoch:
		return next, true // applyManifest says so
	case err == nil && nextManifest.Version >= knownManifest.Version:
		return next, true
	}
	if err != nil {
		s.confirmer.SetSubstituted(next.StoreVersion())
	}
	if next.StoreVersion().IsAfter(known.StoreVersion()) {
		s.logKept(knownManifest, nextManifest, next)
	}
	next.Value = known.Value
	return next, true
}

// laterRow returns next unless it is earlier than the known row.
func laterRow(known, next messenger.StoreRow) messenger.StoreRow {
	if next.StoreVersion().IsBefore(known.StoreVersion()) {
		return known
	}
	return next
}

// logKept logs that a manifest stays in force. next is nil if the one in the row cannot be decoded.
func (s *Supervisor) logKept(known, next *registrar.Manifest, row messenger.StoreRow) {
	version := int64(0)
	if next != nil {
		version = next.Version
	}
	s.log.Info("manifest of the store is older than the one in force", "version", known.Version, "storeVersion", version, "isReadable", next != nil,
		"rowEpoch", row.Epoch, "rowVersion", row.Version)
}

// readManifests returns the manifest's table. At the start of this instance it has what is in force at the
// peers, if that is newer.
func (s *Supervisor) readManifests(table string) (messenger.TableSnapshot, error) {
	snapshot, err := s.readTable(table)
	if err != nil || !s.manifests.Version().IsZero() {
		return snapshot, err
	}
	s.awaitPeers()
	for _, peer := range newestFirst(s.informer.Peers(), maxFetches) {
		if peer.InForceManifest > s.versionIn(snapshot) {
			s.takeInForce(&snapshot, peer)
		}
	}
	return snapshot, nil
}

// newestFirst returns the last statuses of the peers with the newest manifests in force, at most count.
func newestFirst(peers []informer.Peer, count int) []messenger.GatewayNews {
	out := make([]messenger.GatewayNews, 0, len(peers))
	for _, peer := range peers {
		out = append(out, peer.LastStatus)
	}
	slices.SortStableFunc(out, func(a, b messenger.GatewayNews) int { return cmp.Compare(b.InForceManifest, a.InForceManifest) })
	return out[:min(count, len(out))]
}

// awaitPeers waits until all instances that are known have sent their status, at most for maxPeersWait. It
// does not wait if there are none.
func (s *Supervisor) awaitPeers() {
	isAsked := false
	for end := time.Now().Add(maxPeersWait); time.Now().Before(end) && s.mayHearPeers(); time.Sleep(startPollInterval) {
		if !isAsked && s.instanceCount.Load() > 0 {
			isAsked = true
			go s.informer.SendStatus()
		}
	}
}

// mayHearPeers reports whether there may be instances that have not sent their status yet. Where the store
// names an epoch, it may have come back without their rows.
func (s *Supervisor) mayHearPeers() bool {
	heard := len(s.informer.Peers())
	if s.instances.Version().IsZero() {
		return true
	}
	mayHavePeers := len(s.settings.Seeds) > 0 || s.epochs.current.Load() > 0
	return heard < s.otherInstances() || (heard == 0 && mayHavePeers)
}

// otherInstances returns the number of rows of other instances.
func (s *Supervisor) otherInstances() int {
	others := 0
	for _, row := range s.instances.Snapshot().Rows {
		if row.Key != s.settings.Instance {
			others++
		}
	}
	return others
}

// versionIn returns the operators' version of the manifest in a table; 0 if there is none.
func (s *Supervisor) versionIn(snapshot messenger.TableSnapshot) int64 {
	for _, row := range snapshot.Rows {
		if row.Key != s.platform.ManifestKey {
			continue
		}
		if manifest, err := s.platform.DecodeManifest(row.Value); err == nil {
			return manifest.Version
		}
	}
	return 0
}

// takeInForce replaces the manifest in a table by the one that is in force at a peer, if that is newer.
func (s *Supervisor) takeInForce(snapshot *messenger.TableSnapshot, peer messenger.GatewayNews) {
	copied, err := s.fetchTable(peer.PeerAddress, s.platform.ManifestTable)
	if err != nil {
		s.log.Info("manifest in force not read from a peer", "peer", peer.Instance, "error", err.Error())
		return
	}
	version, known := s.versionIn(copied), s.versionIn(*snapshot)
	if version <= known {
		return
	}
	s.log.Info("manifest in force taken from a peer", "peer", peer.Instance, "version", version, "storeVersion", known)
	rows := make([]messenger.StoreRow, 0, len(snapshot.Rows)+1)
	at := snapshot.StoreVersion()
	for _, row := range snapshot.Rows {
		if row.Key == s.platform.ManifestKey {
			at = row.StoreVersion()
			continue
		}
		rows = append(rows, row)
	}
	for _, row := range copied.Rows {
		if row.Key == s.platform.ManifestKey {
			row.Epoch, row.Version = at.Epoch, at.Number
			rows = append(rows, row)
		}
	}
	snapshot.Rows = rows
}

// resolveTarget decides which of two entries of a target is in force: the one of the later process, or with the
// later heartbeat. It reports false for a target that was known to be gone.
func (s *Supervisor) resolveTarget(known messenger.StoreRow, isKnown bool, next messenger.StoreRow) (messenger.StoreRow, bool) {
	target, err := s.platform.DecodeTarget(next.Key, next.Value)
	if err != nil {
		return next, true // applyTarget says so
	}
	if s.tombstones.Covers(target, next.Epoch, time.Now()) {
		s.log.Info("target of the store is gone", "target", target.ID, "born", target.StartMilliseconds, "heartbeat", target.Heartbeat,
			"rowEpoch", next.Epoch, "rowVersion", next.Version)
		return next, false
	}
	if !isKnown {
		return next, true
	}
	if knownTarget, err := s.platform.DecodeTarget(known.Key, known.Value); err == nil && target.IsOlderThan(knownTarget) {
		next.Value = known.Value
	}
	return next, true
}
