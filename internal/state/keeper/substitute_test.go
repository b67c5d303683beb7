package keeper_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

// addHolder adds a target that holds names.
func addHolder(f *keeper.Fleet, id string, names ...string) {
	f.ChangeTarget(id, func(t *keeper.Target) {
		t.Holdings = nil
		for _, name := range names {
			t.Holdings = append(t.Holdings, keeper.Holding{Name: keeper.ParseName(name), State: keeper.Loaded})
		}
	})
}

func TestSubstitute(t *testing.T) {
	assertServedBy := func(t *testing.T, f *keeper.Fleet, name, want string) {
		t.Helper()
		assert.Equal(t, want, f.View().Substitute(keeper.ParseName(name)).String())
	}
	t.Run("a held name is served as it is", func(t *testing.T) {
		f := keeper.NewFleet()
		addHolder(f, "a", "oak@v1", "oak@v2")
		addHolder(f, "b", "oak@v1")
		assertServedBy(t, f, "oak@v2", "oak@v2")
	})
	t.Run("an old version serves until the new one is held", func(t *testing.T) {
		f := keeper.NewFleet()
		addHolder(f, "a", "oak@v1", "oak@v0", "elm@v9")
		addHolder(f, "b", "oak@v1")
		assertServedBy(t, f, "oak@v2", "oak@v1")
	})
	t.Run("an adapter is replaced only by another version of itself", func(t *testing.T) {
		f := keeper.NewFleet()
		addHolder(f, "a", "oak@v1", "oak:trim.v1@v1", "oak:cut.v1@v1")
		assertServedBy(t, f, "oak:trim.v2@v2", "oak:trim.v1@v1")
		assertServedBy(t, f, "oak:fell.v1@v1", "oak:fell.v1@v1")
	})
	t.Run("nothing is held", func(t *testing.T) {
		assertServedBy(t, keeper.NewFleet(), "oak@v2", "oak@v2")
	})
}
