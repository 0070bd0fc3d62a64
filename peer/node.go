package peer

import (
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/mesh"
	"greengagedock.example/registry"
)

// Node is the control state of one entry instance. It is driven by Step
// alone, does no I/O, reads no clock, and is owned by one goroutine.
type Node struct {
	self    registry.Instance
	owner   backend.Owner
	members membership
	relay   relay
	sync    syncState
	keeping keeping
	asking  asking

	servers map[string]registry.List
	domains map[string]registry.State

	placed    placement
	trustedAt time.Time
	authority bool
	lastBeat  time.Time
	contact   time.Time
	requests  int
	draining  bool
	ending    bool
	effects   []Effect
	changed   bool
}

// NewNode returns the control state of an entry that starts now. Two nodes
// with the same owner, events and times do the same.
func NewNode(now time.Time, self registry.Instance, incarnation uint64) *Node {
	owner := backend.NewOwner(self.ID(), incarnation)
	random := rand.New(rand.NewPCG(incarnation, mesh.RendezvousWeight(self.ID(), "")))
	return &Node{
		self:    self,
		owner:   owner,
		members: newMembership(now, owner),
		relay:   newRelay(),
		sync:    newSyncState(now),
		keeping: newKeeping(self.ID()),
		asking:  newAsking(random),
		servers: make(map[string]registry.List),
		domains: make(map[string]registry.State),
	}
}

// Step takes one event into the state and returns what is to be done, in order.
func (n *Node) Step(now time.Time, event Event) []Effect {
	n.effects = nil
	if now.Sub(n.trustedAt) >= clockMargin/2 {
		n.trust(now)
	}
	switch e := event.(type) {
	case Tick:
		n.tick(now)
	case Received:
		n.receive(now, e.from, e.message)
	case linkUp:
		n.reconnected(now, e.entry)
	case PlatformRead:
		n.contact = now
		n.offer(now, "platform", e.items)
		n.sync.platformRead()
	case SlotRequested:
		n.wanted(now, e.want)
	case RequestWithdrawn:
		n.withdrawn(now, e.id)
	case SlotReleased:
		n.released(now, e.slot, e.outcome)
	case LoadReported:
		n.decided(now, n.keeping.report(now, e.report))
	case ServerUnreachable:
		n.decided(now, n.keeping.unreachable(now, e.server))
	case Draining:
		n.draining = true
		n.beat(now)
	case Stopping:
		n.ending = true
		n.beat(now)
	case OpenRequests:
		n.requests = e.requests
	}
	return n.effects
}

// tick does what is due.
func (n *Node) tick(now time.Time) {
	n.place(now)
	n.decided(now, n.keeping.tick(now))
	n.tickAsking(now)
	n.tickHolds(now)
	n.tickSync(now)
	n.dropGone(now)
	if now.Sub(n.lastBeat) >= heartbeatInterval(n.members.list) {
		n.beat(now)
	}
}

const (
	// forgetAfter is how long an entry that is no longer listed must be silent
	// before its streams are cancelled.
	forgetAfter = 10 * time.Second
	// disownAfter is how long a stream that a server reports may go unclaimed
	// by its owner before it is cancelled.
	disownAfter = 10 * time.Second
)

// dropGone cancels the streams of owners that will not claim them any more.
func (n *Node) dropGone(now time.Time) {
	n.decided(now, n.keeping.ledger.CancelUnclaimed(now, disownAfter, func(server string, owner backend.Owner) bool {
		return n.gone(now, server, owner)
	}))
	if !n.authority {
		return
	}
	for _, gone := range n.members.forget(now, forgetAfter) {
		n.note("peer forgotten", "peer", gone.Entry())
		n.decided(now, n.keeping.forget(now, gone))
	}
}

// gone reports whether an owner will not claim a stream on a server that this
// entry keeps: it has a newer incarnation; or it is heard, has the same list
// and so knows the keeper, and would have claimed it; or it is neither listed
// nor heard. The last needs authority, since an entry that is cut off knows
// nothing of those that were listed since; a listed owner that is silent may
// only be cut off itself.
func (n *Node) gone(now time.Time, server string, owner backend.Owner) bool {
	peer := n.members.members[owner.Entry()]
	_, listed := n.members.list.Find(owner.Entry())
	switch {
	case owner.Entry() == n.self.ID():
		return true
	case peer != nil && peer.owner.Incarnation() > owner.Incarnation():
		return true
	case peer != nil && now.Sub(peer.heard) < vouchValidity(n.members.list):
		return n.keeping.kept[server].listed && peer.version == n.members.list.Version()
	default:
		return n.authority && !listed && (peer == nil || now.Sub(peer.heard) >= forgetAfter)
	}
}

// beat sends a heartbeat to every listed peer.
func (n *Node) beat(now time.Time) {
	n.lastBeat = now
	hb := n.members.nextHeartbeat(now)
	hb.Digest = n.relay.digest
	hb.Streams = n.requests
	hb.Drains = n.draining
	hb.Ends = n.ending
	hb.Synced = n.sync.done
	hb.Contact = n.contactAge(now)
	hb.Loads = n.keeping.loads(now)
	hb.Warm = n.keeping.warmMarks(now, hb.Seq)
	for _, entry := range sortedKeys(n.members.targets(now)) {
		n.send(entry, n.heartbeatTo(entry, hb))
	}
}

// heartbeatTo returns the heartbeat for one peer: with the acknowledgement of
// its own, and with the lists that it may not know while those known differ.
func (n *Node) heartbeatTo(entry string, hb heartbeat) *heartbeat {
	peer := n.members.members[entry]
	if peer != nil {
		hb.AckSeq = peer.seq
	}
	_, listed := n.members.list.Find(entry)
	if peer == nil || !listed || peer.last.Lists != hb.Lists {
		hb.Control = n.self.ControlAddress()
		hb.Known = n.members.knownLists()
	}
	return &hb
}

// contactAge returns the milliseconds since the platform was last read, -1 for never.
func (n *Node) contactAge(now time.Time) int64 {
	if n.contact.IsZero() {
		return -1
	}
	return now.Sub(n.contact).Milliseconds()
}

// receive takes a peer's message.
func (n *Node) receive(now time.Time, from backend.Owner, m message) {
	switch m := n.lengthened(from, m).(type) {
	case *heartbeat:
		n.heard(now, from, *m)
	case *ask:
		n.decided(now, n.keeping.ask(now, m.want(now, from)))
	case *reply:
		n.replied(now, from, m)
	case *withdraw:
		n.decided(now, n.keeping.withdraw(now, from, m.ID))
	case *release:
		n.decided(now, n.keeping.release(now, from, m))
	case *hold:
		n.decided(now, n.keeping.hold(now, from, m))
	case *claims:
		n.declare(now, from.Entry())
	case *pull:
		n.send(from.Entry(), newItems(n.relay.newer(m.Versions)))
	case *items:
		n.offer(now, from.Entry(), m.published())
		n.sync.answered(from.Entry())
	}
}

// heard takes a heartbeat in.
func (n *Node) heard(now time.Time, from backend.Owner, hb heartbeat) {
	before, known := n.members.members[from.Entry()]
	var old backend.Owner
	if known {
		old = before.owner
	}
	if n.members.heardFrom(now, from, hb) {
		n.note("peer incarnation", "peer", from.Entry(), "incarnation", from.Incarnation())
		n.keeperChanged(now, from.Entry())
		if known {
			n.decided(now, n.keeping.forget(now, old))
		}
	}
	n.keeping.learnWarmth(hb.Warm)
	n.compare(now, from.Entry(), hb.Digest)
}

// offer takes published items into force, whoever brought them.
func (n *Node) offer(now time.Time, source string, published []registry.Item) {
	for _, item := range published {
		accepted, err := n.relay.offer(now, item, source)
		if err != nil {
			n.warn("item refused", "key", item.Key(), "version", item.Version(), "source", source, "error", err)
		}
		if accepted {
			n.apply(now, n.relay.items[item.Key()].item)
			n.note("item in force", "key", item.Key(), "version", n.relay.items[item.Key()].item.Version(), "source", source)
		}
	}
}

// apply puts an accepted item to use; it was inspected, so it parses.
func (n *Node) apply(now time.Time, item registry.Item) {
	n.changed = true
	switch {
	case item.Key() == registry.EntriesPrefix+n.self.Location().Region():
		list, _ := registry.ParseList(item)
		n.members.setList(now, list)
	case strings.HasPrefix(item.Key(), registry.ServersPrefix):
		list, _ := registry.ParseList(item)
		n.servers[item.Key()] = list
	case item.Key() == registry.DomainsKey:
		domains, _ := registry.ParseDomains(item)
		n.domains = maps.Clone(domains)
	}
	n.place(now)
}

func (n *Node) send(to string, m message) {
	n.effects = append(n.effects, Send{to: to, message: n.shortened(to, m)})
}

func (n *Node) note(text string, pairs ...any) {
	n.effects = append(n.effects, LogLine{level: noteInfo, text: text, pairs: pairs})
}

func (n *Node) warn(text string, pairs ...any) {
	n.effects = append(n.effects, LogLine{level: noteWarn, text: text, pairs: pairs})
}
