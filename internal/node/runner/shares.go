package runner

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/peer/detector"
	"github.com/crocusring/crocusring/internal/peer/lender"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	shareInterval  = 100 * time.Millisecond
	rosterInterval = time.Second
	rosterTable    = "shares"
	rosterKey      = "roster"
	// rosterGrace is how long a member stays in the roster after it is suspected, and how
	// long an instance that has just started waits for the first heartbeats of its peers
	// before it writes a roster.
	rosterGrace = 1500 * time.Millisecond
	// minOwnPart is the part of a limit that an owner keeps even without demand, so
	// that it does not refuse the first requests of a team.
	minOwnPart = 0.01
)

// sharer holds what this instance needs to share the limits of teams with its peers.
type sharer struct {
	tables *transactor.Client
	lender *lender.Lender
	// awaitPeersUntil is the deadline until which no roster is written without a peer that
	// is listed and has not been heard from since this instance started.
	awaitPeersUntil time.Time
}

// member returns this instance as a member of the roster.
func (n *Node) member() lender.Member {
	return lender.Member{Instance: n.self.Instance, Incarnation: n.self.Incarnation}
}

// units returns the limit of a team in whole requests.
func (n *Node) units(team string) int {
	return n.tree.Catalog().Teams[team].Limit.Units()
}

// tickShares updates the part of the limit of each team that this instance needs.
func (n *Node) tickShares() error {
	if n.tree.Revision() == 0 {
		return nil
	}
	needs := lender.Parts(n.admitter.Tick(n.now(), n.tree.Catalog().Teams))
	n.needs.Store(&needs)
	return nil
}

// tickRoster reads the roster from the table service unless peers confirm that it is
// current. The holder of the control lease always reads it, and writes a new one
// when the set of live instances has changed.
func (n *Node) tickRoster() error {
	sentAt := n.now()
	n.markStoppedMembers(sentAt)
	grant, held := n.leaser.Held(sentAt)
	if !held && n.sharer.lender.IsConfirmed(sentAt, rosterInterval) {
		return nil
	}
	row, err := n.sharer.tables.Get(rosterTable, rosterKey)
	if err != nil {
		return err
	}
	var roster lender.Roster
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &roster); err != nil {
			// Another writer has spoiled the row: the holder of the lease replaces it.
			n.log.Error(err, "roster row cannot be read")
			roster = n.sharer.lender.Roster()
		}
	}
	now := n.now()
	n.sharer.lender.Adopt(now, roster)
	n.sharer.lender.ConfirmFromStore(sentAt, roster.Number)
	next, due := n.sharer.lender.NextRoster(now, n.members(now))
	if !held || !due || next.Number != roster.Number+1 || n.awaitsPeers(now) {
		return nil
	}
	return n.writeRoster(next, []messenger.Condition{
		grant.FenceCondition, {Table: rosterTable, Key: rosterKey, Version: row.Version},
	})
}

// awaitsPeers reports whether members may still omit a live peer because this instance has
// started too recently to have heard from it.
func (n *Node) awaitsPeers(now time.Time) bool {
	return now.Before(n.sharer.awaitPeersUntil) &&
		!detector.HasHeardFromListed(n.fleet.View().Instances, n.self.Instance)
}

// writeRoster writes a roster to the table service. This instance adopts it only
// when it reads it back, since the answer to the write may be lost.
func (n *Node) writeRoster(roster lender.Roster, conditions []messenger.Condition) error {
	value, err := json.Marshal(roster)
	if err != nil {
		return errors.Wrap(err, "encode roster")
	}
	n.log.Info("writing a new roster", "number", roster.Number, "members", len(roster.Members))
	return n.sharer.tables.Transact(messenger.TransactRequest{
		Conditions: conditions,
		Writes:     []messenger.Write{{Table: rosterTable, Key: rosterKey, Value: value}},
	})
}

// members returns the instances that may own parts of limits: those that are live
// and not leaving.
func (n *Node) members(now time.Time) []lender.Member {
	list := []lender.Member{}
	if !n.leaving.Load() {
		list = append(list, n.member())
	}
	for id, in := range n.fleet.View().Instances {
		isAlive := detector.Judge(now.Add(-rosterGrace), in) == detector.Alive
		if id != n.self.Instance && in.Incarnation != "" && !in.Leaving && isAlive {
			list = append(list, lender.Member{Instance: id, Incarnation: in.Incarnation})
		}
	}
	return list
}

// markStoppedMembers records which members of the previous roster have stopped for good:
// either a later incarnation runs in their place, or the platform no longer lists
// them and no instance receives their heartbeats.
func (n *Node) markStoppedMembers(now time.Time) {
	view := n.fleet.View()
	for _, m := range n.sharer.lender.Roster().Previous {
		in := view.Instances[m.Instance]
		isReplaced := in != nil && in.Incarnation != "" && in.Incarnation != m.Incarnation
		if m.Instance == n.self.Instance {
			isReplaced = m.Incarnation != n.self.Incarnation
		}
		isUnlisted := in == nil || (!in.Listed && detector.Judge(now, in) == detector.Gone)
		if isReplaced || (isUnlisted && m.Instance != n.self.Instance) {
			n.sharer.lender.MarkStopped(now, m)
		}
	}
}

// shares converts parts of limits to the form in which they are sent.
func shares(parts lender.Parts) []messenger.Share {
	list := make([]messenger.Share, 0, len(parts))
	for team, part := range parts {
		list = append(list, messenger.Share{Team: team, Part: part})
	}
	return list
}

// partsOf converts received shares to parts of limits. It omits parts that are not
// positive and limits the others to 1.
func partsOf(list []messenger.Share) lender.Parts {
	parts := lender.Parts{}
	for _, s := range list {
		if s.Part > 0 {
			parts[s.Team] = min(s.Part, 1)
		}
	}
	return parts
}

// wantedByPeers returns the sum of what all peers want to borrow. It takes the wants
// of the sender from its present heartbeat hb.
func (n *Node) wantedByPeers(now time.Time, hb messenger.Heartbeat) lender.Parts {
	total := partsOf(hb.Wants)
	for _, received := range n.exchanger.Received(now.Add(-rosterGrace)) {
		if received.Heartbeat.Instance == hb.Instance {
			continue
		}
		for _, want := range received.Heartbeat.Wants {
			total[want.Team] += want.Part
		}
	}
	return total
}

// lend returns the parts of limits that this instance lends to the sender of a
// heartbeat, and the current roster if the sender has an older one.
func (n *Node) lend(hb messenger.Heartbeat) ([]messenger.Share, []lender.Roster) {
	now := n.now()
	requests := map[string]lender.LoanRequest{}
	total := n.wantedByPeers(now, hb)
	for team, want := range partsOf(hb.Wants) {
		requests[team] = lender.LoanRequest{Part: want, Weight: want / total[team]}
	}
	to := lender.Member{Instance: hb.Instance, Incarnation: hb.Incarnation}
	rosters := []lender.Roster{}
	if roster := n.sharer.lender.Roster(); roster.Number > hb.RosterNumber {
		rosters = append(rosters, roster)
	}
	loans := lender.Parts{}
	n.admitter.WithNeedsLocked(now, n.tree.Catalog().Teams, func(present map[string]float64) {
		needs := lender.Parts{}
		for team := range requests {
			needs[team] = max(minOwnPart, present[team])
		}
		loans = n.sharer.lender.Lend(now, to, requests, needs)
	})
	return shares(loans), rosters
}

// borrow adopts the rosters and loans in a peer's answer to a heartbeat that was
// sent at sentAt.
func (n *Node) borrow(answer messenger.HeartbeatAnswer, sentAt time.Time) {
	now := n.now()
	for _, roster := range answer.Rosters {
		n.sharer.lender.Adopt(now, roster)
	}
	from := lender.Member{Instance: answer.Heartbeat.Instance, Incarnation: answer.Heartbeat.Incarnation}
	n.sharer.lender.HandleAnswer(now, sentAt, from, answer.Heartbeat.RosterAcked, partsOf(answer.Loans))
}
