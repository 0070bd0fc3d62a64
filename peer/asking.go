package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	"greengagedock.example/backend"
)

const (
	// replyTimeout is how long a keeper may take to answer an ask at all.
	replyTimeout = time.Second
	// moveAfter is how long a want waits in a queue before it may move to a
	// keeper that has room.
	moveAfter = 250 * time.Millisecond
	// maxAsked is how many keepers one want is taken to before it is refused.
	maxAsked = 4
	// retryPause is the time to come back when nothing better is known.
	retryPause = time.Second
)

// asking is this entry's part as one that asks keepers for slots.
type asking struct {
	random *rand.Rand
	table  keeperTable
	wants  map[string]*asked
	held   map[string]*holding
	prefix prefixMemory
}

// asked is a want of this entry that waits for its slot.
type asked struct {
	want   backend.SlotRequest
	keeper string
	sent   time.Time
	queued bool
	tried  []string
	reason backend.Reason
	back   time.Duration
}

// holding is a slot that this entry uses, and whom it was declared to.
type holding struct {
	slot     backend.Slot
	declared backend.Owner
}

func newAsking(random *rand.Rand) asking {
	return asking{
		random: random,
		wants:  make(map[string]*asked),
		held:   make(map[string]*holding),
	}
}

// wanted takes a want of this entry's traffic.
func (n *Node) wanted(now time.Time, want backend.SlotRequest) {
	a := &asked{want: want, reason: backend.ReasonNoServer, back: retryPause}
	n.asking.wants[want.ID()] = a
	n.askNext(now, a)
}

// askNext takes a want to the best keeper that it was not at yet, or refuses it.
func (n *Node) askNext(now time.Time, a *asked) {
	if !now.Before(a.want.Deadline()) {
		a.reason = backend.ReasonDeadline
		n.refuse(a)
		return
	}
	keeper, why := n.choose(now, a)
	if keeper == "" {
		n.excuse(a)
		n.refuse(a)
		return
	}
	a.keeper = keeper
	a.sent = now
	a.queued = false
	a.tried = append(a.tried, keeper)
	n.note("routed", "attempt", a.want.ID(), "service", a.want.Workload().Service(), "model", a.want.Workload().Model(),
		"keeper", keeper, "why", why, "tried", len(a.tried))
	if keeper == n.self.ID() {
		n.decided(now, n.keeping.ask(now, a.want))
		return
	}
	n.send(keeper, newAsk(now, a.want))
}

// excuse corrects the reason of a want that no keeper was asked for: the
// servers are listed, but those who keep them are not heard.
func (n *Node) excuse(a *asked) {
	if a.reason == backend.ReasonNoServer && len(n.asking.table.services[a.want.Workload().Service()]) > 0 {
		a.reason = backend.ReasonBusy
	}
}

// refuse ends a want without a slot.
func (n *Node) refuse(a *asked) {
	delete(n.asking.wants, a.want.ID())
	n.note("refused", "attempt", a.want.ID(), "reason", a.reason, "come_back", a.back, "keepers_asked", len(a.tried))
	n.effects = append(n.effects, SlotResult{want: a.want.ID(), refusal: backend.NewRefusal(a.reason, a.back)})
}

// withdrawn takes a want of this entry back, or a slot that its traffic will not use.
func (n *Node) withdrawn(now time.Time, id string) {
	if a := n.asking.wants[id]; a != nil {
		delete(n.asking.wants, id)
		n.leave(now, a)
		return
	}
	if h := n.asking.held[id]; h != nil {
		n.released(now, h.slot, backend.OutcomeNotStarted)
	}
}

// leave takes a want back from the keeper that it waits at.
func (n *Node) leave(now time.Time, a *asked) {
	if a.keeper == n.self.ID() {
		n.decided(now, n.keeping.withdraw(now, n.owner, a.want.ID()))
		return
	}
	n.send(a.keeper, &withdraw{ID: a.want.ID()})
}

// released gives a slot back to the keeper that granted it and to the one
// that keeps its server now.
func (n *Node) released(now time.Time, slot backend.Slot, outcome backend.Outcome) {
	delete(n.asking.held, slot.ID())
	keepers := []string{slot.Keeper()}
	if current := n.asking.table.keeper[slot.Server()]; current != "" && current != slot.Keeper() {
		keepers = append(keepers, current)
	}
	m := &release{ID: slot.ID(), Server: slot.Server(), Outcome: string(outcome)}
	for _, keeper := range keepers {
		if keeper == n.self.ID() {
			n.decided(now, n.keeping.release(now, n.owner, m))
			continue
		}
		n.send(keeper, m)
	}
}

// replied takes a keeper's answer to an ask.
func (n *Node) replied(now time.Time, from backend.Owner, m *reply) {
	a := n.asking.wants[m.ID]
	current := a != nil && a.keeper == from.Entry()
	switch m.State {
	case replyGranted:
		n.grantedBy(now, from, m, a, current)
	case replyQueued:
		if current {
			a.queued = true
		}
	case replyDenied:
		if current {
			n.denied(now, a, backend.Reason(m.Reason), time.Duration(m.ComeBack)*time.Millisecond)
		}
	}
}

// grantedBy takes a peer's grant; one that nobody waits for, or that is too
// old to be used, is given back.
func (n *Node) grantedBy(now time.Time, from backend.Owner, m *reply, a *asked, current bool) {
	if _, held := n.asking.held[m.ID]; held && !current {
		return
	}
	sent, known := n.members.peerTime(from, m.Clock)
	startBy := sent.Add(time.Duration(m.StartWithin) * time.Millisecond)
	address, listed := n.asking.table.address[m.Server]
	lease := current && a.want.Workload().IsGroupLease() // Of no server that is listed.
	usable := current && known && (listed || lease) && now.Before(startBy) && !n.asking.table.closed[m.Server]
	if !usable {
		n.send(from.Entry(), &release{ID: m.ID, Server: m.Server, Outcome: string(backend.OutcomeNotStarted)})
		if current {
			n.askNext(now, a)
		}
		return
	}
	slot := backend.SlotFromPeer(a.want, from.Entry(), m.Server, address, m.Incarnation, startBy)
	n.take(now, a, slot, from)
}

// take hands a granted slot to the traffic.
func (n *Node) take(now time.Time, a *asked, slot backend.Slot, keeper backend.Owner) {
	delete(n.asking.wants, a.want.ID())
	n.asking.held[slot.ID()] = &holding{slot: slot, declared: keeper}
	n.asking.prefix.put(a.want.Prefix(), slot.Server())
	n.effects = append(n.effects, SlotResult{want: slot.ID(), slot: slot})
}

// denied takes a keeper's refusal to the next keeper, if another try can help.
func (n *Node) denied(now time.Time, a *asked, reason backend.Reason, back time.Duration) {
	if a.reason == backend.ReasonNoServer || back < a.back {
		a.back = back
	}
	a.reason = reason
	if len(a.tried) >= maxAsked {
		n.refuse(a)
		return
	}
	n.askNext(now, a)
}

// tickAsking moves wants on whose keeper is silent or has no room while
// another has, and ends those whose time is over.
func (n *Node) tickAsking(now time.Time) {
	for _, id := range sortedKeys(n.asking.wants) {
		a := n.asking.wants[id]
		if a == nil {
			continue
		}
		waited := now.Sub(a.sent)
		switch {
		case !now.Before(a.want.Deadline()):
			n.leave(now, a)
			a.reason = backend.ReasonDeadline
			n.refuse(a)
		case !a.queued && waited >= replyTimeout:
			n.leave(now, a)
			a.reason = backend.ReasonBusy
			n.askNext(now, a)
		case a.queued && (!n.reachable(now, a.keeper) || waited >= moveAfter && n.roomElsewhere(now, a)):
			n.leave(now, a)
			n.askNext(now, a)
		}
	}
}

// keeperChanged moves the wants that waited at an incarnation that is gone.
func (n *Node) keeperChanged(now time.Time, entry string) {
	for _, id := range sortedKeys(n.asking.wants) {
		if a := n.asking.wants[id]; a != nil && a.keeper == entry {
			n.askNext(now, a)
		}
	}
}

// sortedKeys returns a map's keys in order, so that equal states do equal things.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
