// Package loader reads the settings of an instance from a file of JSON with
// comments. It checks them completely and reports all faults at once, so that an
// instance starts only with valid settings.
package loader

import (
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/wire/inspector"
)

// Settings are the settings of one entry instance.
type Settings struct {
	// Instance is the ID of this instance in the platform's instance list.
	Instance   string
	DataCentre string
	// Listen is the address, IP number and port, that callers, operators and peers
	// connect to.
	Listen string
	// Platform is the HTTP URL of the platform's service.
	Platform string
	// PeerCredential is the secret with which instances authenticate to each other.
	// All instances share it.
	PeerCredential string
	// OperatorDigest is the SHA-256 of the platform operators' credential in hexadecimal.
	OperatorDigest string
	// LogLevel is 0 to log events only and 1 to log each request too.
	LogLevel int
	Policy   Policy
}

// Policy holds the settings of the planner. A zero field stands for its default.
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

// Load reads the settings of an entry instance from a file and checks them.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, text)
}

// Parse decodes and checks the settings of an entry instance. Faults name file as
// the source of text. The error holds all faults and is inspector.ErrInvalid.
func Parse(file string, text []byte) (Settings, error) {
	return parse(file, text, (*Settings).faults)
}

// parse decodes settings text. Besides the faults of decoding it reports those that
// faultsOf finds in the decoded values.
func parse[T any](file string, text []byte, faultsOf func(*T) []fault) (T, error) {
	var s T
	doc := inspector.DecodeCommented(text, &s)
	faults := doc.Faults
	broken := map[string]bool{}
	for _, f := range faults {
		f.File = file
		broken[f.Key] = true
	}
	if len(faults) > 0 {
		// The values that could be decoded are checked too, so that one run reports
		// all faults.
		s = decodeRest[T](doc.Standard)
	}
	if len(doc.Standard) == 0 {
		return s, inspector.Join(faults)
	}
	for _, f := range faultsOf(&s) {
		if !broken[f.Key] {
			faults = append(faults, &inspector.FaultError{File: file, Line: doc.Line(f.Key), Key: f.Key, Message: f.Message})
		}
	}
	return s, inspector.Join(faults)
}

// decodeRest decodes the values that have the type of their field. It ignores errors
// because the other values are already reported as faults.
func decodeRest[T any](text []byte) T {
	var s T
	_ = json.Unmarshal(text, &s)
	return s
}

// fault is an invalid value of the setting Key, before its file and line are added.
type fault struct {
	Key     string
	Message string
}

// faults returns the values of s that are out of range.
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
	add(len(s.PeerCredential) < minCredentialLength, "PeerCredential", "must have 16 characters or more")
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
	minCredentialLength = 16 // characters
	digestBytes         = 32
)

func isID(s string) bool {
	return s != "" && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

func isAddress(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && !address.Addr().IsUnspecified() && address.Port() > 0
}

func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && u.Scheme == "http" && u.Host != "" && *u == url.URL{Scheme: u.Scheme, Host: u.Host}
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
