package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

// TestAnswersAreRemembered guards against an answer that is taken for one on another trait.
func TestAnswersAreRemembered(t *testing.T) {
	q := quarantiner.New("entry-1", quarantiner.WithTrials())
	one := quarantiner.PartTrait("chat", "5c1e07a2")
	_, known := q.LastAnswer(one)
	assert.False(t, known)
	q.RememberAnswer(start, one)
	at, known := q.LastAnswer(one)
	assert.True(t, known)
	assert.Equal(t, start.UnixNano(), at.UnixNano())
	for _, other := range []quarantiner.Trait{
		quarantiner.PartTrait("chat", "5c1e07a3"), quarantiner.PartTrait("code", "5c1e07a2"), {},
	} {
		_, known := q.LastAnswer(other)
		assert.False(t, known, other.Label())
	}
	t.Run("the newest of very many are", func(t *testing.T) {
		found := 0
		for n := range 100_000 {
			q.RememberAnswer(start.Add(time.Duration(n)), quarantiner.PartTrait("chat", fmt.Sprint(n)))
		}
		for n := 99_000; n < 100_000; n++ {
			if _, known := q.LastAnswer(quarantiner.PartTrait("chat", fmt.Sprint(n))); known {
				found++
			}
		}
		assert.Greater(t, found, 800)
	})
}

// BenchmarkNoteAnswer measures what an answer on three parts costs while nothing is suspected.
func BenchmarkNoteAnswer(b *testing.B) {
	q := quarantiner.New("entry-1", quarantiner.WithTrials())
	parts := []string{"5c1e07a2", "91bd3f06", "e4402b7d"}
	b.ReportAllocs()
	for b.Loop() {
		for _, part := range parts {
			q.RememberAnswer(start, quarantiner.PartTrait("chat", part))
		}
	}
}
