package allocator

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// grantsPerOtherRank is the number of grants of which one goes to a rank other than the first one
// that waits, in turn: requests of the last rank are never starved.
const grantsPerOtherRank = 8

// workMargin is the multiple of the mean work that must fit before the latency goal. It is more
// than 1, since the work varies and a request may wait at its target as well.
const workMargin = 2.0

// entry is an ask that waits.
type entry struct {
	Ask
	// isReturn reports that the caller was refused and has returned when it was told to.
	isReturn bool
}

// canMeetGoal reports whether a request that starts at a time can end by its latency goal.
func (e *entry) canMeetGoal(start time.Time, work time.Duration) bool {
	return e.Goal.IsZero() || !start.Add(time.Duration(workMargin*float64(work))).After(e.Goal)
}

// turns holds the order in which ranks and accounts have got slots.
type turns struct {
	// next is the number of the next grant, and sinceFair the number of grants since the last
	// one that went to another rank than the first.
	next      int64
	sinceFair int
	ranks     [registrar.MaxRank + 1]int64
	accounts  map[string]int64
}

// maxAccounts bounds the accounts whose last use is known.
const maxAccounts = 8192

// countUse records that a request gets a slot: its rank and its account go to the end of the turns.
func (s *service) countUse(e *entry) {
	t := &s.turns
	t.next++
	areOthersWaiting, isFirst := false, true
	for _, other := range s.waiting {
		areOthersWaiting = areOthersWaiting || other.Rank != e.Rank
		isFirst = isFirst && other.Rank >= e.Rank
	}
	switch {
	case !areOthersWaiting || !isFirst:
		t.sinceFair = 0
	default:
		t.sinceFair++
	}
	t.ranks[e.Rank] = t.next
	if len(t.accounts) >= maxAccounts {
		clear(t.accounts)
	}
	t.accounts[e.Account] = t.next
}

func (s *service) withdraw(key Key) bool {
	i := slices.IndexFunc(s.waiting, func(e *entry) bool { return e.Key == key })
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// dropDead drops the asks of other incarnations than those in live.
func (s *service) dropDead(live map[string]int64) {
	s.waiting = slices.DeleteFunc(s.waiting, func(e *entry) bool { return live[e.Key.Instance] != e.Key.Incarnation })
}

// sequence returns the requests that wait in the order in which they get slots.
func (s *service) sequence(now time.Time) []*entry {
	if len(s.waiting) <= 1 {
		return slices.Clone(s.waiting)
	}
	byRank := [registrar.MaxRank + 1][]*entry{}
	for _, e := range s.waiting {
		byRank[e.Rank] = append(byRank[e.Rank], e)
	}
	for rank, entries := range byRank {
		byRank[rank] = s.orderRank(now, s.meanWork, entries)
	}
	return s.mergeRanks(byRank, len(s.waiting))
}

// orderRank orders the requests of one rank: those that can meet their goal go first.
func (s *service) orderRank(now time.Time, work time.Duration, entries []*entry) []*entry {
	inTime, late := []*entry{}, []*entry{}
	for _, e := range entries {
		if e.canMeetGoal(now, work) {
			inTime = append(inTime, e)
		} else {
			late = append(late, e)
		}
	}
	return append(s.orderAccounts(inTime), s.orderAccounts(late)...)
}

// orderAccounts takes requests of the accounts in turn, first of the one whose last use of a
// slot is longest ago. Within an account those that have returned go first.
func (s *service) orderAccounts(entries []*entry) []*entry {
	slices.SortStableFunc(entries, func(a, b *entry) int {
		return cmp.Or(compareBool(b.isReturn, a.isReturn), a.Arrived.Compare(b.Arrived), cmp.Compare(a.Key.Number, b.Key.Number))
	})
	byAccount := map[string][]*entry{}
	accounts := []string{}
	for _, e := range entries {
		if byAccount[e.Account] == nil {
			accounts = append(accounts, e.Account)
		}
		byAccount[e.Account] = append(byAccount[e.Account], e)
	}
	if len(accounts) <= 1 {
		return entries
	}
	slices.SortStableFunc(accounts, func(a, b string) int { return cmp.Compare(s.turns.accounts[a], s.turns.accounts[b]) })
	out := make([]*entry, 0, len(entries))
	for round := 0; len(out) < len(entries); round++ {
		for _, account := range accounts {
			if round < len(byAccount[account]) {
				out = append(out, byAccount[account][round])
			}
		}
	}
	return out
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// mergeRanks merges the requests of all ranks: the first rank goes first, but one of
// grantsPerOtherRank goes to the rank of the others that was served least recently.
func (s *service) mergeRanks(byRank [registrar.MaxRank + 1][]*entry, count int) []*entry {
	out := make([]*entry, 0, count)
	turns := s.turns
	for len(out) < count {
		first, fair := -1, -1
		for rank, entries := range byRank {
			switch {
			case len(entries) == 0:
			case first < 0:
				first = rank
			case fair < 0 || turns.ranks[rank] < turns.ranks[fair]:
				fair = rank
			}
		}
		rank := first
		turns.sinceFair++
		if fair < 0 || turns.sinceFair >= grantsPerOtherRank {
			turns.sinceFair = 0
			rank = max(first, fair)
		}
		turns.next++
		turns.ranks[rank] = turns.next
		out = append(out, byRank[rank][0])
		byRank[rank] = byRank[rank][1:]
	}
	return out
}
