// Package ranker orders names for a key by rendezvous hashing. Instances that know the same
// names agree on their order without a message, and when a name comes or goes the others keep
// theirs.
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the rank of a name for a key. The highest rank comes first.
func Rank(key, name string) uint64 { return xxhash.Sum64String(key + "/" + name) }

// First returns the name that ranks first for a key; empty if there are no names.
func First(key string, names []string) string {
	best, bestRank := "", uint64(0)
	for _, name := range names {
		if rank := Rank(key, name); best == "" || rank > bestRank {
			best, bestRank = name, rank
		}
	}
	return best
}

// Order returns the names in the order of their ranks for a key.
func Order(key string, names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(Rank(key, b), Rank(key, a)) })
	return out
}
