package quarantiner

// Kind is a kind of traits.
type Kind string

// Kinds of traits.
const (
	// Content is the whole content of a request.
	Content Kind = "Content"
	// Part is a part of a prompt that other requests may bear as well.
	Part Kind = "Part"
)

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

// Label returns the text that identifies the trait among those of its kind and service.
func (t Trait) Label() string {
	if t.Kind == Content {
		return t.Fingerprint.String()
	}
	return t.Name
}
