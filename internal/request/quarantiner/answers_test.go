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
	a := quarantiner.NewAnswers()
	one := quarantiner.PartTrait("chat", "5c1e07a2")
	_, known := a.Last(one)
	assert.False(t, known)
	a.Note(start, one)
	at, known := a.Last(one)
	assert.True(t, known)
	assert.Equal(t, start.UnixNano(), at.UnixNano())
	for _, other := range []quarantiner.Trait{
		quarantiner.PartTrait("chat", "5c1e07a3"), quarantiner.PartTrait("code", "5c1e07a2"), quarantiner.ContentTrait(bad), {},
	} {
		_, known := a.Last(other)
		assert.False(t, known, other.Label())
	}
	t.Run("the newest of very many are", func(t *testing.T) {
		found := 0
		for n := range 100_000 {
			a.Note(start.Add(time.Duration(n)), quarantiner.PartTrait("chat", fmt.Sprint(n)))
		}
		for n := 99_000; n < 100_000; n++ {
			if _, known := a.Last(quarantiner.PartTrait("chat", fmt.Sprint(n))); known {
				found++
			}
		}
		assert.Greater(t, found, 800)
	})
}

// BenchmarkNoteAnswer measures what an answer on three parts costs while nothing is suspected.
func BenchmarkNoteAnswer(b *testing.B) {
	a := quarantiner.NewAnswers()
	parts := []string{"5c1e07a2", "91bd3f06", "e4402b7d"}
	b.ReportAllocs()
	for b.Loop() {
		for _, part := range parts {
			a.Note(start, quarantiner.PartTrait("chat", part))
		}
	}
}
