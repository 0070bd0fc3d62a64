package peer

import "greengagedock.example/backend"

// shortened returns the message with its attempts' ids shortened by the owner
// that both ends know: the sender's incarnation, or the receiver's for a reply.
func (n *Node) shortened(to string, m message) message {
	owner := n.owner
	if _, answer := m.(*reply); answer {
		peer := n.members.members[to]
		if peer == nil {
			owner = backend.Owner{}
		} else {
			owner = peer.owner
		}
	}
	return withIDs(m, func(id string) string { return backend.ShortAttemptID(owner, id) })
}

// lengthened returns a received message with its attempts' whole ids.
func (n *Node) lengthened(from backend.Owner, m message) message {
	owner := from
	if _, answer := m.(*reply); answer {
		owner = n.owner
	}
	return withIDs(m, func(id string) string { return backend.FullAttemptID(owner, id) })
}

// withIDs returns a copy of a message with its attempts' ids changed.
func withIDs(m message, change func(string) string) message {
	switch m := m.(type) {
	case *ask:
		c := *m
		c.ID = change(m.ID)
		return &c
	case *reply:
		c := *m
		c.ID = change(m.ID)
		return &c
	case *withdraw:
		return &withdraw{ID: change(m.ID)}
	case *release:
		c := *m
		c.ID = change(m.ID)
		return &c
	case *hold:
		c := &hold{Waiting: make([]string, len(m.Waiting)), Slots: make([]heldSlot, len(m.Slots))}
		for i, id := range m.Waiting {
			c.Waiting[i] = change(id)
		}
		for i, s := range m.Slots {
			s.ID = change(s.ID)
			c.Slots[i] = s
		}
		return c
	default:
		return m
	}
}
