package registrar

import (
	"crypto/sha256"
	"maps"
	"slices"
)

// Unit states what the quota of an account counts.
type Unit int

const (
	// CountRequests counts each request as one.
	CountRequests Unit = iota
	// CountTokens counts the tokens that a request names.
	CountTokens
)

// MaxRank is the last rank of requests; rank 0 goes first.
const MaxRank = 9

// KeyDigest identifies a key of an account. Keys are secrets, so only their digests are kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account is a client account, as the manifest declares it.
type Account struct {
	Name string
	Keys []KeyDigest
	// Priority is the rank of the account's requests, before the priority of their route; 0 is
	// the most urgent.
	Priority int
	Unit     Unit
	// PlainTokens is what a request that names no tokens counts, where Unit is CountTokens.
	PlainTokens int
	// RatePerSecond and Burst are the quota in Unit, over all instances together; there is none
	// if the rate is 0.
	RatePerSecond float64
	Burst         float64
}

// AccountOf returns the account that holds a key, or nil if there is none.
func (v *View) AccountOf(key KeyDigest) *Account { return v.accounts[key] }

// HasAccounts reports whether requests need the key of an account.
func (v *View) HasAccounts() bool { return v.Manifest != nil && v.Manifest.Accounts != nil }

// indexAccounts returns the accounts by key. Of two accounts with the same key the first one by name
// holds it, on all instances.
func indexAccounts(m *Manifest) map[KeyDigest]*Account {
	index := map[KeyDigest]*Account{}
	for _, name := range slices.Sorted(maps.Keys(m.Accounts)) {
		account := m.Accounts[name]
		for _, key := range account.Keys {
			if index[key] == nil {
				index[key] = account
			}
		}
	}
	return index
}
