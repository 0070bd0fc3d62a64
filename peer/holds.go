package peer

import (
	"strings"
	"time"

	"greengagedock.example/backend"
)

// seedPrefix marks the name of a link to a peer that is known by its address alone.
const seedPrefix = "seed/"

// tickHolds declares slots whose server has another keeper, or another
// incarnation of it, than the one that they were declared to last.
func (n *Node) tickHolds(now time.Time) {
	stale := make(map[string]bool)
	for _, h := range n.asking.held {
		keeper, known := n.keeperOwner(h.slot.Server())
		if known && keeper != h.declared {
			stale[keeper.Entry()] = true
		}
	}
	for _, keeper := range sortedKeys(stale) {
		n.declare(now, keeper)
	}
}

// keeperOwner returns the incarnation of the entry that keeps a server.
func (n *Node) keeperOwner(server string) (backend.Owner, bool) {
	keeper := n.asking.table.keeper[server]
	if keeper == n.self.ID() {
		return n.owner, true
	}
	peer := n.members.members[keeper]
	if peer == nil {
		return backend.Owner{}, false
	}
	return peer.owner, true
}

// declare tells an entry all that this one holds on the servers that it keeps,
// or by its own grant, and what this one waits for: what is left out counts as lost.
func (n *Node) declare(now time.Time, keeper string) {
	m := new(hold)
	for _, id := range sortedKeys(n.asking.held) {
		h := n.asking.held[id]
		owner, known := n.keeperOwner(h.slot.Server())
		keeps := known && owner.Entry() == keeper
		if keeps {
			h.declared = owner
		}
		if keeps || h.slot.Keeper() == keeper {
			m.Slots = append(m.Slots, newHeldSlot(now, h.slot))
		}
	}
	m.Waiting = sortedKeys(n.asking.wants)
	if keeper == n.self.ID() {
		n.decided(now, n.keeping.hold(now, n.owner, m))
		return
	}
	n.send(keeper, m)
}

// reconnected sends again what may have been lost on a connection that broke.
func (n *Node) reconnected(now time.Time, entry string) {
	if strings.HasPrefix(entry, seedPrefix) {
		n.send(entry, &pull{Versions: n.relay.versions()})
		return
	}
	n.declare(now, entry)
	peer := n.members.members[entry]
	if peer == nil {
		return
	}
	for _, slot := range n.keeping.ledger.Slots(peer.owner) {
		if now.Before(slot.StartBy()) {
			n.send(entry, n.grantReply(now, slot))
		}
	}
}

// newHeldSlot returns the wire form of a slot; its deadline travels as time left.
func newHeldSlot(now time.Time, slot backend.Slot) heldSlot {
	return heldSlot{
		ID: slot.ID(), Server: slot.Server(), Incarnation: slot.Incarnation(),
		Prompt: slot.Cost().Prompt(), Answer: slot.Cost().Answer(),
		TimeLeft: slot.Deadline().Sub(now).Milliseconds(),
	}
}

// slot returns the slot that an owner declares to hold.
func (h *heldSlot) slot(now time.Time, owner backend.Owner) backend.Slot {
	deadline := now.Add(time.Duration(h.TimeLeft) * time.Millisecond)
	cost := backend.NewCost(h.Prompt, h.Answer)
	want := backend.NewSlotRequest(h.ID, owner, "", backend.Workload{}, cost, deadline)
	return backend.SlotFromPeer(want, "", h.Server, "", h.Incarnation, now.Add(backend.StartWindow))
}
