package registrar_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

func manifest(version int64, routes ...*registrar.Route) *registrar.Manifest {
	return &registrar.Manifest{Version: version, Routes: routes, Services: map[string]*registrar.Service{}}
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	r := registrar.New()
	r.SetManifest(manifest(1,
		&registrar.Route{Name: "all", Host: "a.example", Prefix: "/"},
		&registrar.Route{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		&registrar.Route{Name: "mid", Host: "a.example", Prefix: "/x/"},
		&registrar.Route{Name: "other", Host: "b.example", Prefix: "/x/"},
	))
	for path, want := range map[string]string{
		"/": "all", "/x": "all", "/x/": "mid", "/x/y": "mid", "/x/y/z": "deep", "/xy/": "all",
	} {
		t.Run(path, func(t *testing.T) {
			route := r.View().Match("A.example", path)
			require.NotNil(t, route)
			assert.Equal(t, want, route.Name)
		})
	}
	t.Run("no host", func(t *testing.T) { assert.Nil(t, r.View().Match("c.example", "/x/")) })
	t.Run("no prefix", func(t *testing.T) { assert.Nil(t, r.View().Match("b.example", "/y/")) })
}

func TestOlderManifestIsIgnored(t *testing.T) {
	r := registrar.New()
	assert.True(t, r.SetManifest(manifest(7)))
	assert.False(t, r.SetManifest(manifest(7)))
	assert.False(t, r.SetManifest(manifest(3)))
	assert.EqualValues(t, 7, r.View().Manifest.Version)
	assert.True(t, r.SetManifest(manifest(8)))
}

func TestUpdateKeepsEarlierViews(t *testing.T) {
	r := registrar.New()
	changed := r.Changed()
	before := r.View()
	r.Update(func(targets map[string]*registrar.Target) {
		targets["b"] = &registrar.Target{ID: "b", Service: "s"}
		targets["a"] = &registrar.Target{ID: "a", Service: "s"}
	})
	assert.Empty(t, before.Targets)
	list := r.View().TargetsOf("s")
	require.Len(t, list, 2)
	assert.Equal(t, "a", list[0].ID)
	select {
	case <-changed:
	default:
		t.Error("the channel of Changed was not closed")
	}
}

func TestOlderHeartbeat(t *testing.T) {
	known := &registrar.Target{StartMilliseconds: 5, Heartbeat: 9}
	assert.True(t, (&registrar.Target{StartMilliseconds: 5, Heartbeat: 8}).IsOlderThan(known))
	assert.False(t, (&registrar.Target{StartMilliseconds: 5, Heartbeat: 9}).IsOlderThan(known))
	assert.False(t, (&registrar.Target{StartMilliseconds: 6, Heartbeat: 1}).IsOlderThan(known), "the heartbeats of a new process start anew")
	assert.False(t, (&registrar.Target{StartMilliseconds: 5, Heartbeat: 1}).IsOlderThan(nil))
	assert.True(t, (&registrar.Target{StartMilliseconds: 4, Heartbeat: 99}).IsOlderThan(known), "a late heartbeat of an earlier process")
	assert.False(t, (&registrar.Target{Heartbeat: 1}).IsOlderThan(known), "an unknown start is not earlier")
}

// TestSupersededTarget checks that a target which crashed and restarted under another ID
// at the same address replaces the earlier one, whose entry has not expired yet.
func TestSupersededTarget(t *testing.T) {
	r := registrar.New()
	put := func(targets ...registrar.Target) []string {
		return r.Update(func(table map[string]*registrar.Target) {
			for _, x := range targets {
				table[x.ID] = &x
			}
		})
	}
	assert.Empty(t, put(
		registrar.Target{ID: "old", Address: "10.0.0.1:80", Service: "s", StartMilliseconds: 5},
		registrar.Target{ID: "other", Address: "10.0.0.2:80", Service: "s", StartMilliseconds: 5},
	))
	assert.Equal(t, []string{"old"}, put(registrar.Target{ID: "new", Address: "10.0.0.1:80", Service: "another", StartMilliseconds: 9}))
	assert.Nil(t, r.View().Targets["old"])
	assert.NotNil(t, r.View().Targets["other"])
	t.Run("a late entry does not bring it back", func(t *testing.T) {
		assert.Equal(t, []string{"old"}, put(registrar.Target{ID: "old", Address: "10.0.0.1:80", Service: "s", StartMilliseconds: 5, Heartbeat: 9}))
		assert.Nil(t, r.View().Targets["old"])
	})
	t.Run("without a start time both stay", func(t *testing.T) {
		assert.Empty(t, put(registrar.Target{ID: "odd", Address: "10.0.0.2:80", Service: "s"}))
		assert.NotNil(t, r.View().Targets["odd"])
	})
}

// TestKeyOfTwoAccounts guards against instances that attribute a request to different accounts.
func TestKeyOfTwoAccounts(t *testing.T) {
	key := registrar.DigestKey("shared")
	accounts := map[string]*registrar.Account{}
	for _, name := range []string{"c", "a", "b", "d"} {
		accounts[name] = &registrar.Account{Name: name, Keys: []registrar.KeyDigest{key}}
	}
	for range 20 {
		r := registrar.New()
		r.SetManifest(&registrar.Manifest{Version: 1, Accounts: accounts})
		assert.Equal(t, "a", r.View().AccountOf(key).Name)
	}
}
