package keeper

import "slices"

// mostMarks bounds the leaving marks that are kept of one target.
const mostMarks = 8

// LeavingMark names what was said to leave: an engine by its incarnation, which
// is empty if none was known yet, or a plain service by its address.
type LeavingMark struct {
	Incarnation string
	Address     string
}

// MarkLeaving adds a leaving mark. It stays for good.
func (t *Target) MarkLeaving(mark LeavingMark) {
	if slices.Contains(t.Marks, mark) {
		return
	}
	t.Marks = append(slices.Clone(t.Marks), mark)
	t.Marks = t.Marks[max(0, len(t.Marks)-mostMarks):]
}

// Mark returns the mark that tells this target from its successors.
func (t *Target) Mark() LeavingMark {
	return LeavingMark{Incarnation: t.Incarnation, Address: t.Address}
}

// TakeListedLeaving takes what the list says. Only the incarnation of which the list
// first says it is marked: a lagging list goes on to say it of a successor.
func (t *Target) TakeListedLeaving(leaving bool) {
	if leaving && !t.ListedLeaving {
		t.MarkLeaving(t.Mark())
	}
	t.ListedLeaving = leaving
}

// settle works out whether the target leaves.
func (t *Target) settle() {
	if t.SaysLeaving {
		t.MarkLeaving(t.Mark())
	}
	t.nameMarks()
	t.Leaving = t.ListedLeaving || t.IsMarked()
}

// IsMarked reports whether this incarnation of the target was said to leave.
func (t *Target) IsMarked() bool {
	return slices.ContainsFunc(t.Marks, t.matches)
}

// IsMoving reports whether all targets that hold a name leave, and there are any.
func (v *View) IsMoving(name Name) bool {
	if len(v.holders[name]) > 0 {
		return false
	}
	for _, t := range v.Targets {
		if t.Leaving && t.Holds(name) {
			return true
		}
	}
	return false
}

// nameMarks gives marks that were set before the engine first reported its
// incarnation, so that they do not hold for its successors.
func (t *Target) nameMarks() {
	unnamed := LeavingMark{Address: t.Address}
	i := slices.Index(t.Marks, unnamed)
	if t.Kind != Engine || t.Incarnation == "" || i < 0 {
		return
	}
	t.Marks = slices.Clone(t.Marks)
	t.Marks[i] = t.Mark()
}

// matches reports whether a mark was set on this target and not on a successor.
func (t *Target) matches(m LeavingMark) bool {
	if t.Kind == Engine && t.Incarnation != "" {
		return m.Incarnation == t.Incarnation
	}
	return m.Address == t.Address
}
