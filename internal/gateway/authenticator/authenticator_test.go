package authenticator_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/authenticator"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

func newRegistry(version int64, keys ...string) *registrar.Registrar {
	registry := registrar.New()
	setKeys(registry, version, keys...)
	return registry
}

func setKeys(registry *registrar.Registrar, version int64, keys ...string) {
	account := &registrar.Account{Name: "a"}
	for _, key := range keys {
		account.Keys = append(account.Keys, registrar.DigestKey(key))
	}
	registry.SetManifest(&registrar.Manifest{Version: version, Accounts: map[string]*registrar.Account{"a": account}})
}

func named(key string) authenticator.Credential {
	return authenticator.Credential{IsPresent: true, Digest: registrar.DigestKey(key)}
}

func TestCheck(t *testing.T) {
	registry := newRegistry(1, "key")
	for _, c := range []struct {
		name          string
		isPublic      bool
		isUnconfirmed bool
		isNotRecent   bool
		credential    authenticator.Credential
		account       string
		err           error
	}{
		{name: "known", credential: named("key"), account: "a"},
		{name: "unknown", credential: named("other"), err: authenticator.ErrUnknownKey},
		{name: "unreadable", credential: authenticator.Credential{IsPresent: true}, err: authenticator.ErrUnknownKey},
		{name: "missing", err: authenticator.ErrUnknownKey},
		{name: "known, in a manifest of a while ago", isNotRecent: true, credential: named("key"), account: "a"},
		{name: "unknown, in a manifest of a while ago", isNotRecent: true, credential: named("other"), err: authenticator.ErrUnconfirmed},
		{name: "public and missing", isPublic: true},
		{name: "public and unknown", isPublic: true, credential: named("other"), err: authenticator.ErrUnknownKey},
		{name: "public and known", isPublic: true, credential: named("key"), account: "a"},
		{name: "unconfirmed and known", isUnconfirmed: true, credential: named("key"), err: authenticator.ErrUnconfirmed},
		{name: "unconfirmed and unknown", isUnconfirmed: true, credential: named("other"), err: authenticator.ErrUnconfirmed},
		{name: "unconfirmed and missing", isUnconfirmed: true, err: authenticator.ErrUnconfirmed},
		{name: "unconfirmed, public and missing", isUnconfirmed: true, isPublic: true},
		{name: "unconfirmed, public and known", isUnconfirmed: true, isPublic: true, credential: named("key"), err: authenticator.ErrUnconfirmed},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := authenticator.Authenticator{View: registry.View, Currency: func() (bool, bool) { return !c.isUnconfirmed, !c.isUnconfirmed && !c.isNotRecent }}
			account, err := a.Check(c.isPublic, c.credential)
			require.ErrorIs(t, err, c.err)
			if c.account == "" {
				assert.Nil(t, account)
				return
			}
			require.NotNil(t, account)
			assert.Equal(t, c.account, account.Name)
		})
	}
}

// TestManifestIsReadAfterProof guards against a key that is found in a manifest which was replaced
// while the proof for the new one arrived.
func TestManifestIsReadAfterProof(t *testing.T) {
	registry := newRegistry(1, "key")
	a := authenticator.Authenticator{View: registry.View, Currency: func() (bool, bool) {
		setKeys(registry, 2, "other")
		return true, true
	}}
	_, err := a.Check(false, named("key"))
	assert.ErrorIs(t, err, authenticator.ErrUnknownKey)
}

func TestWithoutAccountsNothingIsChecked(t *testing.T) {
	registry := registrar.New()
	registry.SetManifest(&registrar.Manifest{Version: 1})
	a := authenticator.Authenticator{View: registry.View, Currency: func() (bool, bool) { return false, false }}
	account, err := a.Check(false, authenticator.Credential{})
	require.NoError(t, err)
	assert.Nil(t, account)
	assert.Zero(t, testing.AllocsPerRun(100, func() { _, _ = a.Check(false, authenticator.Credential{}) }))
}
