package supervisor

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/foreman"
	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/node/timekeeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// Paths of the peers' interface.
const (
	pathNews    = "/news"
	pathTable   = "/table"
	pathChanges = "/changes"
	pathAdapter = "/adapter"
	pathModel   = "/model"
)

// tableTimeout bounds the read of a table from a peer.
const tableTimeout = time.Second

// news returns what this instance tells a peer. Demand goes to the holder of the
// lease alone, and what targets hold beyond the target table comes from it alone. Other
// data centres hear of the loads of a cell as one sum instead.
func (s *Supervisor) news(to informer.Audience) messenger.GatewayNews {
	_, isHolder := s.leaser.Held(timekeeper.Boot())
	news := messenger.GatewayNews{
		Instance: s.settings.Instance, Incarnation: s.incarnation, CallerAddress: s.settings.CallerAddress,
		PeerAddress: s.settings.PeerAddress, DataCentre: s.settings.DataCentre, Ready: s.isReady(),
		Leaving: s.leaving.Load(), ManifestVersion: s.manifests.Version(), TargetsVersion: s.targets.Version(),
		Holder: isHolder && !s.leaving.Load(), LoadAddress: s.settings.LoadAddress, Demand: []messenger.GatewayDemand{},
		Overlays: []messenger.GatewayOverlay{}, Load: messenger.GatewayLoad{Targets: messenger.GatewayLoadTargets{}},
	}
	if to.DataCentre == s.settings.DataCentre || s.cell() == nil {
		news.Load = s.load(nil)
	}
	if to.IsHolder {
		news.Demand = s.tally.Own()
	}
	if !isHolder {
		return news
	}
	now := time.Now()
	for _, o := range s.balancer.Overlays() {
		news.Overlays = append(news.Overlays, messenger.GatewayOverlay{
			Target: o.Target, Model: o.Model, Adapter: o.Adapter, Held: o.Held,
			AgeMilliseconds: now.Sub(o.Since).Milliseconds(),
		})
	}
	return news
}

func (s *Supervisor) sendNews(address string, news messenger.GatewayNews, deadline time.Time) (messenger.GatewayNews, error) {
	var answer messenger.GatewayNews
	err := s.poster.Do(poster.Call{
		Method: http.MethodPost, URL: "http://" + address + pathNews, In: news, Out: &answer, Deadline: deadline,
	})
	return answer, err
}

// takeNews hands what a peer told to those who decide by it, for as long as the peer
// counts as there. An overlay's age grows by each hop, so that it ends everywhere at
// about the same time.
func (s *Supervisor) takeNews(news messenger.GatewayNews, until time.Time) {
	if news.Load.IsWhole {
		s.takeLoad(news.Load, until)
	}
	s.tally.SetPeer(news.Instance, news.Demand, until)
	now := time.Now()
	for _, o := range news.Overlays {
		s.balancer.Overlay(balancer.Overlay{
			Target: o.Target, Model: o.Model, Adapter: o.Adapter, Held: o.Held,
			Since: now.Add(-time.Duration(o.AgeMilliseconds) * time.Millisecond),
		})
	}
}

// tell sends news to the peers until ctx is done.
func (s *Supervisor) tell(ctx context.Context) {
	for ctx.Err() == nil {
		s.informer.Tell()
		select {
		case <-ctx.Done():
		case <-time.After(s.informer.Interval()):
		}
	}
}

// peerSnapshot returns the copy of a table of the peer that has followed it furthest.
func (s *Supervisor) peerSnapshot(table string, newer int64) (messenger.TableSnapshot, bool) {
	address := ""
	for _, peer := range s.informer.Peers() {
		version := peer.News.ManifestVersion
		if table == s.platform.TargetTable {
			version = peer.News.TargetsVersion
		}
		if table != instanceTable && version > newer {
			newer, address = version, peer.News.PeerAddress
		}
	}
	if address == "" {
		return messenger.TableSnapshot{}, false
	}
	snapshot, err := s.askTable(address, table)
	if err != nil {
		s.log.Info("table not read from peer", "table", table, "address", address, "error", err.Error())
		return messenger.TableSnapshot{}, false
	}
	return snapshot, true
}

// askTable returns the copy of a table that a peer has.
func (s *Supervisor) askTable(address, table string) (messenger.TableSnapshot, error) {
	var out messenger.TableSnapshot
	err := s.poster.Do(poster.Call{
		Method: http.MethodGet, URL: "http://" + address + pathTable + "?name=" + url.QueryEscape(table), Out: &out,
		Deadline: time.Now().Add(tableTimeout),
	})
	return out, err
}

// ensureAdapter asks whoever holds the lease on orders for an adapter.
func (s *Supervisor) ensureAdapter(ctx context.Context, service, model, adapter string) error {
	target, err := s.foreman.EnsureAdapter(ctx, service, model, adapter)
	if errors.Is(err, foreman.ErrNotHolder) {
		target, err = s.askHolder(ctx, messenger.AdapterRequest{Service: service, Model: model, Adapter: adapter})
	}
	if err != nil {
		return err
	}
	s.balancer.Overlay(balancer.Overlay{Target: target, Model: model, Adapter: adapter, Held: true, Since: time.Now()})
	return nil
}

// expectModel asks whoever holds the lease on orders when a model will be served.
func (s *Supervisor) expectModel(ctx context.Context, service, model string) (time.Duration, error) {
	expected, err := s.foreman.ExpectModel(ctx, service, model)
	if !errors.Is(err, foreman.ErrNotHolder) {
		return expected, err
	}
	address := s.holder()
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
		return 0, foreman.ErrNoPlace
	}
	return time.Duration(answer.ServesInMilliseconds) * time.Millisecond, nil
}

// deadlineOf returns the deadline of a call to a peer.
func deadlineOf(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(tableTimeout)
}

func (s *Supervisor) askHolder(ctx context.Context, request messenger.AdapterRequest) (string, error) {
	address := s.holder()
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
		return "", foreman.ErrNoPlace
	}
	return answer.Target, nil
}
