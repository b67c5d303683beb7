package confirmer_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/gateway/confirmer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// TestSinceIsTheEarliestTime guards against a lateness that is measured from the newest proof of a manifest in place of
// the first one, or from what a peer cannot know.
func TestSinceIsTheEarliestTime(t *testing.T) {
	const latest = 100_000
	before, now := messenger.StoreVersion{Number: 7}, messenger.StoreVersion{Number: 8}
	c := confirmer.New(0)
	c.SetApplied(before)
	c.Confirm(0, 5000, latest)
	c.Confirm(0, 6000, latest)
	assert.EqualValues(t, 5000, c.Since(before), "own proofs")
	c.NoteSince(before, 4000, latest)
	c.NoteSince(before, 4500, latest)
	assert.EqualValues(t, 4000, c.Since(before), "a peer that has had it earlier")
	c.Confirm(0, 0, latest)
	c.NoteSince(before, 0, latest)
	c.NoteSince(before, -1, latest)
	c.NoteSince(now, 3000, latest)
	assert.EqualValues(t, 4000, c.Since(before), "nothing, and a manifest that is not in force here")
	c.SetApplied(now)
	assert.Zero(t, c.Since(now), "not told yet")
	c.NoteSince(now, latest+1, latest)
	assert.Zero(t, c.Since(now), "a time to come")
	c.Confirm(0, 9000, latest)
	assert.EqualValues(t, 9000, c.Since(now))
}
