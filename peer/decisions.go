package peer

import (
	"time"

	"greengagedock.example/backend"
)

// deliverDecisions sends the decisions of this entry's allocator to the owners
// of the requests and the servers that they concern.
func (n *Node) deliverDecisions(now time.Time, decisions []backend.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case backend.Granted:
			n.logInfo("placed", "decision", d)
			n.deliverGrant(now, d.Slot())
		case backend.Denied:
			n.logInfo("placed", "decision", d)
			n.deliverDenial(now, d)
		case backend.Queued:
			n.deliverQueued(d)
		case backend.Orphan:
			n.logInfo("cancel", "decision", d)
			n.effects = append(n.effects, Cancel{address: d.Address(), attemptID: d.Stream()})
		}
	}
}

// deliverGrant delivers a granted slot to its owner.
func (n *Node) deliverGrant(now time.Time, slot backend.Slot) {
	if slot.Owner() != n.owner {
		n.send(slot.Owner().Entry(), n.grantReply(now, slot))
		return
	}
	p := n.requester.pending[slot.ID()]
	if p == nil || p.keeper != n.self.ID() {
		n.releaseSlot(now, slot, backend.OutcomeNotStarted)
		return
	}
	n.acceptSlot(now, p, slot, n.owner)
}

// grantReply returns the message that carries a slot. The start-by time is sent
// relative to the keeper's clock.
func (n *Node) grantReply(now time.Time, slot backend.Slot) *slotReply {
	return &slotReply{
		ID: slot.ID(), State: replyGranted, KeeperClock: n.membership.localClock(now),
		Server: slot.Server(), Incarnation: slot.Incarnation(),
		StartWithinMs: slot.StartBy().Sub(now).Milliseconds(),
	}
}

// deliverDenial delivers a refusal to the owner of the request.
func (n *Node) deliverDenial(now time.Time, d backend.Denied) {
	if d.Owner() != n.owner {
		n.send(d.Owner().Entry(), &slotReply{
			ID: d.AttemptID(), State: replyDenied,
			Reason: string(d.Refusal().Reason()), RetryAfterMs: d.Refusal().RetryAfter().Milliseconds(),
		})
		return
	}
	if p := n.requester.pending[d.AttemptID()]; p != nil && p.keeper == n.self.ID() {
		n.handleDenial(now, p, d.Refusal().Reason(), d.Refusal().RetryAfter())
	}
}

// deliverQueued tells the owner of a request that it is queued.
func (n *Node) deliverQueued(d backend.Queued) {
	if d.Owner() != n.owner {
		n.send(d.Owner().Entry(), &slotReply{ID: d.AttemptID(), State: replyQueued, ExpectedWaitMs: d.ExpectedWait().Milliseconds()})
		return
	}
	if p := n.requester.pending[d.AttemptID()]; p != nil && p.keeper == n.self.ID() {
		p.queued = true
	}
}
