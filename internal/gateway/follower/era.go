package follower

import "github.com/crocusring/crocusring/internal/wire/messenger"

// EraChange describes the first answer of a later era of the store.
type EraChange struct {
	// Before is the newest version of the era before; zero if this is the first answer of all.
	Before messenger.StoreVersion
	// After is the version in that answer.
	After messenger.StoreVersion
}
