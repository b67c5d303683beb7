// Package applier compares declarations, settings kept in files, to the settings
// in force and works out the changes between them.
package applier

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/control/configurer"
	"github.com/crocusring/crocusring/internal/wire/inspector"
)

// Declaration is the value that a path shall have.
type Declaration struct {
	Path  configurer.Path
	Value json.RawMessage
	File  string
	Line  int
}

// Set holds declarations by path.
type Set map[string]Declaration

// Load reads the declarations in files and in the folders among names, whose
// files ending in .json and .hujson are read. The error holds all faults and is
// inspector.ErrInvalid if there are some.
func Load(names []string) (Set, error) {
	files, err := list(names)
	if err != nil {
		return nil, err
	}
	all := Set{}
	faults := []*inspector.FaultError{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read declarations")
		}
		set, found := parse(file, text)
		faults = append(faults, found...)
		faults = append(faults, all.add(set)...)
	}
	return all, inspector.Join(faults)
}

func list(names []string) ([]string, error) {
	files := []string{}
	for _, name := range names {
		err := filepath.WalkDir(name, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			if path == name || slices.Contains([]string{".json", ".hujson"}, filepath.Ext(path)) {
				files = append(files, path)
			}
			return nil
		})
		if err != nil {
			return nil, errors.Wrap(err, "list declarations")
		}
	}
	return files, nil
}

// add takes over the declarations of another file and returns the faults of
// paths that are declared in both.
func (s Set) add(other Set) []*inspector.FaultError {
	faults := []*inspector.FaultError{}
	for _, d := range other.sorted() {
		if first, known := s[d.Path.Text]; known {
			faults = append(faults, &inspector.FaultError{
				File: d.File, Line: d.Line, Key: d.Path.Text, Message: fmt.Sprintf("declared at %s:%d too", first.File, first.Line),
			})
			continue
		}
		s[d.Path.Text] = d
	}
	return faults
}

func (s Set) sorted() []Declaration {
	list := make([]Declaration, 0, len(s))
	for _, d := range s {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b Declaration) int { return strings.Compare(a.Path.Text, b.Path.Text) })
	return list
}

// Parse checks declarations, an object from path to value in JSON with comments,
// that came from file. The error is inspector.ErrInvalid.
func Parse(file string, text []byte) (Set, error) {
	set, faults := parse(file, text)
	return set, inspector.Join(faults)
}

func parse(file string, text []byte) (Set, []*inspector.FaultError) {
	doc := inspector.InspectMap(text, typeAt)
	faults := doc.Faults
	for _, f := range faults {
		f.File = file
	}
	set := Set{}
	var values map[string]json.RawMessage
	if json.Unmarshal(doc.Standard, &values) != nil {
		return set, faults // not an object, which is a fault already
	}
	for text, value := range values {
		d := Declaration{Value: value, File: file, Line: doc.Line(text)}
		var err error
		d.Path, err = configurer.ParsePath(text)
		if err == nil && !isBroken(doc.Faults, text) {
			err = configurer.CheckValue(d.Path, value)
		}
		if err != nil {
			faults = append(faults, &inspector.FaultError{File: file, Line: d.Line, Key: text, Message: err.Error()})
			continue
		}
		set[text] = d
	}
	return set, faults
}

// isBroken reports whether a fault is in the value of a path, so that it is not
// reported once more.
func isBroken(faults []*inspector.FaultError, path string) bool {
	return slices.ContainsFunc(faults, func(f *inspector.FaultError) bool {
		return f.Key == path || strings.HasPrefix(f.Key, path+".")
	})
}

func typeAt(text string) (reflect.Type, bool) {
	path, err := configurer.ParsePath(text)
	if err != nil {
		return nil, false
	}
	return configurer.ValueType(path.Kind), true
}
