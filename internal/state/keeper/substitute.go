package keeper

import (
	"cmp"
	"strings"
)

// Substitute returns the name under which to serve a configured name: the name itself
// if a target holds it, otherwise the version of the same model and adapter that the
// largest number of targets hold. Requests thus use the old version while a new one loads.
func (v *View) Substitute(name Name) Name {
	if len(v.holders[name]) > 0 {
		return name
	}
	best := name
	for held, targets := range v.holders {
		if held.Model != name.Model || adapterOf(held) != adapterOf(name) {
			continue
		}
		if cmp.Or(cmp.Compare(len(targets), len(v.holders[best])), strings.Compare(held.String(), best.String())) > 0 {
			best = held
		}
	}
	if len(v.holders[best]) == 0 {
		return name
	}
	return best
}

// adapterOf returns the name of an adapter without its version.
func adapterOf(name Name) string {
	i := strings.LastIndexByte(name.Adapter, '.')
	return name.Adapter[:max(0, i)]
}
