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

// Node is the control state of one entry instance. Only Step changes it. It
// does no I/O, reads no clock, and is owned by one goroutine.
type Node struct {
	self       registry.Instance
	owner      backend.Owner
	membership membership
	items      itemStore
	sync       syncState
	keeper     keeperState
	requester  requesterState

	serverLists  map[string]registry.List
	domainStates map[string]registry.State

	assignedFrom    assignmentInputs
	leasesUpdatedAt time.Time
	quorumLease     bool
	lastHeartbeat   time.Time
	platformReadAt  time.Time
	openRequests    int
	draining        bool
	stopping        bool
	effects         []Effect
	changed         bool
}

// NewNode returns the control state of an entry that starts now. Two nodes with
// the same arguments and the same sequence of events and times have the same
// effects.
func NewNode(now time.Time, self registry.Instance, incarnation uint64) *Node {
	owner := backend.NewOwner(self.ID(), incarnation)
	random := rand.New(rand.NewPCG(incarnation, mesh.RendezvousWeight(self.ID(), "")))
	return &Node{
		self:         self,
		owner:        owner,
		membership:   newMembership(now, owner),
		items:        newItemStore(),
		sync:         newSyncState(now),
		keeper:       newKeeperState(self.ID()),
		requester:    newRequesterState(random),
		serverLists:  make(map[string]registry.List),
		domainStates: make(map[string]registry.State),
	}
}

// Step applies one event and returns its effects, to be carried out in order.
func (n *Node) Step(now time.Time, event Event) []Effect {
	n.effects = nil
	if now.Sub(n.leasesUpdatedAt) >= clockMargin/2 {
		n.updateLeases(now)
	}
	switch e := event.(type) {
	case Tick:
		n.tick(now)
	case Received:
		n.receive(now, e.from, e.message)
		n.membership.noteUnderstood(e.from, e.understands)
	case linkUp:
		n.handleLinkUp(now, e.entry)
	case PlatformRead:
		n.platformReadAt = now
		n.offer(now, "platform", e.items)
		n.sync.recordPlatformRead()
	case SlotRequested:
		n.requestSlot(now, e.request)
	case RequestWithdrawn:
		n.withdrawRequest(now, e.attemptID)
	case SlotReleased:
		n.releaseSlot(now, e.slot, e.outcome)
	case ServerCrashed:
		n.recordCrash(now, e.slot)
	case RequestSettled:
		n.recordSettled(now, e.slot)
	case ServerRefused:
		n.recordRefusal(now, e.slot, e.wait)
	case LoadReported:
		n.deliverDecisions(now, n.keeper.report(now, e.report))
	case ServerUnreachable:
		n.deliverDecisions(now, n.keeper.unreachable(now, e.server))
	case Draining:
		n.draining = true
		n.sendHeartbeats(now)
	case Stopping:
		n.stopping = true
		n.sendHeartbeats(now)
	case OpenRequests:
		n.openRequests = e.requests
	}
	return n.effects
}

// tick runs the periodic work that is due.
func (n *Node) tick(now time.Time) {
	n.updateAssignment(now)
	n.deliverDecisions(now, n.keeper.tick(now))
	n.tickRequests(now)
	n.tickRepeats(now)
	n.tickDeclarations(now)
	n.tickSync(now)
	n.cancelOrphans(now)
	if now.Sub(n.lastHeartbeat) >= heartbeatInterval(n.membership.list) {
		n.sendHeartbeats(now)
	}
}

const (
	// forgetSilentAfter is how long an entry that is no longer listed must be
	// silent before its attempts are cancelled.
	forgetSilentAfter = 10 * time.Second
	// cancelUnclaimedAfter is how long an attempt that a server reports may go
	// undeclared by its owner before it is cancelled.
	cancelUnclaimedAfter = 10 * time.Second
)

// cancelOrphans cancels the attempts whose owner will not declare them any
// more.
func (n *Node) cancelOrphans(now time.Time) {
	n.deliverDecisions(now, n.keeper.allocator.CancelUnclaimed(now, cancelUnclaimedAfter, func(server string, owner backend.Owner) bool {
		return n.isOrphaned(now, server, owner)
	}))
	if !n.quorumLease {
		return
	}
	for _, owner := range n.membership.forgetMembers(now, forgetSilentAfter) {
		n.logInfo("dropped silent peer that is no longer listed", "peer", owner.Entry())
		n.deliverDecisions(now, n.keeper.forgetOwner(now, owner))
	}
}

// isOrphaned reports whether an owner will not declare its attempts on a server
// that this entry keeps: it is this entry itself; it has a newer incarnation;
// it has been heard for a while and has the same list, so it knows the keeper and
// would have declared them; or it is neither listed nor heard. The last case requires the
// quorum lease, since a partitioned entry does not know the entries that were
// listed since. A listed owner that is silent may only be partitioned itself.
func (n *Node) isOrphaned(now time.Time, server string, owner backend.Owner) bool {
	peer := n.membership.members[owner.Entry()]
	_, listed := n.membership.list.Find(owner.Entry())
	switch {
	case owner.Entry() == n.self.ID():
		return true
	case peer != nil && peer.owner.Incarnation() > owner.Incarnation():
		return true
	case peer != nil && now.Sub(peer.lastHeard) < leaseDuration(n.membership.list):
		return n.keeper.kept[server].keeperByList && peer.listVersion == n.membership.list.Version() &&
			now.Sub(peer.heardSince) >= cancelUnclaimedAfter
	default:
		return n.quorumLease && !listed && (peer == nil || now.Sub(peer.lastHeard) >= forgetSilentAfter)
	}
}

// sendHeartbeats sends a heartbeat to every target.
func (n *Node) sendHeartbeats(now time.Time) {
	n.lastHeartbeat = now
	hb := n.membership.nextHeartbeat(now)
	hb.ItemsDigest = n.items.digest
	hb.OpenRequests = n.openRequests
	hb.Draining = n.draining
	hb.Stopping = n.stopping
	hb.Synced = n.sync.done
	hb.PlatformAgeMs = n.platformAgeMs(now)
	hb.FreeCapacities = n.keeper.freeCapacities(now)
	hb.Warmth = n.keeper.warmthUpdates(now, hb.Seq)
	for _, entry := range sortedKeys(n.membership.heartbeatTargets(now)) {
		n.send(entry, n.heartbeatFor(entry, hb))
	}
}

// heartbeatFor returns the heartbeat for one peer: it acknowledges the peer's
// own, and carries the known lists while the peer's differ.
func (n *Node) heartbeatFor(entry string, hb heartbeat) *heartbeat {
	peer := n.membership.members[entry]
	if peer != nil {
		hb.AckSeq = peer.lastSeq
	}
	_, listed := n.membership.list.Find(entry)
	if peer == nil || !listed || peer.lastHeartbeat.ListsDigest != hb.ListsDigest {
		hb.ControlAddress = n.self.ControlAddress()
		hb.KnownLists = n.membership.knownLists()
	}
	return &hb
}

// platformAgeMs returns the time since the platform was last read, -1 for
// never.
func (n *Node) platformAgeMs(now time.Time) int64 {
	if n.platformReadAt.IsZero() {
		return -1
	}
	return now.Sub(n.platformReadAt).Milliseconds()
}

// receive handles a message from a peer.
func (n *Node) receive(now time.Time, from backend.Owner, m message) {
	switch m := n.expandIDs(from, m).(type) {
	case *heartbeat:
		n.receiveHeartbeat(now, from, *m)
	case *slotRequest:
		n.deliverDecisions(now, n.keeper.requestSlot(now, m.request(now, from)))
	case *slotReply:
		n.handleReply(now, from, m)
	case *withdraw:
		n.deliverDecisions(now, n.keeper.withdraw(now, from, m.ID))
	case *release:
		n.deliverDecisions(now, n.keeper.release(now, from, m))
	case *slotDeclaration:
		n.deliverDecisions(now, n.keeper.receiveDeclaration(now, from, m))
	case *pull:
		n.send(from.Entry(), newItems(n.items.newerThan(m.Versions)))
	case *repeats:
		n.mergeRepeats(now, m)
	case *items:
		n.offer(now, from.Entry(), m.published())
		n.sync.recordPeerAnswer(from.Entry())
	}
}

// receiveHeartbeat handles a heartbeat.
func (n *Node) receiveHeartbeat(now time.Time, from backend.Owner, hb heartbeat) {
	before, known := n.membership.members[from.Entry()]
	var previous backend.Owner
	if known {
		previous = before.owner
	}
	if n.membership.receiveHeartbeat(now, from, hb) {
		n.logInfo("new incarnation of peer", "peer", from.Entry(), "incarnation", from.Incarnation())
		n.rerouteFrom(now, from.Entry())
		if known {
			n.deliverDecisions(now, n.keeper.forgetOwner(now, previous))
		}
	}
	n.keeper.learnWarmth(hb.Warmth)
	n.pullIfDifferent(now, from.Entry(), hb.ItemsDigest)
}

// offer activates those published items that are valid and newer; source is the
// platform or the peer that they come from.
func (n *Node) offer(now time.Time, source string, published []registry.Item) {
	for _, item := range published {
		accepted, err := n.items.offer(now, item, source)
		if err != nil {
			n.logWarn("item refused", "key", item.Key(), "version", item.Version(), "source", source, "error", err)
		}
		if accepted {
			n.applyItem(now, n.items.active[item.Key()].item)
			n.logInfo("item activated", "key", item.Key(), "version", n.items.active[item.Key()].item.Version(), "source", source)
		}
	}
}

// applyItem updates the state that depends on an accepted item. The item was
// validated, so it parses.
func (n *Node) applyItem(now time.Time, item registry.Item) {
	n.changed = true
	switch {
	case item.Key() == registry.EntriesPrefix+n.self.Location().Region():
		list, _ := registry.ParseList(item)
		n.membership.setList(now, list)
	case strings.HasPrefix(item.Key(), registry.ServersPrefix):
		list, _ := registry.ParseList(item)
		n.serverLists[item.Key()] = list
	case item.Key() == registry.DomainsKey:
		domains, _ := registry.ParseDomains(item)
		n.domainStates = maps.Clone(domains)
	}
	n.updateAssignment(now)
}

// send sends a message to a peer that understands it.
func (n *Node) send(to string, m message) {
	if !n.membership.understands(to, m.kind()) {
		return
	}
	n.effects = append(n.effects, Send{to: to, message: n.shortenIDs(to, m)})
}

func (n *Node) logInfo(text string, pairs ...any) {
	n.effects = append(n.effects, LogLine{level: levelInfo, text: text, pairs: pairs})
}

func (n *Node) logWarn(text string, pairs ...any) {
	n.effects = append(n.effects, LogLine{level: levelWarn, text: text, pairs: pairs})
}
