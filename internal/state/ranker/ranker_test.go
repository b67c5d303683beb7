package ranker_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/state/ranker"
)

func names(n int) []string {
	out := []string{}
	for i := range n {
		out = append(out, fmt.Sprintf("i%d", i))
	}
	return out
}

func TestOrder(t *testing.T) {
	all := names(20)
	order := ranker.Order("service", all)
	assert.ElementsMatch(t, all, order)
	assert.Equal(t, order[0], ranker.First("service", all))
	t.Run("the order of the names does not matter", func(t *testing.T) {
		reversed := []string{}
		for i := range all {
			reversed = append(reversed, all[len(all)-1-i])
		}
		assert.Equal(t, order, ranker.Order("service", reversed))
	})
	t.Run("the second one follows when the first one goes", func(t *testing.T) {
		assert.Equal(t, order[1:], ranker.Order("service", order[1:]))
	})
	t.Run("keys spread over the names", func(t *testing.T) {
		count := map[string]int{}
		for i := range 2000 {
			count[ranker.First(fmt.Sprint(i), all)]++
		}
		for _, name := range all {
			assert.Greater(t, count[name], 50)
		}
	})
	t.Run("no names", func(t *testing.T) {
		assert.Empty(t, ranker.First("service", nil))
		assert.Empty(t, ranker.Order("service", nil))
	})
}
