package configurer

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// example is a case of testdata/paths.json or testdata/values.json.
type example struct {
	Name  string
	Path  string
	Owner string
	Kind  Kind
	Value string
}

func readExamples(t testing.TB, name string) []example {
	t.Helper()
	text, err := os.ReadFile("testdata/" + name)
	require.NoError(t, err)
	text, err = hujson.Standardize(text)
	require.NoError(t, err)
	var list []example
	require.NoError(t, json.Unmarshal(text, &list))
	return list
}

func TestParsePath(t *testing.T) {
	for _, e := range readExamples(t, "paths.json") {
		t.Run(e.Path, func(t *testing.T) {
			path, err := ParsePath(e.Path)
			if e.Kind == "" {
				assert.ErrorIs(t, err, ErrBadPath)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, e.Kind, path.Kind)
			assert.Equal(t, e.Owner, path.Owner)
		})
	}
}

func TestCheckValue(t *testing.T) {
	for _, e := range readExamples(t, "values.json") {
		t.Run(e.Name, func(t *testing.T) {
			path, err := ParsePath(e.Path)
			require.NoError(t, err)
			assert.ErrorIs(t, CheckValue(path, json.RawMessage(e.Value)), ErrBadValue)
		})
	}
}

func setChange(path, value string) messenger.SettingChange {
	return messenger.SettingChange{Path: path, Value: json.RawMessage(value)}
}

func deleteChange(path string) messenger.SettingChange {
	return messenger.SettingChange{Path: path, Version: 1, Delete: true}
}

const (
	modelValue   = `{"Version":"v1","Bytes":1,"Copies":1,"MaximumCopies":0}`
	adapterValue = `{"Version":"v1","Bytes":1}`
	teamValue    = `{"CredentialDigest":"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855","RequestsPerSecond":0,"Burst":0,"InFlight":0}`
)

func TestReferences(t *testing.T) {
	for _, c := range []struct {
		name    string
		changes []messenger.SettingChange
		want    error
	}{
		{"an adapter without its model", []messenger.SettingChange{setChange("/platform/adapters/elm/a", adapterValue)}, ErrBadValue},
		{"an adapter with its model", []messenger.SettingChange{setChange("/platform/adapters/elm/a", adapterValue), setChange("/platform/models/elm", modelValue)}, nil},
		{"an adapter of a team on a model of the platform", []messenger.SettingChange{setChange("/teams/wil/adapters/oak/a", adapterValue)}, ErrBadValue},
		{"a model that has adapters is deleted", []messenger.SettingChange{deleteChange("/platform/models/oak")}, ErrBadValue},
		{"a model is deleted with its adapters", []messenger.SettingChange{deleteChange("/platform/models/oak"), deleteChange("/platform/adapters/oak/a.1")}, nil},
		{"a subtree without its team", []messenger.SettingChange{setChange("/teams/ver/models/oak", modelValue)}, ErrBadValue},
		{"a team that has settings is deleted", []messenger.SettingChange{deleteChange("/platform/teams/wil")}, ErrBadValue},
		{"two adapters with one name at engines", []messenger.SettingChange{setChange("/platform/adapters/oak/a", `{"Version":"1.v1","Bytes":1}`)}, ErrBadValue},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestStore()
			configurer := s.configurer()
			mustChange(t, configurer, "first", setChange("/platform/teams/wil", teamValue), setChange("/teams/wil/models/own", modelValue),
				setChange("/platform/models/oak", modelValue), setChange("/platform/adapters/oak/a.1", adapterValue))
			before := s.platform.Rows(settingsTable)
			_, err := configurer.Change(request("second", c.changes...))
			require.ErrorIs(t, err, c.want)
			if c.want != nil {
				assert.Equal(t, before, s.platform.Rows(settingsTable))
			}
		})
	}
}

// FuzzParsePath checks that a path has one spelling and is in the subtree of its
// parsed owner only.
func FuzzParsePath(f *testing.F) {
	for _, e := range readExamples(f, "paths.json") {
		f.Add(e.Path)
	}
	f.Fuzz(func(t *testing.T, text string) {
		path, err := ParsePath(text)
		if err != nil {
			assert.ErrorIs(t, err, ErrBadPath)
			return
		}
		assert.Equal(t, text, path.Text)
		assert.True(t, strings.HasPrefix(text, Operator{Team: path.Owner}.Subtree()))
		assert.False(t, Operator{Team: path.Owner + "x"}.MayChange(path))
	})
}

// FuzzCheckValue checks that the catalog includes each value that passes the check.
func FuzzCheckValue(f *testing.F) {
	for _, e := range readExamples(f, "values.json") {
		f.Add(e.Path, e.Value)
	}
	f.Add("/platform/models/oak", modelValue)
	f.Add("/platform/teams/wil", teamValue)
	f.Fuzz(func(t *testing.T, text, value string) {
		path, err := ParsePath(text)
		if err != nil || CheckValue(path, json.RawMessage(value)) != nil {
			return
		}
		c := buildCatalog([]messenger.SettingEntry{{Path: text, Revision: 1, Value: json.RawMessage(value)}}, 1)
		kept := len(c.Models) + len(c.Adapters) + len(c.Services) + len(c.Teams)
		assert.True(t, kept == 1 || path.Kind == KindLimit)
	})
}
