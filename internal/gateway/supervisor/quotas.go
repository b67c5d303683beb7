package supervisor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/gateway/limiter"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

const (
	// quotaTimeout bounds a call that asks a granter for a request. A request asks up to three
	// granters before the first grant expires.
	quotaTimeout = 150 * time.Millisecond
	// quotaInterval is the time between two asks ahead of use.
	quotaInterval = 100 * time.Millisecond
)

// quotaKeeper is this instance's part in keeping the quotas of accounts; nil if the settings
// ask for none.
type quotaKeeper struct {
	*limiter.Quotas
	mu sync.Mutex
	// names holds the instances by their peer addresses.
	names map[string]string
	// isOn reports whether the manifest has accounts with a quota.
	isOn bool
}

func newQuotaKeeper(settings messenger.GatewaySettings) *quotaKeeper {
	bounds := settings.Bounds
	if bounds.QuotaWindowSeconds <= 0 {
		return nil
	}
	return &quotaKeeper{
		names: map[string]string{},
		Quotas: limiter.NewQuotas(settings.Instance, limiter.QuotaBounds{
			Window: seconds(bounds.QuotaWindowSeconds), Overage: max(bounds.QuotaOverage, 0), Slack: max(bounds.QuotaSlack, 0),
		}),
	}
}

// nameAt returns the instance at a peer address; empty if it is not known.
func (k *quotaKeeper) nameAt(address string) string {
	if k == nil {
		return ""
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.names[address]
}

func (k *quotaKeeper) setName(address, name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.names[address] = name
}

// retainNames drops the addresses that are not those of known peers.
func (k *quotaKeeper) retainNames(known map[string]string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.names = known
}

func (k *quotaKeeper) setOn(isOn bool) (hasChanged bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	hasChanged = k.isOn != isOn
	k.isOn = isOn
	return hasChanged
}

// chargeQuota charges a request to the quota of its account.
func (s *Supervisor) chargeQuota(ctx context.Context, account *registrar.Account, amount float64, caller func() int64) (end func(hasRun bool), err error) {
	if s.quotas == nil {
		return func(bool) {}, nil
	}
	charge, err := s.acquireQuota(ctx, account.Name, amount, caller)
	var over *limiter.QuotaError
	if errors.As(err, &over) && over.RetryIn <= limiter.MaxQuotaWait {
		select {
		case <-ctx.Done():
		case <-time.After(over.RetryIn):
			charge, err = s.acquireQuota(ctx, account.Name, amount, caller)
		}
	}
	s.measurer.CountAdmission(account.Name, admissionOf(err), amount)
	if err != nil {
		s.log.V(1).Info("request not admitted by quota", "account", account.Name, "amount", amount, "error", err.Error())
		return nil, err
	}
	return func(hasRun bool) { s.quotas.Return(charge, hasRun) }, nil
}

// acquireQuota charges a request to the leases of this instance, and asks granters for what they
// lack.
func (s *Supervisor) acquireQuota(ctx context.Context, account string, amount float64, caller func() int64) (*limiter.Charge, error) {
	charge := s.quotas.Begin(account, amount)
	if !charge.IsWhole() {
		charge.Caller = caller()
	}
	for ctx.Err() == nil {
		granter, asks := s.quotas.NextGranter(charge)
		if granter == "" {
			break
		}
		s.askGranter(charge, granter, asks)
	}
	return charge, s.quotas.Finish(charge)
}

func admissionOf(err error) measurer.Admission {
	switch {
	case err == nil:
		return measurer.Admitted
	case errors.Is(err, limiter.ErrOverQuota):
		return measurer.OverQuota
	default:
		return measurer.WithoutGranter
	}
}

// askGranter sends asks to a granter, which may be this instance, and records its answer. The
// charge is nil for asks ahead of use.
func (s *Supervisor) askGranter(charge *limiter.Charge, granter string, asks []limiter.QuotaAsk) {
	sentAt := s.limiter.Now()
	grants, err := s.callGranter(granter, asks)
	if err != nil {
		s.log.Info("granter did not answer", "granter", granter, "error", err.Error())
	}
	s.quotas.Receive(charge, granter, asks, grants, sentAt, err)
}

func (s *Supervisor) callGranter(granter string, asks []limiter.QuotaAsk) ([]limiter.QuotaGrant, error) {
	if granter == s.settings.Instance {
		return s.quotas.Grant(asks), nil
	}
	address := s.informer.AddressOf(granter)
	if address == "" {
		return nil, errNoGranter
	}
	var answer messenger.QuotaResponse
	err := s.poster.Do(poster.Call{
		Method: http.MethodPost, URL: "http://" + address + pathQuota, In: encodeAsks(asks), Out: &answer, Deadline: time.Now().Add(quotaTimeout),
	})
	if err != nil {
		return nil, err
	}
	return decodeGrants(asks, answer), nil
}

func encodeAsks(asks []limiter.QuotaAsk) messenger.QuotaRequest {
	out := messenger.QuotaRequest{Asks: make([]messenger.QuotaAsk, 0, len(asks))}
	for _, ask := range asks {
		ended := make([]messenger.QuotaLeaseEnd, 0, len(ask.Ended))
		for _, e := range ask.Ended {
			ended = append(ended, messenger.QuotaLeaseEnd{ID: e.ID, Unused: e.Unused})
		}
		out.Asks = append(out.Asks, messenger.QuotaAsk{
			Account: ask.Account, Need: ask.Need, Ahead: ask.Ahead, Total: ask.Total, Caller: ask.Caller,
			IsLast: ask.IsLast, IsPromised: ask.IsPromised, Ended: ended,
		})
	}
	return out
}

func decodeAsks(in messenger.QuotaRequest) []limiter.QuotaAsk {
	out := make([]limiter.QuotaAsk, 0, len(in.Asks))
	for _, ask := range in.Asks {
		ended := make([]limiter.EndedLease, 0, len(ask.Ended))
		for _, e := range ask.Ended {
			ended = append(ended, limiter.EndedLease{ID: e.ID, Unused: e.Unused})
		}
		out = append(out, limiter.QuotaAsk{
			Account: ask.Account, Need: ask.Need, Ahead: ask.Ahead, Total: ask.Total, Caller: ask.Caller,
			IsLast: ask.IsLast, IsPromised: ask.IsPromised, Ended: ended,
		})
	}
	return out
}

// decodeGrants returns the grants of an answer, which are in the order of the asks.
func decodeGrants(asks []limiter.QuotaAsk, in messenger.QuotaResponse) []limiter.QuotaGrant {
	out := make([]limiter.QuotaGrant, 0, len(asks))
	for i, grant := range in.Grants[:min(len(in.Grants), len(asks))] {
		out = append(out, limiter.QuotaGrant{
			Account: asks[i].Account, IsKnown: grant.IsKnown, ID: grant.ID, Amount: max(grant.Amount, 0),
			ValidFor: milliseconds(grant.ValidMilliseconds), RetryIn: milliseconds(grant.RetryMilliseconds),
			IsPromised: grant.IsPromised,
		})
	}
	return out
}

// serveQuota decides on the asks of a peer.
func (s *Supervisor) serveQuota(ctx *fasthttp.RequestCtx) {
	var request messenger.QuotaRequest
	if !s.decode(ctx, &request) {
		return
	}
	out := messenger.QuotaResponse{Grants: []messenger.QuotaGrant{}}
	if s.quotas != nil {
		for _, grant := range s.quotas.Grant(decodeAsks(request)) {
			out.Grants = append(out.Grants, messenger.QuotaGrant{
				IsKnown: grant.IsKnown, ID: grant.ID, Amount: grant.Amount,
				ValidMilliseconds: toMilliseconds(grant.ValidFor), RetryMilliseconds: toMilliseconds(grant.RetryIn),
				IsPromised: grant.IsPromised,
			})
		}
	}
	s.encode(ctx, out)
}

// askForQuotas asks granters ahead of use until ctx is done.
func (s *Supervisor) askForQuotas(ctx context.Context) {
	if s.quotas == nil {
		return
	}
	every(ctx, quotaInterval, func() {
		for granter, asks := range s.quotas.AsksAhead() {
			go s.askGranter(nil, granter, asks)
		}
	})
}

// applyQuotas passes the quotas of the manifest in force to the limiter.
func (s *Supervisor) applyQuotas() {
	manifest := s.registry.View().Manifest
	if s.quotas == nil || manifest == nil {
		return
	}
	quotas := map[string]limiter.Quota{}
	for name, account := range manifest.Accounts {
		if account.RatePerSecond > 0 {
			quotas[name] = limiter.Quota{PerSecond: account.RatePerSecond, Burst: max(account.Burst, 0)}
		}
	}
	s.quotas.SetQuotas(quotas)
	if s.quotas.setOn(len(quotas) > 0) {
		s.log.Info("keeping of quotas changed", "accounts", len(quotas), "manifest", manifest.Version)
	}
}

// delegation returns what to tell an instance of the quotas in a status; nil if none are kept.
func (s *Supervisor) delegation(to string) *messenger.QuotaDelegation {
	if s.quotas == nil {
		return nil
	}
	d := s.quotas.Delegate(to)
	out := &messenger.QuotaDelegation{
		StampNanoseconds: s.limiter.Now().UnixNano(), Parts: int64(d.Parts), TTLMilliseconds: toMilliseconds(d.TTL), Members: d.Members,
	}
	if !d.Echo.IsZero() {
		out.EchoNanoseconds = d.Echo.UnixNano()
	}
	return out
}

// maxDelegationTTL bounds the time for which a delegation is believed.
const maxDelegationTTL = time.Minute

// receiveDelegation records what a status says of the quotas.
func (s *Supervisor) receiveDelegation(status messenger.GatewayNews) {
	if s.quotas == nil || status.Quota == nil {
		return
	}
	in := status.Quota
	s.quotas.setName(status.PeerAddress, status.Instance)
	s.quotas.ReceiveStamp(status.Instance, time.Unix(0, in.StampNanoseconds))
	if in.EchoNanoseconds <= 0 {
		return
	}
	s.quotas.ReceiveDelegation(status.Instance, limiter.Delegation{
		Parts: uint64(in.Parts), Echo: time.Unix(0, in.EchoNanoseconds),
		TTL: min(max(milliseconds(in.TTLMilliseconds), 0), maxDelegationTTL), Members: min(max(in.Members, 0), maxMembers),
	})
}

// updateQuotaMembers passes the live instances that keep quotas to the limiter.
func (s *Supervisor) updateQuotaMembers(left []string) {
	if s.quotas == nil {
		return
	}
	live, names, ttl := []string{}, map[string]string{}, s.quotas.PeerTTL()
	for _, peer := range s.informer.Peers() {
		status := peer.LastStatus
		names[status.PeerAddress] = status.Instance
		isSilent := time.Since(peer.ReceivedAt) > ttl
		if !status.Leaving && status.Quota != nil && !isSilent {
			live = append(live, status.Instance)
		}
	}
	s.quotas.retainNames(names)
	s.quotas.SetMembers(live, left)
}

// registerQuotaMembers passes the registered instances to the limiter.
func (s *Supervisor) registerQuotaMembers(members []limiter.Member) {
	if s.quotas == nil {
		return
	}
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Name)
	}
	s.quotas.SetRegistered(names)
}
