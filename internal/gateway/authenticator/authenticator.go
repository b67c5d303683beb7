// Package authenticator decides which client account a request is sent for, and whether its key may
// be acted on. It keeps no keys.
package authenticator

import (
	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

var (
	// ErrUnknownKey reports that a request has no key of an account although it needs one, or that
	// it has one that no account holds.
	ErrUnknownKey = errors.New("unknown or missing key")
	// ErrUnconfirmed reports that the manifest may be out of date: a newer one may have removed
	// the key, or added it.
	ErrUnconfirmed = errors.New("keys cannot be checked now")
)

// Credential is what a request says of its account.
type Credential struct {
	// IsPresent reports that the request names a key, readable or not.
	IsPresent bool
	// Digest is that of the key; zero for one that cannot be read.
	Digest registrar.KeyDigest
}

// Authenticator finds the accounts of requests.
type Authenticator struct {
	// View returns the current tables.
	View func() *registrar.View
	// Currency reports whether the manifest is known to be current enough to act on keys, and to
	// call a key unknown.
	Currency func() (isConfirmed, isRecent bool)
}

// IsNeeded reports whether requests are sent for accounts.
func (a *Authenticator) IsNeeded() bool { return a.View().HasAccounts() }

// Check returns the account of a request on a route; nil for a request without a key on a public
// route, and where there are no accounts. The error is ErrUnknownKey or ErrUnconfirmed.
func (a *Authenticator) Check(isPublic bool, credential Credential) (*registrar.Account, error) {
	if !a.IsNeeded() || (isPublic && !credential.IsPresent) {
		return nil, nil
	}
	isConfirmed, isRecent := a.Currency()
	// The view is read after the proof, so that it is at least as new as the proof says.
	account := a.View().AccountOf(credential.Digest)
	isKnown := account != nil && credential.IsPresent
	switch {
	case isKnown && isConfirmed:
		return account, nil
	case !isKnown && isRecent:
		return nil, ErrUnknownKey
	default:
		return nil, ErrUnconfirmed
	}
}
