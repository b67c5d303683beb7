package keeper

import "slices"

// maxLeavingMarks limits the number of leaving marks that one target keeps.
const maxLeavingMarks = 8

// LeavingMark identifies what was marked as leaving: an engine by its incarnation,
// which is empty if it was not known yet, or a plain service by its address.
type LeavingMark struct {
	Incarnation string
	Address     string
}

// MarkLeaving adds a leaving mark to a target. An unknown target is ignored.
func (f *Fleet) MarkLeaving(id string, mark LeavingMark) {
	if f.View().Targets[id] != nil {
		f.ChangeTarget(id, func(t *Target) { t.MarkLeaving(mark) })
	}
}

// MarkLeaving adds a leaving mark, which is permanent.
func (t *Target) MarkLeaving(mark LeavingMark) {
	if slices.Contains(t.Marks, mark) {
		return
	}
	t.Marks = append(slices.Clone(t.Marks), mark)
	t.Marks = t.Marks[max(0, len(t.Marks)-maxLeavingMarks):]
}

// OwnMark returns the mark that distinguishes this target from its successors of the
// same ID.
func (t *Target) OwnMark() LeavingMark {
	return LeavingMark{Incarnation: t.Incarnation, Address: t.Address}
}

// SetListedLeaving applies whether the list shows the target as leaving. Only the
// incarnation that is present when the list first shows it is marked: a list that
// lags behind goes on to show a successor as leaving.
func (t *Target) SetListedLeaving(leaving bool) {
	if leaving && !t.ListedLeaving {
		t.MarkLeaving(t.OwnMark())
	}
	t.ListedLeaving = leaving
}

// updateLeaving updates the marks and Leaving after a change of the target.
func (t *Target) updateLeaving() {
	if t.ReportsLeaving {
		t.MarkLeaving(t.OwnMark())
	}
	t.addIncarnationToMark()
	t.Leaving = t.ListedLeaving || t.IsMarked()
}

// IsMarked reports whether this incarnation of the target was marked as leaving.
func (t *Target) IsMarked() bool {
	return slices.ContainsFunc(t.Marks, t.matches)
}

// OnlyLeavingHolders reports whether the only targets that hold a name are leaving ones, and
// there is at least one.
func (v *View) OnlyLeavingHolders(name Name) bool {
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

// addIncarnationToMark sets the incarnation of a mark that was added before the engine
// first reported its own, so that the mark does not match successors.
func (t *Target) addIncarnationToMark() {
	withoutIncarnation := LeavingMark{Address: t.Address}
	i := slices.Index(t.Marks, withoutIncarnation)
	if t.Kind != Engine || t.Incarnation == "" || i < 0 {
		return
	}
	t.Marks = slices.Clone(t.Marks)
	t.Marks[i] = t.OwnMark()
}

// matches reports whether a mark was set on this target and not on a successor.
func (t *Target) matches(m LeavingMark) bool {
	if t.Kind == Engine && t.Incarnation != "" {
		return m.Incarnation == t.Incarnation
	}
	return m.Address == t.Address
}
