package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/quarantine"
)

const (
	// replyTimeout bounds the wait for a keeper's first reply to a slot
	// request.
	replyTimeout = time.Second
	// rerouteAfter is how long a request stays queued at one keeper before it
	// may move to a keeper that has free capacity.
	rerouteAfter = 250 * time.Millisecond
	// maxKeepersAsked bounds the keepers that one request is sent to before it
	// is refused.
	maxKeepersAsked = 4
	// defaultRetryAfter is the retry delay of a refusal for which no better
	// estimate is known.
	defaultRetryAfter = time.Second
)

// requesterState is the state of this entry as a requester: the slots that its
// traffic holds or waits for.
type requesterState struct {
	random   *rand.Rand
	table    keeperTable
	pending  map[string]*pendingRequest
	held     map[string]*ownedSlot
	prefixes prefixCache
	// repeats holds what is known of requests that come again.
	repeats quarantine.Repeats
}

// pendingRequest is a slot request of this entry's traffic that has no slot
// yet.
type pendingRequest struct {
	request    backend.SlotRequest
	keeper     string
	sentAt     time.Time
	queued     bool
	tried      []string
	reason     backend.Reason
	retryAfter time.Duration
}

// ownedSlot is a slot that this entry's traffic holds, and the keeper
// incarnation to which it was last declared.
type ownedSlot struct {
	slot        backend.Slot
	declaredTo  backend.Owner
	grantedAt   time.Time
	fingerprint quarantine.Fingerprint
	// refusesUntil is the time until which the server wants no more requests, zero if it
	// stated none.
	refusesUntil time.Time
}

func newRequesterState(random *rand.Rand) requesterState {
	return requesterState{
		random:  random,
		pending: make(map[string]*pendingRequest),
		held:    make(map[string]*ownedSlot),
	}
}

// requestSlot starts a slot request of this entry's traffic.
func (n *Node) requestSlot(now time.Time, request backend.SlotRequest) {
	p := &pendingRequest{request: request, reason: backend.ReasonNoServer, retryAfter: defaultRetryAfter}
	n.requester.pending[request.ID()] = p
	if n.quarantined(now, p) {
		n.refuse(p)
		return
	}
	n.askNextKeeper(now, p)
}

// askNextKeeper sends the request to the best keeper not tried yet, or refuses
// it if there is none.
func (n *Node) askNextKeeper(now time.Time, p *pendingRequest) {
	if !now.Before(p.request.Deadline()) {
		p.reason = backend.ReasonDeadline
		n.refuse(p)
		return
	}
	keeper, why := n.chooseKeeper(now, p)
	if keeper == "" {
		n.adjustReason(p)
		n.refuse(p)
		return
	}
	n.askKeeper(now, p, keeper, why)
}

// askKeeper sends the request to a keeper.
func (n *Node) askKeeper(now time.Time, p *pendingRequest, keeper, why string) {
	p.keeper = keeper
	p.sentAt = now
	p.queued = false
	p.tried = append(p.tried, keeper)
	n.logInfo("routed", "attempt", p.request.ID(), "service", p.request.Workload().Service(), "model", p.request.Workload().Model(),
		"keeper", keeper, "why", why, "tried", len(p.tried))
	if keeper == n.self.ID() {
		n.deliverDecisions(now, n.keeper.requestSlot(now, p.request))
		return
	}
	n.send(keeper, newSlotRequest(now, p.request))
}

// adjustReason refuses as busy, not as without a server, a request whose
// servers are listed but whose keepers are all unreachable.
func (n *Node) adjustReason(p *pendingRequest) {
	if p.reason == backend.ReasonNoServer && len(n.requester.table.keepersByService[p.request.Workload().Service()]) > 0 {
		p.reason = backend.ReasonBusy
	}
}

// refuse ends a request without a slot.
func (n *Node) refuse(p *pendingRequest) {
	delete(n.requester.pending, p.request.ID())
	n.logInfo("refused", "attempt", p.request.ID(), "reason", p.reason, "come_back", p.retryAfter, "keepers_asked", len(p.tried))
	n.effects = append(n.effects, SlotResult{attemptID: p.request.ID(), refusal: backend.NewRefusal(p.reason, p.retryAfter)})
}

// withdrawRequest cancels a pending request of this entry's traffic, or
// releases the slot if it was granted meanwhile.
func (n *Node) withdrawRequest(now time.Time, id string) {
	if p := n.requester.pending[id]; p != nil {
		delete(n.requester.pending, id)
		n.withdrawFromKeeper(now, p)
		return
	}
	if owned := n.requester.held[id]; owned != nil {
		n.releaseSlot(now, owned.slot, backend.OutcomeNotStarted)
	}
}

// withdrawFromKeeper withdraws the request from the keeper at which it is
// pending.
func (n *Node) withdrawFromKeeper(now time.Time, p *pendingRequest) {
	if p.keeper == n.self.ID() {
		n.deliverDecisions(now, n.keeper.withdraw(now, n.owner, p.request.ID()))
		return
	}
	n.send(p.keeper, &withdraw{ID: p.request.ID()})
}

// releaseSlot releases a slot at the keeper that granted it and at the one that
// keeps its server now.
func (n *Node) releaseSlot(now time.Time, slot backend.Slot, outcome backend.Outcome) {
	refusesFor := n.refusesFor(now, slot)
	delete(n.requester.held, slot.ID())
	keepers := []string{slot.Keeper()}
	if current := n.requester.table.keepers[slot.Server()]; current != "" && current != slot.Keeper() {
		keepers = append(keepers, current)
	}
	m := &release{ID: slot.ID(), Server: slot.Server(), Outcome: string(outcome), RefusesForMs: refusesFor.Milliseconds()}
	for _, keeper := range keepers {
		if keeper == n.self.ID() {
			n.deliverDecisions(now, n.keeper.release(now, n.owner, m))
			continue
		}
		n.send(keeper, m)
	}
}

// recordRefusal records for how long the server of a slot wants no more requests; its keeper
// learns it with the release of the slot.
func (n *Node) recordRefusal(now time.Time, slot backend.Slot, wait time.Duration) {
	if owned := n.requester.held[slot.ID()]; owned != nil {
		owned.refusesUntil = now.Add(wait)
	}
}

// refusesFor returns for how long the server of a slot wants no more requests, 0 if it stated
// nothing.
func (n *Node) refusesFor(now time.Time, slot backend.Slot) time.Duration {
	owned := n.requester.held[slot.ID()]
	if owned == nil {
		return 0
	}
	return max(0, owned.refusesUntil.Sub(now))
}

// handleReply handles a keeper's reply to a slot request.
func (n *Node) handleReply(now time.Time, from backend.Owner, m *slotReply) {
	p := n.requester.pending[m.ID]
	current := p != nil && p.keeper == from.Entry()
	switch m.State {
	case replyGranted:
		n.handleGrant(now, from, m, p, current)
	case replyQueued:
		if current {
			p.queued = true
		}
	case replyDenied:
		if current {
			n.handleDenial(now, p, backend.Reason(m.Reason), time.Duration(m.RetryAfterMs)*time.Millisecond)
		}
	}
}

// handleGrant handles a grant from a peer. A grant that no request waits for,
// or that can't be used any more, is released at once.
func (n *Node) handleGrant(now time.Time, from backend.Owner, m *slotReply, p *pendingRequest, current bool) {
	if _, held := n.requester.held[m.ID]; held && !current {
		return
	}
	sent, known := n.membership.toLocalTime(from, m.KeeperClock)
	startBy := sent.Add(time.Duration(m.StartWithinMs) * time.Millisecond)
	address, listed := n.requester.table.addresses[m.Server]
	lease := current && p.request.Workload().IsGroupLease() // Names no listed server.
	usable := current && known && (listed || lease) && now.Before(startBy) && !n.requester.table.closedServers[m.Server]
	if !usable {
		n.send(from.Entry(), &release{ID: m.ID, Server: m.Server, Outcome: string(backend.OutcomeNotStarted)})
		if current {
			n.askNextKeeper(now, p)
		}
		return
	}
	slot := backend.SlotFromPeer(p.request, from.Entry(), m.Server, address, m.Incarnation, startBy)
	n.acceptSlot(now, p, slot, from)
}

// acceptSlot hands a granted slot to the traffic.
func (n *Node) acceptSlot(now time.Time, p *pendingRequest, slot backend.Slot, keeper backend.Owner) {
	owned := &ownedSlot{slot: slot, declaredTo: keeper, grantedAt: now, fingerprint: p.request.Fingerprint()}
	n.requester.held[slot.ID()] = owned
	if n.quarantined(now, p) {
		n.releaseSlot(now, slot, backend.OutcomeNotStarted)
		n.refuse(p)
		return
	}
	n.requester.repeats.Sent(now, owned.fingerprint)
	delete(n.requester.pending, p.request.ID())
	n.requester.prefixes.put(p.request.Prefix(), slot.Server())
	n.effects = append(n.effects, SlotResult{attemptID: slot.ID(), slot: slot})
}

// handleDenial retries a denied request at the next keeper, up to
// maxKeepersAsked keepers.
func (n *Node) handleDenial(now time.Time, p *pendingRequest, reason backend.Reason, retryAfter time.Duration) {
	if p.reason == backend.ReasonNoServer || retryAfter < p.retryAfter {
		p.retryAfter = retryAfter
	}
	p.reason = reason
	if len(p.tried) >= maxKeepersAsked {
		n.refuse(p)
		return
	}
	n.askNextKeeper(now, p)
}

// tickRequests refuses requests past their deadline, and moves those whose
// keeper does not reply, is unreachable, or keeps them queued while another
// keeper has free capacity.
func (n *Node) tickRequests(now time.Time) {
	for _, id := range sortedKeys(n.requester.pending) {
		p := n.requester.pending[id]
		if p == nil {
			continue
		}
		waited := now.Sub(p.sentAt)
		switch {
		case !now.Before(p.request.Deadline()):
			n.withdrawFromKeeper(now, p)
			p.reason = backend.ReasonDeadline
			n.refuse(p)
		case !p.queued && waited >= replyTimeout:
			n.handleNoReply(now, p)
		case p.queued && (!n.reachable(now, p.keeper) || waited >= rerouteAfter && n.hasRoomElsewhere(now, p)):
			n.withdrawFromKeeper(now, p)
			n.askNextKeeper(now, p)
		}
	}
}

// handleNoReply moves a request to the next keeper. If there is none, it asks the
// silent one again while that is reachable: the keeper may go on, and the request
// or its reply may have been lost.
func (n *Node) handleNoReply(now time.Time, p *pendingRequest) {
	p.reason = backend.ReasonBusy
	if n.hasOtherKeeper(now, p) || !n.reachable(now, p.keeper) || len(p.tried) >= maxKeepersAsked {
		n.withdrawFromKeeper(now, p)
		n.askNextKeeper(now, p)
		return
	}
	n.askKeeper(now, p, p.keeper, "no other")
}

// hasOtherKeeper reports whether there is a keeper that was not tried yet.
func (n *Node) hasOtherKeeper(now time.Time, p *pendingRequest) bool {
	if p.request.Workload().IsGroupLease() {
		keeper, _ := n.chooseGroupLeaseKeeper(now, p)
		return keeper != ""
	}
	return len(n.candidates(now, p)) > 0
}

// rerouteFrom moves the requests that were pending at an entry whose
// incarnation has changed.
func (n *Node) rerouteFrom(now time.Time, entry string) {
	for _, id := range sortedKeys(n.requester.pending) {
		if p := n.requester.pending[id]; p != nil && p.keeper == entry {
			n.askNextKeeper(now, p)
		}
	}
}

// sortedKeys returns a map's keys in order, so that a Node's effects are
// deterministic.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
