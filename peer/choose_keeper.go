package peer

import (
	"math"
	"slices"
	"time"

	"greengagedock.example/backend"
)

// candidate is a keeper that a slot request may be sent to.
type candidate struct {
	keeper       string
	hasRoom      bool
	freeRequests int
	wait         time.Duration
}

// chooseKeeper returns the keeper to ask next, empty if there is none, and the
// reason for the choice. In this order it takes the keeper of the server that
// the prompt's prefix was last sent to, if it has room; this entry, if it has
// its share of the free requests; a keeper with room, drawn at random in
// proportion to its free requests; or, of two keepers drawn at random, the one
// with the shorter expected wait.
func (n *Node) chooseKeeper(now time.Time, p *pendingRequest) (keeper, why string) {
	if p.request.Workload().IsGroupLease() {
		return n.chooseGroupLeaseKeeper(now, p)
	}
	candidates := n.candidates(now, p)
	if len(candidates) == 0 {
		return "", ""
	}
	if keeper := n.prefixKeeper(p.request, candidates); keeper != "" {
		return keeper, "prefix"
	}
	total := 0
	for _, c := range candidates {
		total += c.freeRequests
	}
	if n.hasLocalRoom(candidates, total) {
		return n.self.ID(), "local"
	}
	if total > 0 {
		return n.pickByFreeRequests(p.request, candidates, total), "room"
	}
	return n.pickByWait(candidates), "wait"
}

// localShareDivisor is the part of the average keeper's free requests, as a
// divisor, that this entry must have to serve a request itself, which saves the
// messages.
const localShareDivisor = 2

// hasLocalRoom reports whether this entry is a candidate with its share of the
// total free requests.
func (n *Node) hasLocalRoom(candidates []candidate, total int) bool {
	for _, c := range candidates {
		if c.keeper == n.self.ID() {
			return c.freeRequests > 0 && localShareDivisor*c.freeRequests*len(candidates) >= total
		}
	}
	return false
}

// candidates returns the reachable keepers of the service's servers that were
// not tried yet, sorted by name.
func (n *Node) candidates(now time.Time, p *pendingRequest) []candidate {
	var out []candidate
	for _, keeper := range n.requester.table.keepersByService[p.request.Workload().Service()] {
		if slices.Contains(p.tried, keeper) || !n.reachable(now, keeper) || n.avoidsKeeper(p.request, keeper) {
			continue
		}
		out = append(out, n.assess(now, keeper, p.request))
	}
	slices.SortFunc(out, func(a, b candidate) int {
		if a.keeper < b.keeper {
			return -1
		}
		return 1
	})
	return out
}

// reachable reports whether a keeper is this entry or was heard recently.
func (n *Node) reachable(now time.Time, keeper string) bool {
	if keeper == n.self.ID() {
		return true
	}
	peer := n.membership.members[keeper]
	return peer != nil && !peer.lastHeartbeat.Stopping && now.Sub(peer.lastHeard) <= leaseDuration(n.membership.list)
}

// assess rates a keeper for a request by the free capacity that it last
// reported.
func (n *Node) assess(now time.Time, keeper string, request backend.SlotRequest) candidate {
	c := candidate{keeper: keeper, wait: math.MaxInt64}
	capacity := n.freeCapacityOf(now, keeper, request.Workload())
	if capacity == nil {
		return c
	}
	if capacity.FreeRequests > 0 && capacity.LargestFreeTokens >= request.Cost().Tokens() {
		c.hasRoom = true
		c.freeRequests = capacity.FreeRequests
	}
	c.wait = capacity.expectedWait(request.Cost().Class())
	return c
}

// freeCapacityOf returns a keeper's free capacity for a workload, nil if it has
// reported none. A plain service has no model, and its servers' memory is not
// counted.
func (n *Node) freeCapacityOf(now time.Time, keeper string, workload backend.Workload) *freeCapacity {
	capacities := n.freeCapacities(now, keeper)
	for i := range capacities {
		if capacities[i].Service == workload.Service() && capacities[i].Model == workload.Model() {
			return &capacities[i]
		}
	}
	return nil
}

// freeCapacities returns the free capacity of a keeper per workload, as it last
// reported it.
func (n *Node) freeCapacities(now time.Time, keeper string) []freeCapacity {
	if keeper == n.self.ID() {
		return n.keeper.freeCapacities(now)
	}
	if peer := n.membership.members[keeper]; peer != nil {
		return peer.lastHeartbeat.FreeCapacities
	}
	return nil
}

// prefixKeeper returns the candidate that keeps the server to which the
// request's prefix was last sent, empty if there is none with room.
func (n *Node) prefixKeeper(request backend.SlotRequest, candidates []candidate) string {
	server, known := n.requester.prefixes.get(request.Prefix())
	if !known {
		return ""
	}
	keeper := n.requester.table.keepers[server]
	for _, c := range candidates {
		if c.keeper == keeper && c.hasRoom {
			return keeper
		}
	}
	return ""
}

// pickByFreeRequests draws a keeper in proportion to its free requests, and
// deducts the request from the free capacity that the keeper last reported.
func (n *Node) pickByFreeRequests(request backend.SlotRequest, candidates []candidate, total int) string {
	draw := n.requester.random.IntN(total)
	for _, c := range candidates {
		if draw < c.freeRequests {
			n.deductFreeCapacity(c.keeper, request)
			return c.keeper
		}
		draw -= c.freeRequests
	}
	return candidates[len(candidates)-1].keeper
}

// deductFreeCapacity lowers a peer's reported free capacity until its next
// heartbeat.
func (n *Node) deductFreeCapacity(keeper string, request backend.SlotRequest) {
	peer := n.membership.members[keeper]
	if peer == nil {
		return
	}
	for i := range peer.lastHeartbeat.FreeCapacities {
		capacity := &peer.lastHeartbeat.FreeCapacities[i]
		if capacity.Service == request.Workload().Service() && capacity.Model == request.Workload().Model() {
			capacity.FreeRequests--
			capacity.FreeTokens -= request.Cost().Tokens()
			capacity.LargestFreeTokens = min(capacity.LargestFreeTokens, capacity.FreeTokens)
		}
	}
}

// pickByWait draws two candidates and returns the one with the shorter expected
// wait.
func (n *Node) pickByWait(candidates []candidate) string {
	a := candidates[n.requester.random.IntN(len(candidates))]
	b := candidates[n.requester.random.IntN(len(candidates))]
	if b.wait < a.wait {
		return b.keeper
	}
	return a.keeper
}

// hasRoomElsewhere reports whether a keeper that was not tried yet has room for
// the request.
func (n *Node) hasRoomElsewhere(now time.Time, p *pendingRequest) bool {
	for _, c := range n.candidates(now, p) {
		if c.hasRoom {
			return true
		}
	}
	return false
}
