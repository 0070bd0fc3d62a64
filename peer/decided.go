package peer

import (
	"time"

	"greengagedock.example/backend"
)

// decided passes this entry's decisions as a keeper on to whom they concern.
func (n *Node) decided(now time.Time, decisions []backend.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case backend.Granted:
			n.note("placed", "decision", d)
			n.passGrant(now, d.Slot())
		case backend.Denied:
			n.note("placed", "decision", d)
			n.passDenial(now, d)
		case backend.Queued:
			n.passQueued(d)
		case backend.Orphan:
			n.note("cancel", "decision", d)
			n.effects = append(n.effects, Cancel{address: d.Address(), stream: d.Stream()})
		}
	}
}

// passGrant gives a slot to its owner.
func (n *Node) passGrant(now time.Time, slot backend.Slot) {
	if slot.Owner() != n.owner {
		n.send(slot.Owner().Entry(), n.grantReply(now, slot))
		return
	}
	a := n.asking.wants[slot.ID()]
	if a == nil || a.keeper != n.self.ID() {
		n.released(now, slot, backend.OutcomeNotStarted)
		return
	}
	n.take(now, a, slot, n.owner)
}

// grantReply returns the message that carries a slot; the start-by time
// travels relative to the keeper's clock.
func (n *Node) grantReply(now time.Time, slot backend.Slot) *reply {
	return &reply{
		ID: slot.ID(), State: replyGranted, Clock: n.members.clock(now),
		Server: slot.Server(), Incarnation: slot.Incarnation(),
		StartWithin: slot.StartBy().Sub(now).Milliseconds(),
	}
}

// passDenial gives a refusal to the owner of its want.
func (n *Node) passDenial(now time.Time, d backend.Denied) {
	if d.Owner() != n.owner {
		n.send(d.Owner().Entry(), &reply{
			ID: d.AttemptID(), State: replyDenied,
			Reason: string(d.Refusal().Reason()), ComeBack: d.Refusal().RetryAfter().Milliseconds(),
		})
		return
	}
	if a := n.asking.wants[d.AttemptID()]; a != nil && a.keeper == n.self.ID() {
		n.denied(now, a, d.Refusal().Reason(), d.Refusal().RetryAfter())
	}
}

// passQueued tells the owner of a want that it waits.
func (n *Node) passQueued(d backend.Queued) {
	if d.Owner() != n.owner {
		n.send(d.Owner().Entry(), &reply{ID: d.AttemptID(), State: replyQueued, Wait: d.ExpectedWait().Milliseconds()})
		return
	}
	if a := n.asking.wants[d.AttemptID()]; a != nil && a.keeper == n.self.ID() {
		a.queued = true
	}
}
