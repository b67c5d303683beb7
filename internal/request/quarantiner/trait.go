package quarantiner

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Kind is a kind of traits.
type Kind string

// Kinds of traits.
const (
	// Content is the whole content of a request.
	Content Kind = "Content"
	// Part is a part of a prompt that other requests may bear as well.
	Part Kind = "Part"
)

// sharedKinds holds the kinds whose traits requests share that differ otherwise. What such a trait
// is blamed for is judged by the answers to other requests too; see traffic.go.
var sharedKinds = []Kind{Part}

// maxNameBytes bounds the name of a trait in verdicts of peers.
const maxNameBytes = 128

// Trait is something that requests may have in common and that may crash the targets on which
// they run. It is comparable.
type Trait struct {
	Kind Kind
	// Fingerprint identifies a Content. It is zero for other kinds.
	Fingerprint Fingerprint
	// Service and Name identify a trait of another kind.
	Service string
	Name    string
}

// ContentTrait returns the trait that only equal requests share.
func ContentTrait(f Fingerprint) Trait { return Trait{Kind: Content, Fingerprint: f} }

// PartTrait returns the trait of all requests to a service whose prompts contain a part.
func PartTrait(service, part string) Trait { return Trait{Kind: Part, Service: service, Name: part} }

// ParseTrait returns the trait of a kind that has a label; false if it is none.
func ParseTrait(kind Kind, service, label string) (t Trait, ok bool) {
	if kind == Content {
		f, ok := ParseFingerprint(label)
		return ContentTrait(f), ok
	}
	isKnown := slices.Contains(sharedKinds, kind)
	return Trait{Kind: kind, Service: service, Name: label}, isKnown && len(label) <= maxNameBytes && len(service) <= maxNameBytes
}

// Label returns the text that identifies the trait among those of its kind and service.
func (t Trait) Label() string {
	if t.Kind == Content {
		return t.Fingerprint.String()
	}
	return t.Name
}

func (t Trait) isShared() bool { return t.Kind != Content }

// digest returns a number that identifies a verdict on the trait.
func (t Trait) digest(revision int64, isSuspect, isConvicted bool) uint64 {
	text := t.Fingerprint[:]
	for _, part := range []string{string(t.Kind), t.Service, t.Name} {
		text = binary.BigEndian.AppendUint64(text, uint64(len(part)))
		text = append(text, part...)
	}
	text = binary.BigEndian.AppendUint64(text, uint64(revision))
	text = strconv.AppendBool(text, isSuspect)
	return xxhash.Sum64(strconv.AppendBool(text, isConvicted))
}
