package peer

import (
	"fmt"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// advance advances the virtual time by d.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(simStep)
		for _, id := range sortedKeys(sim.servers) {
			sim.stepServer(sim.servers[id])
		}
		for _, id := range sortedKeys(sim.nodes) {
			n := sim.nodes[id]
			if n != nil && n.paused {
				n.informedSince = noTime
			}
			if n != nil && !n.paused {
				sim.updateInformed(n)
				sim.stepNode(n)
				if sim.underLoad && sim.random.IntN(8) == 0 {
					sim.requestSlot(n)
				}
			}
		}
	}
}

// stepNode does the work that is due at one entry: messages, platform reads,
// polls, a tick and its traffic.
func (sim *simulation) stepNode(n *simNode) {
	sim.deliver(n)
	if !n.platformUnreachable && sim.now.Sub(n.platformReadAt) >= 200*time.Millisecond {
		n.platformReadAt = sim.now
		sim.readPlatform(n)
	}
	if sim.now.Sub(n.polledAt) >= 500*time.Millisecond {
		n.polledAt = sim.now
		sim.poll(n)
	}
	sim.drive(n, Tick{})
	sim.applyMutation(n)
	sim.traffic(n)
	sim.checkNode(n)
}

// applyMutation reverts what the broken rule has just decided at the node.
func (sim *simulation) applyMutation(n *simNode) {
	for id := range n.node.keeper.kept {
		switch sim.mutation {
		case mutationLease:
			n.node.keeper.allocator.SetKeeperLease(id, backend.KeeperLeaseFull)
		case mutationDomainState:
			n.node.keeper.allocator.SetClosed(id, false)
		}
	}
	if sim.mutation == mutationDomainState {
		clear(n.node.requester.table.closedServers)
	}
}

// deliver delivers the messages that have arrived at the node.
func (sim *simulation) deliver(n *simNode) {
	for _, other := range sortedKeys(sim.nodes) {
		pair := [2]string{other, n.id}
		queue := sim.inFlight[pair]
		for len(queue) > 0 && !queue[0].at.After(sim.now) {
			f := queue[0]
			queue = queue[1:]
			sim.inFlight[pair] = queue
			sim.drive(n, Received{from: f.from, message: f.message})
		}
	}
}

// poll delivers the load reports of the servers that a node keeps.
func (sim *simulation) poll(n *simNode) {
	for _, id := range sortedKeys(n.node.keeper.kept) {
		server := sim.servers[id]
		if server == nil || len(server.reports) == 0 {
			sim.drive(n, ServerUnreachable{server: id})
			continue
		}
		sim.drive(n, LoadReported{report: server.report(sim.now)})
	}
}

// report returns the newest load report that is at least as old as the server's
// lag.
func (s *simServer) report(now time.Time) backend.Report {
	at := 0
	for i, taken := range s.reportTimes {
		if now.Sub(taken) >= s.lag {
			at = i
		}
	}
	return s.reports[at].WithLag(now.Sub(s.reportTimes[at]))
}

// stepServer records the server's current load for later reports.
func (sim *simulation) stepServer(s *simServer) {
	used := 0
	var held []backend.HeldMemory
	for _, id := range sortedKeys(s.streams) {
		used += s.streams[id].tokens
		held = append(held, backend.NewHeldMemory(id, s.streams[id].tokens))
	}
	report := backend.NewReport(s.id, s.incarnationName(), registry.StateLive, 100_000, used).WithModels(simModel)
	s.reports = append(s.reports, report.WithHeld(0, held...))
	s.reportTimes = append(s.reportTimes, sim.now)
	if len(s.reports) > 100 {
		s.reports = s.reports[50:]
		s.reportTimes = s.reportTimes[50:]
	}
}

// incarnationName returns the server's incarnation as its reports state it.
func (s *simServer) incarnationName() string { return fmt.Sprintf("%s/%d", s.id, s.incarnation) }

// cold reports whether the server has only its cold capacity.
func (sim *simulation) cold(s *simServer) bool { return s.finished < sim.warmAfter }

// restartServer restarts a server, which loses its streams and is cold again.
func (sim *simulation) restartServer(s *simServer) {
	s.incarnation++
	s.finished = 0
	s.streams = make(map[string]*stream)
	s.reports = nil
	s.reportTimes = nil
	sim.note(s.id, "restarted", nil)
}

// traffic starts and ends the attempts of a node.
func (sim *simulation) traffic(n *simNode) {
	for _, id := range sortedKeys(n.running) {
		a := n.running[id]
		switch {
		case !a.started && !sim.now.Before(a.startAt):
			sim.start(n, a)
		case a.started && !sim.now.Before(a.endAt):
			sim.finish(n, a)
		}
	}
}

// start sends an attempt after the checks that an entry makes just before it
// sends one.
func (sim *simulation) start(n *simNode, a *attempt) {
	if sim.now.After(a.slot.StartBy()) && sim.mutation != mutationStartBy {
		sim.release(n, a, backend.OutcomeNotStarted)
		return
	}
	server := sim.servers[a.slot.Server()]
	if a.slot.Incarnation() != server.incarnationName() && sim.mutation != mutationIncarnation {
		sim.release(n, a, backend.OutcomeRefused)
		return
	}
	a.started = true
	a.endAt = sim.now.Add(sim.streamDuration())
	server.streams[a.slot.ID()] = &stream{tokens: a.slot.Cost().Tokens(), endAt: a.endAt}
	sim.started++
	sim.note(n.id, "started", []any{a.slot.ID(), server.id, "keeper", a.slot.Keeper(), "streams", len(server.streams), "cold", sim.cold(server)})
	sim.checkLoad(server)
	sim.checkDomainState(n, server)
}

// streamDuration draws the duration of a stream. Most are short, but some
// outlast every timeout by which entries judge each other.
func (sim *simulation) streamDuration() time.Duration {
	if sim.random.IntN(12) == 0 {
		return 25 * time.Second
	}
	return 200*time.Millisecond + time.Duration(sim.random.IntN(1500))*time.Millisecond
}

// finish completes a stream, or fails the attempt if the server has lost it.
func (sim *simulation) finish(n *simNode, a *attempt) {
	server := sim.servers[a.slot.Server()]
	if server.streams[a.slot.ID()] == nil {
		sim.release(n, a, backend.OutcomeFailed)
		return
	}
	delete(server.streams, a.slot.ID())
	server.finished++
	sim.release(n, a, backend.OutcomeFinished)
}

func (sim *simulation) release(n *simNode, a *attempt, outcome backend.Outcome) {
	delete(n.running, a.slot.ID())
	sim.drive(n, SlotReleased{slot: a.slot, outcome: outcome})
}

// checkLoad checks the server's true load against its capacity. A warm server
// may run up to half its capacity more while two partitioned keepers both keep
// it, until its reports show each keeper the other's load. A cold one may never
// run more.
func (sim *simulation) checkLoad(s *simServer) {
	limit := simWarmRequests + simWarmRequests/2
	if sim.cold(s) {
		limit = simColdRequests
	}
	if len(s.streams) > limit {
		sim.reportFault("%s runs %d streams and can take %d, cold=%v", s.id, len(s.streams), limit, sim.cold(s))
	}
}

// domainOutGrace is how long after a failure domain was taken out new work may
// still start in it.
const domainOutGrace = 4 * time.Second

// checkDomainState checks that nothing starts in a failure domain that is out,
// if the starting entry could have learned of it domainOutGrace ago.
func (sim *simulation) checkDomainState(n *simNode, s *simServer) {
	if s.domainOutAt.IsZero() || sim.now.Sub(s.domainOutAt) < domainOutGrace {
		return
	}
	if n.informedSince.IsZero() || sim.now.Sub(n.informedSince) < domainOutGrace {
		return
	}
	sim.reportFault("%s started on %s, whose failure domain is out for %v", n.id, s.id, sim.now.Sub(s.domainOutAt))
}

// updateInformed records since when a node has been able to learn what is
// published: from the platform, or from a running peer that reads it, if each
// of the two lists the other.
func (sim *simulation) updateInformed(n *simNode) {
	informed := sim.readsPlatform(n)
	for _, other := range sim.nodes {
		informed = informed || (other != n && sim.readsPlatform(other) && sim.exchangeHeartbeats(n, other))
	}
	switch {
	case !informed:
		n.informedSince = noTime
	case n.informedSince.IsZero():
		n.informedSince = sim.now
	}
}

// readsPlatform reports whether a node reads the items that are published now.
func (sim *simulation) readsPlatform(n *simNode) bool {
	return !n.paused && !n.platformUnreachable && !sim.platform.stale
}

// exchangeHeartbeats reports whether two nodes send each other heartbeats.
func (sim *simulation) exchangeHeartbeats(a, b *simNode) bool {
	_, aListsB := a.node.membership.list.Find(b.id)
	_, bListsA := b.node.membership.list.Find(a.id)
	return aListsB && bListsA && !sim.cutLinks[[2]string{a.id, b.id}]
}

// checkCancel checks a cancellation: the attempt of an entry that is published
// and runs must not be cancelled, even if some entry does not know its owner
// any more.
func (sim *simulation) checkCancel(c Cancel) {
	owner, _ := backend.AttemptOwner(c.attemptID)
	n := sim.nodes[owner.Entry()]
	_, published := sim.platform.entries[owner.Entry()]
	if n == nil || !published || n.node.owner != owner {
		return
	}
	a := n.running[c.attemptID]
	if a != nil && a.started && a.slot.Server() == c.address && sim.now.Before(a.slot.Deadline()) {
		sim.reportFault("cancel of %s, which %s waits for", c.attemptID, n.id)
	}
}

// checkNode checks that a node's active document never reverts and that its
// slot requests end by their deadlines.
func (sim *simulation) checkNode(n *simNode) {
	item, ok := n.node.items.active[registry.ServicePrefix+simService]
	if ok && item.item.Version() < n.activeVersion {
		sim.reportFault("%s went back from version %d to %d", n.id, n.activeVersion, item.item.Version())
	}
	if ok {
		n.activeVersion = item.item.Version()
	}
	for _, id := range sortedKeys(n.waiting) {
		if sim.now.Sub(n.waiting[id]) > time.Second {
			sim.reportFault("%s has no answer for %s after its deadline", n.id, id)
			delete(n.waiting, id)
		}
	}
}
