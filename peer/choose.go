package peer

import (
	"math"
	"slices"
	"time"

	"greengagedock.example/backend"
)

// candidate is a keeper that a want may be taken to.
type candidate struct {
	keeper string
	room   bool
	free   int
	wait   time.Duration
}

// choose returns the keeper to ask next, empty if there is none, and why:
// the one that keeps the server where the prompt's beginning was last sent,
// if it has room; else this entry itself, if it has its share of the room; else
// one with room, by chance in proportion to it; else the one with the shorter
// expected wait of two taken by chance.
func (n *Node) choose(now time.Time, a *asked) (keeper, why string) {
	if a.want.Workload().IsGroupLease() {
		return n.chooseLease(now, a)
	}
	candidates := n.candidates(now, a)
	if len(candidates) == 0 {
		return "", ""
	}
	if keeper := n.prefixKeeper(a.want, candidates); keeper != "" {
		return keeper, "prefix"
	}
	free := 0
	for _, c := range candidates {
		free += c.free
	}
	if n.localRoom(candidates, free) {
		return n.self.ID(), "local"
	}
	if free > 0 {
		return n.pickByRoom(a.want, candidates, free), "room"
	}
	return n.pickByWait(candidates), "wait"
}

// localShare is the part of the average keeper's room, as a divisor, that
// this entry must have to place a want itself, which costs no message.
const localShare = 2

// localRoom reports whether this entry has enough room among the candidates.
func (n *Node) localRoom(candidates []candidate, free int) bool {
	for _, c := range candidates {
		if c.keeper == n.self.ID() {
			return c.free > 0 && localShare*c.free*len(candidates) >= free
		}
	}
	return false
}

// candidates returns the keepers that keep a server of the work, were heard
// lately and were not asked yet, in the order of their names.
func (n *Node) candidates(now time.Time, a *asked) []candidate {
	var out []candidate
	for _, keeper := range n.asking.table.services[a.want.Workload().Service()] {
		if slices.Contains(a.tried, keeper) || !n.reachable(now, keeper) || n.avoids(a.want, keeper) {
			continue
		}
		out = append(out, n.assess(now, keeper, a.want))
	}
	slices.SortFunc(out, func(a, b candidate) int {
		if a.keeper < b.keeper {
			return -1
		}
		return 1
	})
	return out
}

// reachable reports whether a keeper is this entry or was heard lately.
func (n *Node) reachable(now time.Time, keeper string) bool {
	if keeper == n.self.ID() {
		return true
	}
	peer := n.members.members[keeper]
	return peer != nil && !peer.last.Ends && now.Sub(peer.heard) <= vouchValidity(n.members.list)
}

// assess says what a keeper's last word promises to a want.
func (n *Node) assess(now time.Time, keeper string, want backend.SlotRequest) candidate {
	c := candidate{keeper: keeper, wait: math.MaxInt64}
	load := n.loadOf(now, keeper, want.Workload())
	if load == nil {
		return c
	}
	if load.FreeRequests > 0 && load.Largest >= want.Cost().Tokens() {
		c.room = true
		c.free = load.FreeRequests
	}
	c.wait = load.wait(want.Cost().Class())
	return c
}

// loadOf returns what a keeper has free for a work, nil if nothing is known.
// A plain service has no model, and its servers' memory is not counted.
func (n *Node) loadOf(now time.Time, keeper string, work backend.Workload) *workLoad {
	loads := n.ownLoads(now, keeper)
	for i := range loads {
		if loads[i].Service == work.Service() && loads[i].Model == work.Model() {
			return &loads[i]
		}
	}
	return nil
}

// ownLoads returns the loads that a keeper has said last.
func (n *Node) ownLoads(now time.Time, keeper string) []workLoad {
	if keeper == n.self.ID() {
		return n.keeping.loads(now)
	}
	if peer := n.members.members[keeper]; peer != nil {
		return peer.last.Loads
	}
	return nil
}

// prefixKeeper returns the candidate that keeps the server which has the
// want's prefix, empty if there is none with room.
func (n *Node) prefixKeeper(want backend.SlotRequest, candidates []candidate) string {
	server, known := n.asking.prefix.get(want.Prefix())
	if !known {
		return ""
	}
	keeper := n.asking.table.keeper[server]
	for _, c := range candidates {
		if c.keeper == keeper && c.room {
			return keeper
		}
	}
	return ""
}

// pickByRoom draws a keeper in proportion to its free requests, and counts
// the want against what its last word promised.
func (n *Node) pickByRoom(want backend.SlotRequest, candidates []candidate, free int) string {
	draw := n.asking.random.IntN(free)
	for _, c := range candidates {
		if draw < c.free {
			n.countAgainst(c.keeper, want)
			return c.keeper
		}
		draw -= c.free
	}
	return candidates[len(candidates)-1].keeper
}

// countAgainst lowers what a peer's last word promises until its next one.
func (n *Node) countAgainst(keeper string, want backend.SlotRequest) {
	peer := n.members.members[keeper]
	if peer == nil {
		return
	}
	for i := range peer.last.Loads {
		load := &peer.last.Loads[i]
		if load.Service == want.Workload().Service() && load.Model == want.Workload().Model() {
			load.FreeRequests--
			load.FreeTokens -= want.Cost().Tokens()
			load.Largest = min(load.Largest, load.FreeTokens)
		}
	}
}

// pickByWait returns the one with the shorter wait of two drawn candidates.
func (n *Node) pickByWait(candidates []candidate) string {
	a := candidates[n.asking.random.IntN(len(candidates))]
	b := candidates[n.asking.random.IntN(len(candidates))]
	if b.wait < a.wait {
		return b.keeper
	}
	return a.keeper
}

// roomElsewhere reports whether another keeper that was not asked yet has room for a want.
func (n *Node) roomElsewhere(now time.Time, a *asked) bool {
	for _, c := range n.candidates(now, a) {
		if c.room {
			return true
		}
	}
	return false
}
