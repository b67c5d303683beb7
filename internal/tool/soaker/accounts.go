package soaker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocusring/crocusring/platform/simulator"
)

const (
	accountCount = 3
	// revokeTime is how long after a manifest removed a key requests with it may still run.
	revokeTime = 5 * time.Second
	// changingShare is the share of requests with a key that manifests add and remove, and
	// unknownShare that of requests with a key that no manifest has had.
	changingShare = 0.15
	unknownShare  = 0.03
	unknownKey    = "unknown-key"
	// changingAccount holds the keys that change.
	changingAccount = 0
)

// accountKeys holds the keys of the accounts: one of each account that stays, and one that each manifest
// replaces. A nil accountKeys has no accounts.
type accountKeys struct {
	mu     sync.Mutex
	number int
	// revokedAt holds when the store acknowledged the manifest that removed a key.
	revokedAt map[string]time.Time
}

func newAccountKeys() *accountKeys { return &accountKeys{revokedAt: map[string]time.Time{}} }

func accountName(number int) string { return fmt.Sprintf("account-%d", number) }
func stableKey(number int) string   { return fmt.Sprintf("stable-key-%d", number) }
func changingKey(number int) string { return fmt.Sprintf("changing-key-%d", number) }

// next returns the accounts for the next manifest. The previous changing key is not among them.
// revoked must be called once the store has acknowledged that manifest.
func (k *accountKeys) next() (accounts []simulator.Account, revoked func()) {
	if k == nil {
		return nil, func() {}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	previous := changingKey(k.number)
	k.number++
	for n := range accountCount {
		accounts = append(accounts, simulator.Account{Name: accountName(n), Keys: []string{stableKey(n)}, Priority: n})
	}
	accounts[changingAccount].Keys = append(accounts[changingAccount].Keys, changingKey(k.number))
	return accounts, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.revokedAt[previous] = time.Now()
	}
}

// stable returns the key of an account that stays.
func (k *accountKeys) stable(random *rand.Rand) string {
	if k == nil {
		return ""
	}
	return stableKey(random.IntN(accountCount))
}

// pick returns a key: one that stays, one of the last that change, or an unknown one.
func (k *accountKeys) pick(random *rand.Rand) string {
	if k == nil {
		return ""
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch draw := random.Float64(); {
	case draw < unknownShare:
		return unknownKey
	case draw < unknownShare+changingShare:
		return changingKey(max(k.number-random.IntN(3), 0))
	default:
		return stableKey(random.IntN(accountCount))
	}
}

// account returns the account of a key that some manifest has had, and since when it is revoked.
func (k *accountKeys) account(key string) (name string, revokedAt time.Time) {
	for n := range accountCount {
		if key == stableKey(n) {
			return accountName(n), time.Time{}
		}
	}
	if key == unknownKey {
		return "", time.Time{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return accountName(changingAccount), k.revokedAt[key]
}

// isStable reports whether a key must always be accepted; true without accounts.
func (k *accountKeys) isStable(key string) bool {
	if k == nil {
		return true
	}
	for n := range accountCount {
		if key == stableKey(n) {
			return true
		}
	}
	return false
}

// checkAccount checks that a run is allowed to its sender, and that its target is told the account
// only. The caller holds c.mu.
func (c *Checker) checkAccount(s *sentRequest, run simulator.Run) {
	if c.keys == nil {
		return
	}
	name, revokedAt := c.keys.account(s.call.Key)
	switch {
	case run.ShowsKey:
		c.add(KeyShown, "%s received %s with the key of its caller", run.Target, run.Request)
	case name == "":
		c.add(KeyIgnored, "%s ran %s with an unknown key", run.Target, run.Request)
	case run.Account != name:
		c.add(KeyIgnored, "%s ran %s of %s for the account %q", run.Target, run.Request, name, run.Account)
	case !revokedAt.IsZero() && s.sentAt.After(revokedAt.Add(revokeTime)) && !c.restores.isManifestUnknown(s.sentAt):
		c.add(KeyIgnored, "%s ran %s, sent %v after its key had been revoked", run.Target, run.Request, s.sentAt.Sub(revokedAt))
	}
}
