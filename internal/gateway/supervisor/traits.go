package supervisor

import (
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

func encodeTrait(t quarantiner.Trait) messenger.Trait {
	return messenger.Trait{Kind: string(t.Kind), Service: t.Service, Name: t.Label()}
}

func encodeTraits(traits []quarantiner.Trait) []messenger.Trait {
	out := make([]messenger.Trait, 0, len(traits))
	for _, t := range traits {
		out = append(out, encodeTrait(t))
	}
	return out
}

// decodeTrait returns the trait of a message; false if it is none.
func decodeTrait(t messenger.Trait) (trait quarantiner.Trait, ok bool) {
	return quarantiner.ParseTrait(quarantiner.Kind(t.Kind), t.Service, t.Name)
}

// decodeTraits returns the traits of a message, without those that are none.
func decodeTraits(in []messenger.Trait) []quarantiner.Trait {
	out := make([]quarantiner.Trait, 0, len(in))
	for _, t := range in {
		if trait, ok := decodeTrait(t); ok {
			out = append(out, trait)
		}
	}
	return out
}

func encodeLosses(losses []quarantiner.Loss) []messenger.Loss {
	out := make([]messenger.Loss, 0, len(losses))
	for _, l := range losses {
		out = append(out, messenger.Loss{Trait: encodeTrait(l.Trait), HasBegun: l.HasBegun})
	}
	return out
}

// decodeLosses returns the losses of a message, without those of no trait.
func decodeLosses(in []messenger.Loss) []quarantiner.Loss {
	out := make([]quarantiner.Loss, 0, len(in))
	for _, l := range in {
		if trait, ok := decodeTrait(l.Trait); ok {
			out = append(out, quarantiner.Loss{Trait: trait, HasBegun: l.HasBegun})
		}
	}
	return out
}

// traitsOf returns the traits of losses.
func traitsOf(losses []quarantiner.Loss) []quarantiner.Trait {
	out := make([]quarantiner.Trait, 0, len(losses))
	for _, l := range losses {
		out = append(out, l.Trait)
	}
	return out
}
