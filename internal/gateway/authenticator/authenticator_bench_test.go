package authenticator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"

	"github.com/crocusring/crocusring/internal/gateway/authenticator"
	"github.com/crocusring/crocusring/internal/gateway/confirmer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/node/timekeeper"
)

// BenchmarkCheck measures the check of a key against 5,000 accounts with two keys each, with the
// digest of the key and a reading of the clock.
func BenchmarkCheck(b *testing.B) {
	accounts := map[string]*registrar.Account{}
	for n := range 5000 {
		name := fmt.Sprint("account-", n)
		accounts[name] = &registrar.Account{Name: name, Keys: []registrar.KeyDigest{registrar.DigestKey(name + "-1"), registrar.DigestKey(name + "-2")}}
	}
	registry := registrar.New()
	registry.SetManifest(&registrar.Manifest{Version: 1, Accounts: accounts})
	var clock confirmer.Clock
	clock.Record(1000, timekeeper.BootTime(), timekeeper.BootTime())
	proof := confirmer.New(time.Hour)
	proof.SetApplied(messenger.StoreVersion{Number: 1})
	proof.Confirm(0, 1000, 1001)
	a := authenticator.Authenticator{View: registry.View, Currency: func() (bool, bool) {
		_, latest, _ := clock.Bounds(timekeeper.BootTime())
		return proof.Currency(latest)
	}}
	b.ReportAllocs()
	for b.Loop() {
		credential := authenticator.Credential{IsPresent: true, Digest: registrar.DigestKey("account-4711-2")}
		if _, err := a.Check(false, credential); err != nil {
			b.Fatal(err)
		}
	}
}
