package backend

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"greengagedock.example/registry"
)

// crash kills an owner; what it sent before may still reach its server.
func (m *machine) crash() error {
	i := m.pick("owner", len(m.owners))
	gone := m.owners[i]
	m.owners[i] = NewOwner(gone.entry, gone.incarnation+1)
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		a := m.attempts[id]
		if a.want.owner != gone || a.phase == phaseEnded || a.phase == phaseFlying {
			continue
		}
		if s := m.server(a.slot.server); s != nil {
			s.lost(a)
		}
		flies := a.phase == phaseGranted && m.pick("in flight", 2) == 0
		a.final, a.phase = true, phaseEnded
		if flies {
			a.phase = phaseFlying
		}
	}
	for i, l := range m.ledgers {
		if err := m.decide(i, l.RemoveOwner(m.now, gone)); err != nil {
			return err
		}
	}
	return nil
}

// land lets a request of a dead owner reach its server, which honours start-by times.
func (m *machine) land() error {
	ids := m.ids(phaseFlying)
	if len(ids) == 0 {
		return nil
	}
	a := m.attempts[ids[m.pick("flying", len(ids))]]
	a.phase = phaseEnded
	s := m.server(a.slot.server)
	if s.incarnation() == a.slot.incarnation && !m.now.After(a.slot.startBy) && !s.refuses && !s.leaving {
		s.streams[a.want.id] = a.want.cost
	}
	return nil
}

func (m *machine) restart() error {
	m.anyServer().restart()
	return nil
}

// turnCold lets a server forget its warmth in place; it then refuses what it can't bear.
func (m *machine) turnCold() error {
	s := m.anyServer()
	s.answers, s.refuses = 0, true
	return nil
}

// move hands a server over to the other ledger, where every live owner adopts.
func (m *machine) move() error {
	s := m.anyServer()
	from := s.keeper
	if err := m.decide(from, m.keeper(s).RemoveServer(m.now, s.facts.id)); err != nil {
		return err
	}
	s.keeper = (from + 1) % oracleKeepers
	s.stint++
	s.trust, s.moved, s.reported, s.shownAt = KeeperLeaseNone, m.now, "", time.Time{}
	m.keeper(s).AddServer(m.now, s.facts)
	m.keeper(s).SetClosed(s.facts.id, s.closed)
	for _, p := range []phase{phaseGranted, phaseRunning} {
		for _, id := range m.ids(p) {
			if a := m.attempts[id]; a.slot.server == s.facts.id && m.alive(a.want.owner) {
				a.stint = s.stint
				m.keeper(s).Adopt(m.now, a.slot)
			}
		}
	}
	return nil
}

func (m *machine) distrust() error {
	s := m.anyServer()
	s.trust, s.moved = KeeperLeaseNone, m.now
	m.keeper(s).SetKeeperLease(s.facts.id, KeeperLeaseNone)
	return nil
}

// trustAgain trusts each server whose report shows all that an earlier keeper granted.
func (m *machine) trustAgain() error {
	for _, s := range m.servers {
		if s.shownAt.After(s.moved.Add(StartWindow + reportMargin)) {
			s.trust = KeeperLeaseFull
			m.keeper(s).SetKeeperLease(s.facts.id, KeeperLeaseFull)
		}
	}
	return nil
}

func (m *machine) closeServer() error {
	s := m.anyServer()
	s.closed = true
	m.keeper(s).SetClosed(s.facts.id, true)
	return nil
}

func (m *machine) openServer() error {
	s := m.anyServer()
	s.closed, s.leaving = false, false
	m.keeper(s).SetClosed(s.facts.id, false)
	return nil
}

func (m *machine) leave() error {
	m.anyServer().leaving = true
	return nil
}

func (m *machine) unreachable() error {
	s := m.anyServer()
	return m.decide(s.keeper, m.keeper(s).PollFailed(m.now, s.facts.id))
}

// maxPause is the longest time for which ledgers stand still.
const maxPause = 10 * time.Second

// pause stops the ledgers for a while, and all that runs goes on.
func (m *machine) pause() error {
	return m.pass(time.Duration(1+m.pick("pause", int(maxPause/time.Second))) * time.Second)
}

// report delivers a server's state of some time ago; the lag it states is a
// little short of the truth, and a later report may have come before it.
func (m *machine) report() error {
	s := m.anyServer()
	longest := freshReports
	if m.pick("stale", 4) == 0 {
		longest = maxHistory
	}
	back := m.pick("lag", min(len(s.history), longest))
	seen := s.history[len(s.history)-1-back]
	lag := m.now.Sub(seen.at)
	stated := max(lag-time.Duration(m.pick("transit", 200))*time.Millisecond, 0)
	return m.deliver(s, seen.report, stated)
}

func (m *machine) deliver(s *trueServer, report Report, lag time.Duration) error {
	taken := m.now.Add(-lag)
	follows := taken.After(s.shownAt) && m.newer(s, report.incarnation)
	if follows {
		s.reported = report.incarnation
	}
	if follows && (report.incarnation == s.shownOf || taken.After(s.shownAt.Add(reportMargin))) {
		s.shownAt, s.shownOf = taken, report.incarnation
		for id := range s.shown {
			shown := slices.ContainsFunc(report.held, func(h HeldMemory) bool { return h.id == id })
			if !shown && !taken.Before(m.lastSure(id)) {
				delete(s.shown, id)
			}
		}
		for _, held := range report.held {
			s.lost(&attempt{want: SlotRequest{id: held.id}})
		}
	}
	return m.decide(s.keeper, m.keeper(s).Report(m.now, report.WithHeld(lag, report.held...)))
}

// newer reports whether the incarnation is not older than the one last reported.
func (m *machine) newer(s *trueServer, incarnation string) bool {
	var now, before int
	fmt.Sscanf(incarnation, s.facts.id+"-%d", &now)
	fmt.Sscanf(s.reported, s.facts.id+"-%d", &before)
	return now >= before
}

// lastSure returns when an ended attempt's entry must be gone at the latest if a report shows nothing of it.
func (m *machine) lastSure(id string) time.Time {
	return m.attempts[id].want.deadline.Add(2*releaseGrace + maxPause)
}

// endCalls ends the calls of plain services that no owner waits for: such a
// service takes no cancel, and its calls end by themselves.
func (m *machine) endCalls() {
	for _, s := range m.servers {
		if s.facts.kind != registry.KindService {
			continue
		}
		for id := range s.streams {
			a := m.attempts[id]
			if a.phase != phaseRunning || !m.alive(a.want.owner) || m.now.After(a.want.deadline) {
				delete(s.streams, id)
			}
		}
	}
}

// quiet lets everything end and checks that no memory is left.
func (m *machine) quiet() error {
	for _, s := range m.servers {
		s.closed, s.leaving = false, false
		m.keeper(s).SetClosed(s.facts.id, false)
	}
	for range 100 {
		m.endCalls()
		if err := m.pass(unclaimedLife / 90); err != nil {
			return err
		}
		for _, s := range m.servers {
			if err := m.deliver(s, s.history[len(s.history)-1].report, 0); err != nil {
				return err
			}
		}
	}
	for _, s := range m.servers {
		if left := s.load(); left != (Load{}) {
			return fmt.Errorf("%s: %+v left in memory", s.facts.id, left)
		}
		if counted := m.state(s).load; counted != (Load{}) {
			return fmt.Errorf("%s: %+v left in the books", s.facts.id, counted)
		}
	}
	if waiting := m.ids(phaseAsked); len(waiting) > 0 {
		return fmt.Errorf("%v still wait", waiting)
	}
	return nil
}
