package backend

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"greengagedock.example/registry"
)

// crash kills an owner; requests that it has sent may still reach their
// servers.
func (sim *simulation) crash() error {
	i := sim.choose("owner", len(sim.owners))
	gone := sim.owners[i]
	sim.owners[i] = NewOwner(gone.entry, gone.incarnation+1)
	for _, id := range slices.Sorted(maps.Keys(sim.attempts)) {
		a := sim.attempts[id]
		if a.request.owner != gone || a.phase == phaseEnded || a.phase == phaseInFlight {
			continue
		}
		if s := sim.server(a.slot.server); s != nil {
			s.allowCounted(a)
		}
		inFlight := a.phase == phaseGranted && sim.choose("in flight", 2) == 0
		a.decided, a.phase = true, phaseEnded
		if inFlight {
			a.phase = phaseInFlight
		}
	}
	for i, allocator := range sim.allocators {
		if err := sim.apply(i, allocator.RemoveOwner(sim.now, gone)); err != nil {
			return err
		}
	}
	return nil
}

// deliverInFlight lets a request of a dead owner reach its server, which
// enforces start-by times.
func (sim *simulation) deliverInFlight() error {
	ids := sim.ids(phaseInFlight)
	if len(ids) == 0 {
		return nil
	}
	a := sim.attempts[ids[sim.choose("in flight attempt", len(ids))]]
	a.phase = phaseEnded
	s := sim.server(a.slot.server)
	if s.incarnation() == a.slot.incarnation && !sim.now.After(a.slot.startBy) && !s.refuses && !s.leaving {
		s.streams[a.request.id] = a.request.cost
	}
	return nil
}

func (sim *simulation) restart() error {
	sim.anyServer().restart()
	return nil
}

// loseWarmth makes a server cold without a restart; from then on it refuses
// what it can't take.
func (sim *simulation) loseWarmth() error {
	s := sim.anyServer()
	s.answers, s.refuses = 0, true
	return nil
}

// move hands a server over to the other allocator, to which every live owner
// reports its slots.
func (sim *simulation) move() error {
	s := sim.anyServer()
	from := s.keeper
	if err := sim.apply(from, sim.keeper(s).RemoveServer(sim.now, s.server.id)); err != nil {
		return err
	}
	s.keeper = (from + 1) % oracleAllocators
	s.term++
	s.lease, s.leaseChanged, s.latestIncarnation, s.reportTaken = KeeperLeaseNone, sim.now, "", time.Time{}
	sim.keeper(s).AddServer(sim.now, s.server)
	sim.keeper(s).SetClosed(s.server.id, s.closed)
	for _, p := range []phase{phaseGranted, phaseRunning} {
		for _, id := range sim.ids(p) {
			if a := sim.attempts[id]; a.slot.server == s.server.id && sim.alive(a.request.owner) {
				a.term = s.term
				sim.keeper(s).Adopt(sim.now, a.slot)
			}
		}
	}
	return nil
}

func (sim *simulation) revokeLease() error {
	s := sim.anyServer()
	s.lease, s.leaseChanged = KeeperLeaseNone, sim.now
	sim.keeper(s).SetKeeperLease(s.server.id, KeeperLeaseNone)
	return nil
}

// restoreLeases gives full leases on the servers whose last report includes
// all that an earlier keeper granted.
func (sim *simulation) restoreLeases() error {
	for _, s := range sim.servers {
		if s.reportTaken.After(s.leaseChanged.Add(StartWindow + reportMargin)) {
			s.lease = KeeperLeaseFull
			sim.keeper(s).SetKeeperLease(s.server.id, KeeperLeaseFull)
		}
	}
	return nil
}

func (sim *simulation) closeServer() error {
	s := sim.anyServer()
	s.closed = true
	sim.keeper(s).SetClosed(s.server.id, true)
	return nil
}

func (sim *simulation) openServer() error {
	s := sim.anyServer()
	s.closed, s.leaving = false, false
	sim.keeper(s).SetClosed(s.server.id, false)
	return nil
}

func (sim *simulation) leave() error {
	sim.anyServer().leaving = true
	return nil
}

func (sim *simulation) unreachable() error {
	s := sim.anyServer()
	return sim.apply(s.keeper, sim.keeper(s).PollFailed(sim.now, s.server.id))
}

// maxPause is the longest pause of the allocators.
const maxPause = 10 * time.Second

// pause stops the allocators for a while; everything else goes on.
func (sim *simulation) pause() error {
	return sim.advance(time.Duration(1+sim.choose("pause", int(maxPause/time.Second))) * time.Second)
}

// report delivers a past state of a server. The stated lag is a little too
// short, and a later report may have arrived before it.
func (sim *simulation) report() error {
	s := sim.anyServer()
	longest := freshReports
	if sim.choose("stale", 4) == 0 {
		longest = maxHistory
	}
	age := sim.choose("lag", min(len(s.history), longest))
	past := s.history[len(s.history)-1-age]
	lag := sim.now.Sub(past.at)
	reportedLag := max(lag-time.Duration(sim.choose("transit", 200))*time.Millisecond, 0)
	return sim.deliver(s, past.report, reportedLag)
}

func (sim *simulation) deliver(s *simServer, report Report, lag time.Duration) error {
	taken := sim.now.Add(-lag)
	newer := taken.After(s.reportTaken) && sim.notOlder(s, report.incarnation)
	if newer {
		s.latestIncarnation = report.incarnation
	}
	if newer && (report.incarnation == s.reportedIncarnation || taken.After(s.reportTaken.Add(reportMargin))) {
		s.reportTaken, s.reportedIncarnation = taken, report.incarnation
		for id := range s.mayBeCounted {
			shown := slices.ContainsFunc(report.held, func(h HeldMemory) bool { return h.id == id })
			if !shown && !taken.Before(sim.latestRelease(id)) {
				delete(s.mayBeCounted, id)
			}
		}
		for _, held := range report.held {
			s.allowCounted(&attempt{request: SlotRequest{id: held.id}})
		}
	}
	return sim.apply(s.keeper, sim.keeper(s).Report(sim.now, report.WithHeld(lag, report.held...)))
}

// notOlder reports whether the incarnation is at least the one last reported.
func (sim *simulation) notOlder(s *simServer, incarnation string) bool {
	var now, before int
	fmt.Sscanf(incarnation, s.server.id+"-%d", &now)
	fmt.Sscanf(s.latestIncarnation, s.server.id+"-%d", &before)
	return now >= before
}

// latestRelease returns the time after which a report without an ended
// attempt must have removed its grant.
func (sim *simulation) latestRelease(id string) time.Time {
	return sim.attempts[id].request.deadline.Add(2*releaseGrace + maxPause)
}

// endCalls ends the calls of plain services that no owner waits for. Such a
// service can't cancel a call, which ends by itself.
func (sim *simulation) endCalls() {
	for _, s := range sim.servers {
		if s.server.kind != registry.KindService {
			continue
		}
		for id := range s.streams {
			a := sim.attempts[id]
			if a.phase != phaseRunning || !sim.alive(a.request.owner) || sim.now.After(a.request.deadline) {
				delete(s.streams, id)
			}
		}
	}
}

// drain lets everything end and checks that no memory is left.
func (sim *simulation) drain() error {
	for _, s := range sim.servers {
		s.closed, s.leaving = false, false
		sim.keeper(s).SetClosed(s.server.id, false)
	}
	for range 100 {
		sim.endCalls()
		if err := sim.advance(unclaimedTTL / 90); err != nil {
			return err
		}
		for _, s := range sim.servers {
			if err := sim.deliver(s, s.history[len(s.history)-1].report, 0); err != nil {
				return err
			}
		}
	}
	for _, s := range sim.servers {
		if left := s.load(); left != (Load{}) {
			return fmt.Errorf("%s: %+v left in memory", s.server.id, left)
		}
		if counted := sim.state(s).load; counted != (Load{}) {
			return fmt.Errorf("%s: %+v still counted", s.server.id, counted)
		}
	}
	if waiting := sim.ids(phaseRequested); len(waiting) > 0 {
		return fmt.Errorf("%v still wait", waiting)
	}
	return nil
}
