package peer

import "greengagedock.example/backend"

// shortenIDs returns the message with its attempt ids shortened: the owner,
// which both ends know, is left out. The owner is the sender's incarnation, or
// the receiver's in a reply.
func (n *Node) shortenIDs(to string, m message) message {
	owner := n.owner
	if _, isReply := m.(*slotReply); isReply {
		peer := n.membership.members[to]
		if peer == nil {
			owner = backend.Owner{}
		} else {
			owner = peer.owner
		}
	}
	return mapAttemptIDs(m, func(id string) string { return backend.ShortAttemptID(owner, id) })
}

// expandIDs returns a received message with its attempt ids restored to full
// length.
func (n *Node) expandIDs(from backend.Owner, m message) message {
	owner := from
	if _, isReply := m.(*slotReply); isReply {
		owner = n.owner
	}
	return mapAttemptIDs(m, func(id string) string { return backend.FullAttemptID(owner, id) })
}

// mapAttemptIDs returns a copy of a message with change applied to its attempt
// ids.
func mapAttemptIDs(m message, change func(string) string) message {
	switch m := m.(type) {
	case *slotRequest:
		c := *m
		c.ID = change(m.ID)
		return &c
	case *slotReply:
		c := *m
		c.ID = change(m.ID)
		return &c
	case *withdraw:
		c := *m
		c.ID = change(m.ID)
		return &c
	case *release:
		c := *m
		c.ID = change(m.ID)
		return &c
	case *slotDeclaration:
		c := *m
		c.Pending, c.Slots = make([]string, len(m.Pending)), make([]declaredSlot, len(m.Slots))
		for i, id := range m.Pending {
			c.Pending[i] = change(id)
		}
		for i, s := range m.Slots {
			s.ID = change(s.ID)
			c.Slots[i] = s
		}
		return &c
	default:
		return m
	}
}
