package applier

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/crocusring/crocusring/internal/control/configurer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// Difference is a path whose value in force differs from the declared one. Old is
// empty for a path that is not set, New is empty for a path to delete. Version is the
// version of the value in force, 0 if there is none.
type Difference struct {
	Path    configurer.Path
	Version int64
	Old     json.RawMessage
	New     json.RawMessage
}

// Plan returns the differences between the declarations and the settings in force, in
// the order of their paths. With prune, undeclared paths in the operator's subtree
// are to be deleted.
func Plan(declared Set, present messenger.SettingsAnswer, prune bool) []Difference {
	diffs := []Difference{}
	current := map[string]messenger.SettingEntry{}
	for _, e := range present.Entries {
		current[e.Path] = e
		path, err := configurer.ParsePath(e.Path)
		_, isDeclared := declared[e.Path]
		if prune && err == nil && !isDeclared && strings.HasPrefix(e.Path, present.Subtree) {
			diffs = append(diffs, Difference{Path: path, Version: e.Version, Old: e.Value})
		}
	}
	for _, d := range declared.sorted() {
		e, isSet := current[d.Path.Text]
		if !isSet || !isSame(d.Path, e.Value, d.Value) {
			diffs = append(diffs, Difference{Path: d.Path, Version: e.Version, Old: e.Value, New: d.Value})
		}
	}
	slices.SortFunc(diffs, func(a, b Difference) int { return strings.Compare(a.Path.Text, b.Path.Text) })
	return diffs
}

// isSame reports whether two values decode to the same value of their type. The order
// of keys does not matter, and a missing key equals one with the zero value.
func isSame(path configurer.Path, a, b json.RawMessage) bool {
	x, y := reflect.New(configurer.ValueType(path.Kind)), reflect.New(configurer.ValueType(path.Kind))
	if json.Unmarshal(a, x.Interface()) != nil || json.Unmarshal(b, y.Interface()) != nil {
		return bytes.Equal(a, b)
	}
	return reflect.DeepEqual(x.Interface(), y.Interface())
}

// maxBatchChanges is the largest number of changes in one batch.
const maxBatchChanges = 500

// Batches returns the changes for diffs in batches that can be accepted one after the
// other: settings that others refer to are set first and deleted last. The changes of
// one batch take effect together.
func Batches(diffs []Difference) [][]messenger.SettingChange {
	ordered := slices.Clone(diffs)
	slices.SortStableFunc(ordered, func(a, b Difference) int { return cmp.Compare(changeOrder(a), changeOrder(b)) })
	changes := make([]messenger.SettingChange, 0, len(ordered))
	for _, d := range ordered {
		changes = append(changes, messenger.SettingChange{
			Path: d.Path.Text, Version: d.Version, Delete: len(d.New) == 0, Value: d.New,
		})
	}
	return slices.Collect(slices.Chunk(changes, maxBatchChanges))
}

// changeOrder returns the sort key of a change: teams, models, all others, and then the
// deletions in reverse order.
func changeOrder(d Difference) int {
	order := []configurer.Kind{configurer.KindTeam, configurer.KindModel}
	i := slices.Index(order, d.Path.Kind)
	if i < 0 {
		i = len(order)
	}
	if len(d.New) == 0 {
		return 2*len(order) + 1 - i
	}
	return i
}

// Print writes the differences by path, with the members of the value that change.
func Print(w io.Writer, diffs []Difference) error {
	for _, d := range diffs {
		sign := "~"
		switch {
		case len(d.Old) == 0:
			sign = "+"
		case len(d.New) == 0:
			sign = "-"
		}
		if _, err := fmt.Fprintf(w, "%s %s\n", sign, d.Path.Text); err != nil {
			return err
		}
		if err := printMembers(w, members(d.Path, d.Old), members(d.Path, d.New)); err != nil {
			return err
		}
	}
	return nil
}

// members returns the members of a value by key, each as JSON text.
func members(path configurer.Path, value json.RawMessage) map[string]string {
	list := map[string]string{}
	out := reflect.New(configurer.ValueType(path.Kind))
	if len(value) == 0 || json.Unmarshal(value, out.Interface()) != nil {
		return list
	}
	for i := range out.Elem().NumField() {
		text, err := json.Marshal(out.Elem().Field(i).Interface())
		if err == nil {
			list[out.Elem().Type().Field(i).Name] = string(text)
		}
	}
	return list
}

// printMembers writes the members that differ between two values.
func printMembers(w io.Writer, before, after map[string]string) error {
	keys := maps.Clone(before)
	maps.Copy(keys, after)
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		var err error
		switch {
		case before[key] == after[key]:
		case before[key] == "":
			_, err = fmt.Fprintf(w, "    %s: %s\n", key, after[key])
		case after[key] == "":
			_, err = fmt.Fprintf(w, "    %s: %s, to be deleted\n", key, before[key])
		default:
			_, err = fmt.Fprintf(w, "    %s: %s -> %s\n", key, before[key], after[key])
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Format writes settings as declarations.
func Format(w io.Writer, entries []messenger.SettingEntry) error {
	values := map[string]json.RawMessage{}
	for _, e := range entries {
		values[e.Path] = e.Value
	}
	text, err := json.MarshalIndent(values, "", "\t")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}
