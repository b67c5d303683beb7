package conductor

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/authenticator"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// unconfirmedRetryDelay is the least retry delay of requests whose key cannot be checked now. Up to
// half of it is added, so that they do not return at the same time.
const unconfirmedRetryDelay = time.Second

// WithCurrency sets the function that reports whether the manifest is known to be current enough to
// act on the keys of accounts, and to call a key unknown. By default it is.
func WithCurrency(currency func() (isConfirmed, isRecent bool)) Option {
	return func(c *Conductor) { c.authenticator.Currency = currency }
}

// WithAccountObserver sets the function that is called for each request that is refused for its key;
// reason is an error of the authenticator.
func WithAccountObserver(refused func(reason error)) Option {
	return func(c *Conductor) { c.accountRefused = refused }
}

// sender is whom a request is sent for. The fields are those of request.
type sender struct {
	account     *registrar.Account
	credential  authenticator.Credential
	hasAccounts bool
}

// identify returns whom a request on a route is sent for, or the refusal of one whose key does not
// allow it.
func (c *Conductor) identify(r *http.Request, route *registrar.Route) (sender, *Refusal) {
	if !c.authenticator.IsNeeded() {
		return sender{}, nil
	}
	out := sender{credential: c.credentialOf(r), hasAccounts: true}
	var err error
	out.account, err = c.authenticator.Check(route.IsPublic, out.credential)
	if err != nil {
		return out, c.accountRefusal(r.Header.Get(c.headers.RequestID), err)
	}
	return out, nil
}

// credentialOf returns what a request says of its account. More than one credential count as one
// that cannot be read.
func (c *Conductor) credentialOf(r *http.Request) authenticator.Credential {
	values := r.Header.Values(c.headers.Credential)
	if len(values) == 0 || (len(values) == 1 && values[0] == "") {
		return authenticator.Credential{}
	}
	out := authenticator.Credential{IsPresent: true}
	if key, ok := c.headers.ParseCredential(values[0]); ok && len(values) == 1 {
		out.Digest = registrar.DigestKey(key)
	}
	return out
}

// checkAccount returns why a request may not be sent now as far as its account goes, or nil. The
// manifest may have changed since the request was accepted.
func (c *Conductor) checkAccount(q *request) error {
	if !c.authenticator.IsNeeded() {
		return nil
	}
	if !q.hasAccounts { // there were none when the request was accepted
		q.credential, q.hasAccounts = c.credentialOf(q.httpRequest), true
	}
	account, err := c.authenticator.Check(q.route.IsPublic, q.credential)
	if err == nil && q.account == nil && account != nil {
		q.account, q.rank = account, rankOf(account, q.route)
	}
	return err
}

// senderOf returns what tells the sender of a request apart in the fingerprint of its content: the
// account's name or, without accounts, the credential.
func (c *Conductor) senderOf(q *request) string {
	switch {
	case q.account != nil:
		return q.account.Name
	case q.hasAccounts:
		return ""
	default:
		return q.httpRequest.Header.Get(c.headers.Credential)
	}
}

// isAccountError reports whether err is one of the authenticator.
func isAccountError(err error) bool {
	return errors.Is(err, authenticator.ErrUnknownKey) || errors.Is(err, authenticator.ErrUnconfirmed)
}

// accountRefusal returns the refusal of a request for an error of the authenticator.
func (c *Conductor) accountRefusal(id string, cause error) *Refusal {
	c.accountRefused(cause)
	if errors.Is(cause, authenticator.ErrUnknownKey) {
		return &Refusal{Status: http.StatusUnauthorized, Reason: cause.Error()}
	}
	return unconfirmedRefusal(id, cause.Error())
}

// unconfirmedRefusal returns the refusal of a request that a newer manifest may allow. Callers are spread over time.
func unconfirmedRefusal(id, reason string) *Refusal {
	spread := time.Duration(spreadOf(id) * float64(unconfirmedRetryDelay/2))
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: unconfirmedRetryDelay + spread}
}
