package supervisor

import (
	"net/http"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// verdictPullInterval is the shortest time between two reads of the verdicts of a peer.
const verdictPullInterval = time.Second

// spreadVerdicts tells the other instances the verdicts that this one has reached as examiner: all
// of them, or, from a cell, those of its data centre and the first ones of the others, of which
// the representative passes them on.
func (s *Supervisor) spreadVerdicts() {
	now := time.Now()
	s.countVerdicts()
	changes := s.quarantiner.Changes(now)
	if len(changes) == 0 {
		return
	}
	s.logVerdicts(changes, now, true)
	s.noteDecided(changes)
	message := s.encodeVerdicts(changes)
	peers := s.informer.Peers()
	recipients := peers
	if cell := s.cellOf(peers); cell != nil {
		recipients = slices.Concat(cell, s.remoteReceivers(peers))
	}
	s.sendVerdicts(recipients, message)
}

func (s *Supervisor) sendVerdicts(recipients []informer.Peer, message messenger.GatewayVerdicts) {
	for _, peer := range recipients {
		go func() {
			if err := s.postToPeer(peer.LastStatus.Instance, pathVerdicts, message, nil); err != nil {
				s.log.V(1).Info("verdicts not delivered", "peer", peer.LastStatus.Instance, "error", err.Error())
			}
		}()
	}
}

// serveVerdicts receives verdicts from a peer, or answers with all that this instance knows.
func (s *Supervisor) serveVerdicts(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		s.encode(ctx, s.encodeVerdicts(s.quarantiner.Shared(time.Now())))
		return
	}
	var message messenger.GatewayVerdicts
	if !s.decode(ctx, &message) {
		return
	}
	s.mergeVerdicts(message.Verdicts)
	if message.DataCentre == s.settings.DataCentre || message.IsPassedOn {
		return
	}
	local := s.localPeers(s.informer.Peers())
	if s.isRepresentative(local) {
		message.IsPassedOn = true
		s.sendVerdicts(local, message)
	}
}

// comparePeerVerdicts reads the verdicts of a peer if they differ from those of this instance:
// a message was lost, or this instance has just started.
func (s *Supervisor) comparePeerVerdicts(status messenger.GatewayNews) {
	now := time.Now()
	if status.VerdictDigest == 0 || status.VerdictDigest == s.quarantiner.Digest(now) {
		return
	}
	due := s.verdictPullDue.Load()
	if now.UnixNano() < due || !s.verdictPullDue.CompareAndSwap(due, now.Add(verdictPullInterval).UnixNano()) {
		return
	}
	go func() {
		var answer messenger.GatewayVerdicts
		err := s.poster.Do(poster.Call{
			Method: http.MethodGet, URL: "http://" + status.PeerAddress + pathVerdicts, Out: &answer, Deadline: time.Now().Add(examinerTimeout),
		})
		if err != nil {
			s.log.Info("verdicts not read from a peer", "peer", status.Instance, "error", err.Error())
			return
		}
		s.mergeVerdicts(answer.Verdicts)
	}()
}

// encodeVerdicts encodes verdicts with relative times: the clocks of instances cannot be compared.
func (s *Supervisor) encodeVerdicts(verdicts []quarantiner.Verdict) messenger.GatewayVerdicts {
	now := time.Now()
	out := messenger.GatewayVerdicts{DataCentre: s.settings.DataCentre, Verdicts: []messenger.GatewayVerdict{}}
	for _, v := range verdicts {
		out.Verdicts = append(out.Verdicts, messenger.GatewayVerdict{
			Trait: encodeTrait(v.Trait), Tied: encodeTraits(v.Tied), Revision: v.Revision,
			Crashes: notNil(v.Crashes), Begun: notNil(v.Begun), TrialCrashes: notNil(v.TrialCrashes),
			AgeMilliseconds: toMilliseconds(now.Sub(v.Since)), FirstCrashMilliseconds: toMilliseconds(now.Sub(v.FirstCrash)),
			RemainingMilliseconds: toMilliseconds(v.Deadline.Sub(now)),
			ConvictedMilliseconds: max(toMilliseconds(v.ConvictedUntil.Sub(now)), 0),
		})
	}
	return out
}

// notNil returns texts, or an empty slice: messages bear no null.
func notNil(texts []string) []string {
	if texts == nil {
		return []string{}
	}
	return texts
}

// mergeVerdicts takes over verdicts of an examiner.
func (s *Supervisor) mergeVerdicts(in []messenger.GatewayVerdict) {
	if len(in) == 0 {
		return
	}
	now := time.Now()
	verdicts := make([]quarantiner.Verdict, 0, len(in))
	for _, v := range in {
		trait, ok := decodeTrait(v.Trait)
		tied := decodeTraits(v.Tied)
		if !ok || len(tied) != len(v.Tied) {
			continue
		}
		decoded := quarantiner.Verdict{
			Trait: trait, Tied: tied, Revision: v.Revision, Crashes: v.Crashes, Begun: v.Begun, TrialCrashes: v.TrialCrashes,
			Since: now.Add(-milliseconds(v.AgeMilliseconds)), FirstCrash: now.Add(-milliseconds(v.FirstCrashMilliseconds)),
			Deadline: now.Add(milliseconds(v.RemainingMilliseconds)),
		}
		if v.ConvictedMilliseconds > 0 {
			decoded.ConvictedUntil = now.Add(milliseconds(v.ConvictedMilliseconds))
		}
		verdicts = append(verdicts, decoded)
	}
	added := s.quarantiner.MergeShared(now, verdicts)
	s.logVerdicts(added, now, false)
	s.noteHeard(added)
	s.object(added)
}

// logVerdicts logs verdicts that are new to this instance, and whether it has reached them.
func (s *Supervisor) logVerdicts(verdicts []quarantiner.Verdict, now time.Time, isExaminer bool) {
	for _, v := range verdicts {
		s.log.Info("verdict", "kind", string(v.Trait.Kind), "name", v.Trait.Label(), "service", v.Trait.Service, "verdict", v.Name(now),
			"targets", v.Crashes, "begunAt", len(v.Begun), "trials", len(v.TrialCrashes), "tied", len(v.Tied), "revision", v.Revision, "ageMilliseconds", now.Sub(v.Since).Milliseconds(),
			"refusedMilliseconds", max(v.ConvictedUntil.Sub(now).Milliseconds(), 0), "isExaminer", isExaminer)
	}
}

// countVerdicts adds the verdicts that this instance has reached as examiner to the metrics.
func (s *Supervisor) countVerdicts() {
	s.verdictCountsMu.Lock()
	defer s.verdictCountsMu.Unlock()
	counts, known := s.quarantiner.Counts(), s.verdictCounts
	s.verdictCounts = counts
	s.measurer.CountEvent(measurer.QuarantineSuspects, counts.Suspects-known.Suspects)
	s.measurer.CountEvent(measurer.QuarantineConvictions, counts.Convictions-known.Convictions)
	s.measurer.CountEvent(measurer.QuarantineTakenBack, counts.TakenBack-known.TakenBack)
}
