package supervisor

import (
	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/authenticator"
	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/state/measurer"
)

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
