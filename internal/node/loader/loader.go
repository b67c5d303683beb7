// Package loader reads the settings of a process: JSON with comments, checked
// completely before anything starts.
package loader

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/url"
	"os"
	"reflect"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// ErrInvalid tells that settings are not valid. All faults are joined.
var ErrInvalid = errors.New("invalid settings")

// Settings are those of one process.
type Settings struct {
	// Instance is the ID of this instance in the platform's instance list.
	Instance   string
	DataCentre string
	// Listen is the address, IP number and port, for callers, operators and peers.
	Listen string
	// Platform is the HTTP URL of the platform's service.
	Platform string
	// PeerCredential is shared by all instances.
	PeerCredential string
	// OperatorDigest is the SHA-256 of the platform operators' credential in hexadecimal.
	OperatorDigest string
	// LogLevel is 0 for events and 1 for each request.
	LogLevel int
	Policy   Policy
}

// Policy holds the settings of the planner. Zero fields take the default.
type Policy struct {
	RequestsPerCopy  float64
	MostMoves        int
	StandbyCopies    int
	MinimumGain      float64
	StandbyGain      float64
	LoadsAtOnce      int
	LoadsPerSecond   float64
	AdaptersAtOnce   int
	AdapterShare     float64
	LeadMilliseconds int
	HoldMilliseconds int
}

// FaultError is one fault with its place.
type FaultError struct {
	File    string
	Line    int
	Key     string
	Message string
}

func (e *FaultError) Error() string {
	return errors.Errorf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Message).Error()
}

// Is reports whether target is ErrInvalid.
func (e *FaultError) Is(target error) bool { return target == ErrInvalid }

// Load reads and checks the settings in a file.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, text)
}

// Parse checks settings text that came from file.
func Parse(file string, text []byte) (Settings, error) {
	var s Settings
	std, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return s, &FaultError{File: file, Line: 1, Key: "-", Message: err.Error()}
	}
	faults := unknownKeys(file, std, reflect.TypeFor[Settings]())
	if err := json.Unmarshal(std, &s); err != nil {
		faults = append(faults, decodeFault(file, std, err))
		return s, errors.Join(faults...)
	}
	for _, f := range s.faults() {
		faults = append(faults, &FaultError{File: file, Line: lineOf(std, f.Key), Key: f.Key, Message: f.Message})
	}
	return s, errors.Join(faults...)
}

func decodeFault(file string, text []byte, err error) error {
	fault := &FaultError{File: file, Line: 1, Key: "-", Message: err.Error()}
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &typeErr):
		fault.Key = typeErr.Field
		fault.Line = 1 + bytes.Count(text[:typeErr.Offset], []byte("\n"))
	case errors.As(err, &syntaxErr):
		fault.Line = 1 + bytes.Count(text[:syntaxErr.Offset], []byte("\n"))
	}
	return fault
}

// unknownKeys returns a fault for each key that the type does not have. Keys are
// compared exactly.
func unknownKeys(file string, text []byte, typ reflect.Type) []error {
	var members map[string]json.RawMessage
	if json.Unmarshal(text, &members) != nil {
		return nil
	}
	faults := []error{}
	for key, value := range members {
		field, ok := typ.FieldByName(key)
		if !ok {
			faults = append(faults, &FaultError{File: file, Line: lineOf(text, key), Key: key, Message: "unknown key"})
			continue
		}
		if field.Type.Kind() == reflect.Struct {
			faults = append(faults, unknownKeys(file, value, field.Type)...)
		}
	}
	return faults
}

// lineOf returns the line of a key, given as a path with dots.
func lineOf(text []byte, key string) int {
	last := key[strings.LastIndexByte(key, '.')+1:]
	i := bytes.Index(text, []byte(`"`+last+`"`))
	if i < 0 {
		return 1
	}
	return 1 + bytes.Count(text[:i], []byte("\n"))
}

// fault is a fault before its place is known.
type fault struct {
	Key     string
	Message string
}

func (s *Settings) faults() []fault {
	faults := []fault{}
	add := func(bad bool, key, message string) {
		if bad {
			faults = append(faults, fault{Key: key, Message: message})
		}
	}
	add(!isID(s.Instance), "Instance", "must be lower-case letters, digits and hyphens")
	add(!isID(s.DataCentre), "DataCentre", "must be lower-case letters, digits and hyphens")
	add(!isAddress(s.Listen), "Listen", "must be an IP number and a port")
	add(!isBaseURL(s.Platform), "Platform", "must be an HTTP URL without path")
	add(len(s.PeerCredential) < leastCredential, "PeerCredential", "must have 16 characters or more")
	add(!isDigest(s.OperatorDigest), "OperatorDigest", "must be 64 hexadecimal digits")
	add(s.LogLevel < 0 || s.LogLevel > 1, "LogLevel", "must be 0 or 1")
	add(s.Policy.RequestsPerCopy < 0, "Policy.RequestsPerCopy", "must be 0 or more")
	add(s.Policy.MostMoves < 0, "Policy.MostMoves", "must be 0 or more")
	s.Policy.addFaults(add)
	return faults
}

func (p *Policy) addFaults(add func(bad bool, key, message string)) {
	const message = "must be 0 or more"
	add(p.StandbyCopies < 0, "Policy.StandbyCopies", message)
	add(p.MinimumGain < 0, "Policy.MinimumGain", message)
	add(p.StandbyGain < 0, "Policy.StandbyGain", message)
	add(p.LoadsAtOnce < 0, "Policy.LoadsAtOnce", message)
	add(p.LoadsPerSecond < 0, "Policy.LoadsPerSecond", message)
	add(p.AdaptersAtOnce < 0, "Policy.AdaptersAtOnce", message)
	add(p.AdapterShare < 0 || p.AdapterShare > 1, "Policy.AdapterShare", "must be from 0 to 1")
	add(p.LeadMilliseconds < 0, "Policy.LeadMilliseconds", message)
	add(p.HoldMilliseconds < 0, "Policy.HoldMilliseconds", message)
}

const (
	leastCredential = 16 // characters
	digestBytes     = 32
)

func isID(s string) bool {
	return s != "" && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

func isAddress(s string) bool {
	host, _, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil
}

func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && u.Scheme == "http" && u.Host != "" && u.Path == ""
}

func isDigest(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == digestBytes
}

// Digest returns OperatorDigest as bytes.
func (s *Settings) Digest() [digestBytes]byte {
	var d [digestBytes]byte
	raw, err := hex.DecodeString(s.OperatorDigest)
	if err == nil {
		copy(d[:], raw)
	}
	return d
}
