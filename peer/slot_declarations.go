package peer

import (
	"strings"
	"time"

	"greengagedock.example/backend"
)

// seedPrefix marks the name of a link to a peer of which only the address is
// known.
const seedPrefix = "seed/"

// tickDeclarations declares the slots whose server is now kept by another
// entry, or by another incarnation of it, than the one to which they were last
// declared.
func (n *Node) tickDeclarations(now time.Time) {
	stale := make(map[string]bool)
	for _, owned := range n.requester.held {
		keeper, known := n.keeperIncarnation(owned.slot.Server())
		if known && keeper != owned.declaredTo {
			stale[keeper.Entry()] = true
		}
	}
	for _, keeper := range sortedKeys(stale) {
		n.declareSlots(now, keeper)
	}
}

// keeperIncarnation returns the current incarnation of the entry that keeps a
// server.
func (n *Node) keeperIncarnation(server string) (backend.Owner, bool) {
	keeper := n.requester.table.keepers[server]
	if keeper == n.self.ID() {
		return n.owner, true
	}
	peer := n.membership.members[keeper]
	if peer == nil {
		return backend.Owner{}, false
	}
	return peer.owner, true
}

// declareSlots declares to a keeper every slot that this entry holds on the
// keeper's servers or by the keeper's grant, and every pending request. The
// keeper releases slots of this entry that are not declared.
func (n *Node) declareSlots(now time.Time, keeper string) {
	m := new(slotDeclaration)
	for _, id := range sortedKeys(n.requester.held) {
		owned := n.requester.held[id]
		owner, known := n.keeperIncarnation(owned.slot.Server())
		keeps := known && owner.Entry() == keeper
		if keeps {
			owned.declaredTo = owner
		}
		if keeps || owned.slot.Keeper() == keeper {
			m.Slots = append(m.Slots, newDeclaredSlot(now, owned.slot))
		}
	}
	m.Pending = sortedKeys(n.requester.pending)
	if keeper == n.self.ID() {
		n.deliverDecisions(now, n.keeper.receiveDeclaration(now, n.owner, m))
		return
	}
	n.send(keeper, m)
}

// handleLinkUp resends what may have been lost with the previous connection.
func (n *Node) handleLinkUp(now time.Time, entry string) {
	if strings.HasPrefix(entry, seedPrefix) {
		n.send(entry, &pull{Versions: n.items.versions()})
		return
	}
	n.declareSlots(now, entry)
	n.sendRepeats(now, entry, n.requester.repeats.Known())
	peer := n.membership.members[entry]
	if peer == nil {
		return
	}
	for _, slot := range n.keeper.allocator.Slots(peer.owner) {
		if now.Before(slot.StartBy()) {
			n.send(entry, n.grantReply(now, slot))
		}
	}
}

// newDeclaredSlot returns the wire form of a slot. The deadline is sent as the
// time left.
func newDeclaredSlot(now time.Time, slot backend.Slot) declaredSlot {
	return declaredSlot{
		ID: slot.ID(), Server: slot.Server(), Incarnation: slot.Incarnation(),
		PromptTokens: slot.Cost().Prompt(), AnswerTokens: slot.Cost().Answer(),
		TimeLeftMs: slot.Deadline().Sub(now).Milliseconds(),
	}
}

// slot returns the slot that its owner declares.
func (s *declaredSlot) slot(now time.Time, owner backend.Owner) backend.Slot {
	deadline := now.Add(time.Duration(s.TimeLeftMs) * time.Millisecond)
	cost := backend.NewCost(s.PromptTokens, s.AnswerTokens)
	request := backend.NewSlotRequest(s.ID, owner, "", backend.Workload{}, cost, deadline)
	return backend.SlotFromPeer(request, "", s.Server, "", s.Incarnation, now.Add(backend.StartWindow))
}
