// Package applier compares declarations, which are settings kept in files, with the
// settings in force and computes the changes that make the latter match.
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

// Declaration is the declared value of a settings path, and where it is declared.
type Declaration struct {
	Path  configurer.Path
	Value json.RawMessage
	File  string
	Line  int
}

// Set holds declarations by path.
type Set map[string]Declaration

// Load reads declarations from files and folders. Of a folder it reads the files
// whose names end in .json or .hujson. If declarations have faults, the error holds
// all of them and is inspector.ErrInvalid.
func Load(names []string) (Set, error) {
	files, err := listFiles(names)
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

// listFiles returns the files to read for names of files and folders.
func listFiles(names []string) ([]string, error) {
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

// add adds the declarations of another file and returns a fault for each path that
// is declared in both.
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

// sorted returns the declarations in the order of their paths.
func (s Set) sorted() []Declaration {
	list := make([]Declaration, 0, len(s))
	for _, d := range s {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b Declaration) int { return strings.Compare(a.Path.Text, b.Path.Text) })
	return list
}

// Parse decodes and checks declarations: a JSON object with comments that maps paths
// to values. Faults name file as the source of text. The error is
// inspector.ErrInvalid.
func Parse(file string, text []byte) (Set, error) {
	set, faults := parse(file, text)
	return set, inspector.Join(faults)
}

func parse(file string, text []byte) (Set, []*inspector.FaultError) {
	doc := inspector.InspectMap(text, valueTypeAt)
	faults := doc.Faults
	for _, f := range faults {
		f.File = file
	}
	set := Set{}
	var values map[string]json.RawMessage
	if json.Unmarshal(doc.Standard, &values) != nil {
		return set, faults // not an object, which faults already reports
	}
	for text, value := range values {
		d := Declaration{Value: value, File: file, Line: doc.Line(text)}
		var err error
		d.Path, err = configurer.ParsePath(text)
		if err == nil && !hasFault(doc.Faults, text) {
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

// hasFault reports whether faults already has a fault in the value of a path, so that
// the value is not checked and reported again.
func hasFault(faults []*inspector.FaultError, path string) bool {
	return slices.ContainsFunc(faults, func(f *inspector.FaultError) bool {
		return f.Key == path || strings.HasPrefix(f.Key, path+".")
	})
}

// valueTypeAt returns the type of the value at a settings path, false if the path is
// invalid.
func valueTypeAt(text string) (reflect.Type, bool) {
	path, err := configurer.ParsePath(text)
	if err != nil {
		return nil, false
	}
	return configurer.ValueType(path.Kind), true
}
