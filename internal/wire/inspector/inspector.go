// Package inspector decodes JSON, with or without comments, and reports everything
// that does not match the Go type it is decoded into: unknown and repeated keys, null
// and values of a wrong JSON type, each with its key and line.
package inspector

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// ErrInvalid reports that a text is not valid JSON or does not match its type.
var ErrInvalid = errors.New("invalid JSON")

// FaultError is one fault and its position. File is empty for a text that is not from
// a file. Key is a path of keys joined by dots, "-" for the document as a whole.
type FaultError struct {
	File    string
	Line    int
	Key     string
	Message string
}

func (e *FaultError) Error() string {
	if e.File == "" {
		return e.Key + ": " + e.Message
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Message)
}

// Is reports whether target is ErrInvalid.
func (e *FaultError) Is(target error) bool { return target == ErrInvalid }

// wholeDocument is the key of faults that concern the document as a whole.
const wholeDocument = "-"

// Document is the result of inspecting a text.
type Document struct {
	// Faults are in the order of the text.
	Faults []*FaultError
	// Standard is the text as standard JSON, without comments and with unchanged
	// line numbers. It is empty if the text could not be parsed.
	Standard []byte
	lines    map[string]int
}

// Line returns the line of a key, or that of its nearest enclosing key if the text
// does not contain it.
func (d *Document) Line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 1
}

// Err returns all faults joined, or nil.
func (d *Document) Err() error {
	return Join(d.Faults)
}

// Join joins faults in the order of their files, lines and keys, or returns nil if there are none.
func Join(faults []*FaultError) error {
	slices.SortStableFunc(faults, func(a, b *FaultError) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), strings.Compare(a.Key, b.Key))
	})
	list := make([]error, 0, len(faults))
	for _, f := range faults {
		list = append(list, f)
	}
	return errors.Join(list...)
}

// Decode decodes standard JSON, without comments, into out, a pointer. The error holds
// all faults.
func Decode(text []byte, out any) error {
	// json.Valid also limits the nesting depth of the text.
	if !json.Valid(text) {
		var ignored json.RawMessage
		return &FaultError{Line: 1, Key: wholeDocument, Message: fmt.Sprint(json.Unmarshal(text, &ignored))}
	}
	return DecodeCommented(text, out).Err()
}

// DecodeCommented decodes JSON with comments and trailing commas into out, a
// pointer. It decodes into out only if the inspection finds no faults.
func DecodeCommented(text []byte, out any) *Document {
	doc := Inspect(text, reflect.TypeOf(out).Elem())
	if len(doc.Faults) > 0 {
		return doc
	}
	if err := json.Unmarshal(doc.Standard, out); err != nil {
		doc.Faults = append(doc.Faults, decodeFault(doc.Standard, err))
	}
	return doc
}

// decodeFault returns the fault for an error that only decoding detects, such as a
// number out of range.
func decodeFault(text []byte, err error) *FaultError {
	fault := &FaultError{Line: 1, Key: wholeDocument, Message: err.Error()}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		fault.Line = lineAt(text, int(typeErr.Offset))
		fault.Message = "value is out of range"
		if typeErr.Field != "" {
			fault.Key = typeErr.Field
		}
	}
	return fault
}

func lineAt(text []byte, offset int) int {
	return 1 + bytes.Count(text[:min(offset, len(text))], []byte("\n"))
}

// Inspect checks JSON with comments against a type.
func Inspect(text []byte, typ reflect.Type) *Document {
	return inspect(text, typ, nil)
}

// InspectMap checks JSON with comments that holds an object. typeOf returns the type
// of the member with a key; a member whose key has no type is not checked.
func InspectMap(text []byte, typeOf func(key string) (reflect.Type, bool)) *Document {
	return inspect(text, reflect.TypeFor[map[string]json.RawMessage](), typeOf)
}

func inspect(text []byte, typ reflect.Type, typeOf func(key string) (reflect.Type, bool)) *Document {
	doc := &Document{lines: map[string]int{}}
	value, err := hujson.Parse(bytes.Clone(text)) // Standardize below modifies its input
	if err != nil {
		doc.Faults = append(doc.Faults, syntaxFault(err))
		return doc
	}
	w := walker{doc: doc, text: text, typeOf: typeOf}
	w.value(value, typ, "")
	value.Standardize()
	doc.Standard = value.Pack()
	return doc
}

func syntaxFault(err error) *FaultError {
	fault := &FaultError{Line: 1, Key: wholeDocument, Message: strings.TrimPrefix(err.Error(), "hujson: ")}
	var column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &fault.Line, &column); scanErr != nil {
		fault.Line = 1
	}
	return fault
}

// walker traverses a document together with the type that it is checked against.
type walker struct {
	doc  *Document
	text []byte
	// typeOf, if set, returns the types of the members of the top-level object.
	typeOf func(key string) (reflect.Type, bool)
}

// addFault records a fault at a byte offset of the text.
func (w *walker) addFault(at int, key, message string) {
	if key == "" {
		key = wholeDocument
	}
	w.doc.Faults = append(w.doc.Faults, &FaultError{Line: lineAt(w.text, at), Key: key, Message: message})
}

var rawMessage = reflect.TypeFor[json.RawMessage]()

func (w *walker) value(v hujson.Value, typ reflect.Type, key string) {
	if typ == rawMessage {
		return
	}
	if v.Value.Kind() == 'n' {
		w.addFault(v.StartOffset, key, "must not be null")
		return
	}
	switch typ.Kind() {
	case reflect.Struct, reflect.Map:
		if object, ok := v.Value.(*hujson.Object); ok {
			w.object(object, typ, key)
			return
		}
		w.addFault(v.StartOffset, key, "must be an object")
	case reflect.Slice:
		array, ok := v.Value.(*hujson.Array)
		if !ok {
			w.addFault(v.StartOffset, key, "must be a list")
			return
		}
		for i, element := range array.Elements {
			w.value(element, typ.Elem(), fmt.Sprintf("%s[%d]", key, i))
		}
	default:
		w.literal(v, typ, key)
	}
}

func (w *walker) object(object *hujson.Object, typ reflect.Type, key string) {
	seen := map[string]bool{}
	for _, member := range object.Members {
		literal, ok := member.Name.Value.(hujson.Literal)
		if !ok {
			continue
		}
		name := literal.String()
		full := name
		if key != "" {
			full = key + "." + name
		}
		at := member.Name.StartOffset
		if seen[name] {
			w.addFault(at, full, "key is repeated")
			continue
		}
		seen[name] = true
		w.doc.lines[full] = lineAt(w.text, at)
		if memberType, known := w.typeOfMember(typ, key, name); known {
			w.value(member.Value, memberType, full)
		} else {
			w.addFault(at, full, "unknown key")
		}
	}
}

// typeOfMember returns the type of a member of the object at key, and false if the
// object has no such member. Names are case-sensitive.
func (w *walker) typeOfMember(typ reflect.Type, key, name string) (reflect.Type, bool) {
	if key == "" && w.typeOf != nil {
		if member, known := w.typeOf(name); known {
			return member, true
		}
	}
	if typ.Kind() == reflect.Map {
		return typ.Elem(), true
	}
	for i := range typ.NumField() {
		field := typ.Field(i)
		tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if tag == name || (tag == "" && field.Name == name) {
			return field.Type, true
		}
	}
	return nil, false
}

func (w *walker) literal(v hujson.Value, typ reflect.Type, key string) {
	kind := v.Value.Kind()
	switch typ.Kind() {
	case reflect.String:
		w.expect(kind == '"', v, key, "must be a string")
	case reflect.Bool:
		w.expect(kind == 't' || kind == 'f', v, key, "must be true or false")
	case reflect.Float64:
		w.expect(kind == '0', v, key, "must be a number")
	default:
		literal, ok := v.Value.(hujson.Literal)
		isWhole := ok && kind == '0' && !bytes.ContainsAny(literal, ".eE")
		w.expect(isWhole, v, key, "must be a whole number")
	}
}

// expect records a fault at v unless holds is true.
func (w *walker) expect(holds bool, v hujson.Value, key, message string) {
	if !holds {
		w.addFault(v.StartOffset, key, message)
	}
}
