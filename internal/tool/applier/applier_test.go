package applier

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/wire/inspector"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const declarations = `{
	// A model and its adapter.
	"/platform/models/oak": {"Version": "v1", "Bytes": 10, "Copies": 2, "MaximumCopies": 0},
	"/platform/adapters/oak/trim": {"Version": "v1", "Bytes": 1},
}`

func assertFaults(t *testing.T, err error, want ...string) {
	t.Helper()
	require.ErrorIs(t, err, inspector.ErrInvalid)
	for _, w := range want {
		assert.Contains(t, err.Error(), w)
	}
	assert.Equal(t, len(want), strings.Count(err.Error(), "f.json:"), err.Error())
}

func TestParse(t *testing.T) {
	t.Run("all faults at once", func(t *testing.T) {
		_, err := Parse("f.json", []byte(`{
			"/platform/models/oak": {"Version": "v1",
				"bytes": 10},
			"/platform/models/../elm": {},
			"/platform/models/oak": {},
			"/platform/models/ash": {"Version": "v1", "Bytes": -1},
		}`))
		assertFaults(t, err, "f.json:3: /platform/models/oak.bytes: unknown key", "f.json:4: /platform/models/../elm: ",
			"f.json:5: /platform/models/oak: key is repeated", "f.json:6: /platform/models/ash: Bytes -1")
	})
	for name, text := range map[string]string{"syntax": "{", "list": "[]", "null": "null", "path twice": `{"x":1,"x":2}`} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f.json", []byte(text))
			assert.ErrorIs(t, err, inspector.ErrInvalid)
		})
	}
}

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"a.json", "b.hujson", "notes.txt"} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(declarations), 0o600))
	}
	_, err := Load([]string{dir})
	require.ErrorIs(t, err, inspector.ErrInvalid)
	assert.Contains(t, err.Error(), "b.hujson:3: /platform/models/oak: declared at "+filepath.Join(dir, "a.json")+":3 too")
	set, err := Load([]string{filepath.Join(dir, "a.json")})
	require.NoError(t, err)
	assert.Len(t, set, 2)
}

func entry(path, value string) messenger.SettingEntry {
	return messenger.SettingEntry{Path: path, Version: 3, Value: json.RawMessage(value)}
}

func mustParse(t *testing.T, text string) Set {
	t.Helper()
	set, err := Parse("f.json", []byte(text))
	require.NoError(t, err)
	return set
}

func TestPlan(t *testing.T) {
	present := messenger.SettingsAnswer{Subtree: "/platform/", Entries: []messenger.SettingEntry{
		entry("/platform/adapters/oak/trim", `{"Bytes":1,"Version":"v1"}`),
		entry("/platform/models/elm", `{"Version":"v1","Bytes":7,"Copies":0,"MaximumCopies":0}`),
		entry("/platform/models/oak", `{"Version":"v1","Bytes":9,"Copies":2,"MaximumCopies":0}`),
		entry("/teams/wil/limits", `{"RequestsPerSecond":1,"Burst":0,"InFlight":0}`),
	}}
	diffs := Plan(mustParse(t, declarations), present, true)
	var out bytes.Buffer
	require.NoError(t, Print(&out, diffs))
	assert.Equal(t, `- /platform/models/elm
    Bytes: 7, to be deleted
    Copies: 0, to be deleted
    MaximumCopies: 0, to be deleted
    Version: "v1", to be deleted
~ /platform/models/oak
    Bytes: 9 -> 10
`, out.String())
	batches := Batches(diffs)
	require.Len(t, batches, 1)
	assert.Equal(t, "/platform/models/oak", batches[0][0].Path)
	assert.Equal(t, int64(3), batches[0][0].Version)
	assert.True(t, batches[0][1].Delete)
	assert.Len(t, Plan(mustParse(t, declarations), present, false), 1, "without prune nothing is deleted")
}

func TestPlanIsIdempotent(t *testing.T) {
	for _, dir := range []string{"wilgenrand", "verein"} {
		set, err := Load([]string{"../../../examples/" + dir + "/declarations"})
		require.NoError(t, err)
		present := messenger.SettingsAnswer{Subtree: "/platform/"}
		for _, d := range set {
			present.Entries = append(present.Entries, messenger.SettingEntry{Path: d.Path.Text, Version: 1, Value: d.Value})
		}
		assert.Empty(t, Plan(set, present, true))
		var out bytes.Buffer
		require.NoError(t, Format(&out, present.Entries))
		again, err := Parse("again.json", out.Bytes())
		require.NoError(t, err)
		assert.Empty(t, Plan(again, present, true))
	}
}

func TestBatchesKeepReferences(t *testing.T) {
	const models = 600
	text := strings.Builder{}
	for i := range models {
		fmt.Fprintf(&text, `"/platform/adapters/m%d/a": {"Version":"v1","Bytes":1}, "/platform/models/m%d": {"Version":"v1","Bytes":1},`, i, i)
	}
	seen := map[string]bool{}
	for _, batch := range Batches(Plan(mustParse(t, "{"+text.String()+"}"), messenger.SettingsAnswer{}, false)) {
		assert.LessOrEqual(t, len(batch), maxBatchChanges)
		for _, change := range batch {
			seen[change.Path] = true
			if model, isAdapter := strings.CutPrefix(strings.TrimSuffix(change.Path, "/a"), "/platform/adapters/"); isAdapter {
				assert.True(t, seen["/platform/models/"+model])
			}
		}
	}
	assert.Len(t, seen, 2*models)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(declarations))
	f.Add([]byte(`{"/teams/a/limits": null, "/platform/teams/a.b": {}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := Parse("f.json", text)
		if err != nil {
			assert.ErrorIs(t, err, inspector.ErrInvalid)
			return
		}
		assert.Empty(t, Plan(set, messenger.SettingsAnswer{Entries: entriesOf(set)}, true))
	})
}

func entriesOf(set Set) []messenger.SettingEntry {
	list := []messenger.SettingEntry{}
	for _, d := range set {
		list = append(list, messenger.SettingEntry{Path: d.Path.Text, Version: 1, Value: d.Value})
	}
	return list
}
