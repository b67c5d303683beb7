package supervisor

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/gateway/foreman"
	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/gateway/limiter"
	"github.com/crocusring/crocusring/internal/node/timekeeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// Paths of the interface between instances.
const (
	pathStatus   = "/news"
	pathTable    = "/table"
	pathChanges  = "/changes"
	pathAdapter  = "/adapter"
	pathModel    = "/model"
	pathPermit   = "/permit"
	pathCrash    = "/crash"
	pathTrial    = "/trial"
	pathVerdicts = "/verdicts"
	pathQuota    = "/quota"
	pathSlot     = "/slot"
	pathSlotEnds = "/slotends"
)

// maxMembers is more instances than a system has.
const maxMembers = 100_000

// tableTimeout bounds the read of a table from a peer.
const tableTimeout = time.Second

// status returns this instance's status for a peer. Only the holder of the lease on
// orders is sent the demand, and only the holder sends overlays, which list what targets
// hold beyond the target table. Other data centres receive the loads of a cell as one sum
// instead; see sendSums.
func (s *Supervisor) status(to informer.Recipient) messenger.GatewayNews {
	_, isHolder := s.leaser.Held(timekeeper.BootTime())
	report := s.limiter.Report()
	manifests, targets := s.manifests.Version(), s.targets.Version()
	status := messenger.GatewayNews{
		Instance: s.settings.Instance, Incarnation: s.incarnation, CallerAddress: s.settings.CallerAddress,
		PeerAddress: s.settings.PeerAddress, DataCentre: s.settings.DataCentre, Ready: s.isReady(),
		Leaving: s.leaving.Load(), ManifestEpoch: manifests.Epoch, ManifestVersion: manifests.Number, TargetsEpoch: targets.Epoch, TargetsVersion: targets.Number,
		InForceManifest: s.inForceManifest(), OrderFence: s.leaser.KnownFence(),
		Holder: isHolder && !s.leaving.Load(), LoadAddress: s.settings.LoadAddress, Demand: []messenger.GatewayDemand{},
		Overlays: []messenger.GatewayOverlay{}, Load: messenger.GatewayLoad{Targets: messenger.GatewayLoadTargets{}},
		LimitDigest: report.Digest, LimitMembers: report.Size, VerdictDigest: s.quarantiner.Digest(time.Now()),
		HasStoreMilliseconds: s.targets.HasStoreFor().Milliseconds(),
		Proof:                s.proof(), IsUnconfirmed: s.isUnconfirmed(), SentNanoseconds: timekeeper.BootTime().UnixNano(),
	}
	if to.DataCentre == s.settings.DataCentre || s.cell() == nil {
		status.Load = s.ownLoad(nil)
	}
	if to.IsHolder {
		status.Demand = s.tally.LocalDemand()
	}
	if !isHolder {
		return status
	}
	now := time.Now()
	for _, o := range s.balancer.Overlays() {
		status.Overlays = append(status.Overlays, messenger.GatewayOverlay{
			Target: o.Target, Model: o.Model, Adapter: o.Adapter, Held: o.Held,
			AgeMilliseconds: now.Sub(o.Since).Milliseconds(),
		})
	}
	return status
}

func (s *Supervisor) sendStatus(address string, status messenger.GatewayNews, deadline time.Time) (messenger.GatewayNews, error) {
	var answer messenger.GatewayNews
	status.Quota = s.delegation(s.quotas.nameAt(address))
	err := s.poster.Do(poster.Call{
		Method: http.MethodPost, URL: "http://" + address + pathStatus, In: status, Out: &answer, Deadline: deadline,
	})
	return answer, err
}

// receiveStatus passes the load, the demand and the overlays in the status of a peer to
// the parts that use them, valid until the status expires. The age of an overlay includes
// that of earlier hops, so that it ends on all instances at about the same time.
func (s *Supervisor) receiveStatus(status messenger.GatewayNews, until time.Time) {
	if status.Load.IsWhole {
		s.applyLoad(status.Load, until)
	}
	s.comparePeerVerdicts(status)
	s.receiveDelegation(status)
	s.receivePeerManifest(status)
	s.leaser.NoteFence(status.OrderFence)
	s.checkEpoch(max(status.ManifestEpoch, status.TargetsEpoch))
	s.tally.SetPeerDemand(status.Instance, status.Demand, until)
	now := time.Now()
	s.limiter.ReceiveReport(status.Instance, limiter.Report{Digest: status.LimitDigest, Size: min(max(status.LimitMembers, 0), maxMembers)}, until.Sub(now))
	for _, o := range status.Overlays {
		s.balancer.Overlay(balancer.Overlay{
			Target: o.Target, Model: o.Model, Adapter: o.Adapter, Held: o.Held,
			Since: now.Add(-milliseconds(float64(max(o.AgeMilliseconds, 0)))),
		})
	}
}

// sendStatuses sends the status to the peers at each interval until ctx is done.
func (s *Supervisor) sendStatuses(ctx context.Context) {
	for ctx.Err() == nil {
		s.updateLimitMembers()
		s.informer.SendStatus()
		select {
		case <-ctx.Done():
		case <-time.After(s.informer.Interval()):
		}
	}
}

// peerSnapshot returns the copy of a table from the peer with the newest version of it,
// if that is newer than a given version.
func (s *Supervisor) peerSnapshot(table string, newer messenger.StoreVersion) (messenger.TableSnapshot, bool) {
	address, name := "", ""
	for _, peer := range s.informer.Peers() {
		version := peer.LastStatus.ManifestStoreVersion()
		if table == s.platform.TargetTable {
			version = peer.LastStatus.TargetsStoreVersion()
		}
		if table != instanceTable && version.IsAfter(newer) {
			newer, address, name = version, peer.LastStatus.PeerAddress, peer.LastStatus.Instance
		}
	}
	if address == "" {
		return messenger.TableSnapshot{}, false
	}
	snapshot, err := s.fetchTable(address, table)
	if err != nil {
		s.log.Info("table not read from a peer", "table", table, "address", address, "error", err.Error())
		return messenger.TableSnapshot{}, false
	}
	s.observeSnapshot(table, originPeerCopy, name, snapshot)
	return snapshot, true
}

// peerHasHadStore reports whether a peer says that it has followed the target table without an
// outage of the store ever since a time.
func (s *Supervisor) peerHasHadStore(since time.Time) bool {
	for _, peer := range s.informer.Peers() {
		hasStoreSince := peer.ReceivedAt.Add(-milliseconds(float64(peer.LastStatus.HasStoreMilliseconds)))
		if hasStoreSince.Before(since) {
			return true
		}
	}
	return false
}

// fetchTable returns a peer's copy of a table.
func (s *Supervisor) fetchTable(address, table string) (messenger.TableSnapshot, error) {
	var out messenger.TableSnapshot
	err := s.poster.Do(poster.Call{
		Method: http.MethodGet, URL: "http://" + address + pathTable + "?name=" + url.QueryEscape(table), Out: &out,
		Deadline: time.Now().Add(tableTimeout),
	})
	out.Proof = follower.ProofFromPeer(out.Proof)
	return out, err
}

// ensureAdapter has the holder of the lease on orders, which may be this instance, load
// an adapter.
func (s *Supervisor) ensureAdapter(ctx context.Context, service, model, adapter string) error {
	target, err := s.foreman.EnsureAdapter(ctx, service, model, adapter)
	if errors.Is(err, foreman.ErrNotHolder) {
		target, err = s.requestAdapter(ctx, messenger.AdapterRequest{Service: service, Model: model, Adapter: adapter})
	}
	if err != nil {
		return err
	}
	s.balancer.Overlay(balancer.Overlay{Target: target, Model: model, Adapter: adapter, Held: true, Since: time.Now()})
	return nil
}

// timeUntilServed asks the holder of the lease on orders, which may be this instance, when a
// model will be served.
func (s *Supervisor) timeUntilServed(ctx context.Context, service, model string) (time.Duration, error) {
	expected, err := s.foreman.TimeUntilServed(ctx, service, model)
	if !errors.Is(err, foreman.ErrNotHolder) {
		return expected, err
	}
	address := s.holderAddress()
	if address == "" {
		return 0, err
	}
	var answer messenger.ModelResponse
	err = s.poster.Do(poster.Call{
		Method: http.MethodPost, URL: "http://" + address + pathModel, In: messenger.ModelRequest{Service: service, Model: model},
		Out: &answer, Deadline: deadlineOf(ctx),
	})
	if err != nil {
		return 0, err
	}
	if answer.ServesInMilliseconds < 0 {
		return 0, foreman.ErrNoCapacity
	}
	return time.Duration(answer.ServesInMilliseconds) * time.Millisecond, nil
}

// deadlineOf returns the deadline of ctx, or one after tableTimeout if it has none.
func deadlineOf(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(tableTimeout)
}

func (s *Supervisor) requestAdapter(ctx context.Context, request messenger.AdapterRequest) (string, error) {
	address := s.holderAddress()
	if address == "" {
		return "", foreman.ErrNotHolder
	}
	var answer messenger.AdapterResponse
	err := s.poster.Do(poster.Call{
		Method: http.MethodPost, URL: "http://" + address + pathAdapter, In: request, Out: &answer, Deadline: deadlineOf(ctx),
	})
	if err != nil {
		return "", err
	}
	if answer.Target == "" {
		return "", foreman.ErrNoCapacity
	}
	return answer.Target, nil
}
