package backend

import (
	"fmt"
	"time"
)

// source makes the choices of a run: at least 0 and less than n.
type source func(label string, n int) int

// machine runs random actions against ledgers under an oracle.
type machine struct {
	*oracle
	pick source
}

// action is one kind of event with its weight.
type action struct {
	name   string
	weight int
	run    func(m *machine) error
}

var actions = []action{
	{"ask", 50, (*machine).ask},
	{"start", 60, (*machine).start},
	{"land", 10, (*machine).land},
	{"finish", 50, (*machine).finish},
	{"report", 50, (*machine).report},
	{"withdraw", 2, (*machine).withdraw},
	{"not started", 2, (*machine).notStarted},
	{"cancel", 4, (*machine).cancel},
	{"fail", 2, (*machine).fail},
	{"crash", 1, (*machine).crash},
	{"restart", 1, (*machine).restart},
	{"turn cold", 1, (*machine).turnCold},
	{"move", 1, (*machine).move},
	{"distrust", 1, (*machine).distrust},
	{"trust", 10, (*machine).trustAgain},
	{"close", 1, (*machine).closeServer},
	{"open", 8, (*machine).openServer},
	{"leave", 1, (*machine).leave},
	{"unreachable", 1, (*machine).unreachable},
	{"pause", 1, (*machine).pause},
}

// step runs one action, lets time pass and checks.
func (m *machine) step() error {
	sum := 0
	for _, a := range actions {
		sum += a.weight
	}
	n := m.pick("action", sum)
	for _, a := range actions {
		if n -= a.weight; n < 0 {
			if err := a.run(m); err != nil {
				return fmt.Errorf("%s: %w", a.name, err)
			}
			break
		}
	}
	if err := m.pass(time.Duration(m.pick("ms", 40)) * time.Millisecond); err != nil {
		return err
	}
	return m.check()
}

// pass lets time go by and ticks the ledgers.
func (m *machine) pass(d time.Duration) error {
	m.now = m.now.Add(d)
	for i, l := range m.ledgers {
		if err := m.decide(i, l.Tick(m.now)); err != nil {
			return fmt.Errorf("tick: %w", err)
		}
	}
	for _, s := range m.servers {
		s.record(m.now)
	}
	return m.endLate()
}

// endLate lets owners cancel what is past its deadline.
func (m *machine) endLate() error {
	for _, id := range m.ids(phaseRunning) {
		a := m.attempts[id]
		if m.alive(a.want.owner) && m.now.After(a.want.deadline) {
			if err := m.cancelled(a); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m *machine) decide(ledger int, decisions []Decision) error {
	return m.take(ledger, decisions, func() bool { return m.pick("cancel lost", 4) == 0 })
}

func (m *machine) any(p phase) *attempt {
	var ids []string
	for _, id := range m.ids(p) {
		if m.alive(m.attempts[id].want.owner) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return m.attempts[ids[m.pick("attempt", len(ids))]]
}

func (m *machine) anyServer() *trueServer { return m.servers[m.pick("server", len(m.servers))] }

var oraclePrompts = []int{100, 1_000, 3_000, 8_000, 30_000, 40_000, 90_000, 200_000}

func (m *machine) ask() error {
	m.next++
	owner := m.owners[m.pick("owner", len(m.owners))]
	work, cost := testWork, NewCost(oraclePrompts[m.pick("prompt", len(oraclePrompts))], 100)
	if m.pick("plain", 6) == 0 {
		work, cost = NewWorkload("repair-record", ""), Cost{}
	}
	deadline := m.now.Add(time.Duration(1+m.pick("deadline", 200)) * 100 * time.Millisecond)
	want := NewSlotRequest(fmt.Sprintf("a%06d", m.next), owner, fmt.Sprintf("account-%d", m.pick("account", 3)), work, cost, deadline)
	want = want.WithPrefix(uint64(m.pick("prefix", 8))).WithPriority(m.pick("priority", 2))
	if m.pick("avoid", 8) == 0 {
		want = want.Avoiding(m.anyServer().facts.id)
	}
	m.attempts[want.id] = &attempt{want: want, phase: phaseAsked}
	ledger := m.asked(want)
	return m.decide(ledger, m.ledgers[ledger].Request(m.now, want))
}

// release tells the server's keeper how an attempt ended.
func (m *machine) release(a *attempt, outcome Outcome) error {
	s := m.server(a.slot.server)
	a.phase = phaseEnded
	if outcome == OutcomeFailed {
		s.lost(a)
	}
	return m.decide(s.keeper, m.keeper(s).Release(m.now, a.want.owner, s.facts.id, a.want.id, outcome))
}

// lost lets the oracle accept that a failed attempt still counts.
func (s *trueServer) lost(a *attempt) {
	if s.shown == nil {
		s.shown = map[string]bool{}
	}
	s.shown[a.want.id] = true
}

// start sends a granted attempt to its server, perhaps late.
func (m *machine) start() error {
	a := m.any(phaseGranted)
	if a == nil {
		return nil
	}
	s := m.server(a.slot.server)
	switch {
	case m.now.After(a.slot.startBy):
		return m.release(a, OutcomeNotStarted)
	case s.incarnation() != a.slot.incarnation:
		return m.refused(s, a)
	case s.leaving:
		return m.release(a, OutcomeLeaving)
	case s.refuses && !s.load().Add(NewLoad(1, a.want.cost.Tokens())).Within(s.bears()):
		return m.refused(s, a)
	}
	s.streams[a.want.id] = a.want.cost
	a.phase = phaseRunning
	return nil
}

func (m *machine) refused(s *trueServer, a *attempt) error {
	if err := m.release(a, OutcomeRefused); err != nil {
		return err
	}
	cold := s.facts.bearing.cold
	if a.slot.incarnation != m.state(s).incarnation {
		return nil
	}
	if state := m.state(s); !state.limit.Within(cold) {
		return fmt.Errorf("%s: limit %+v after a refusal", s.facts.id, state.limit)
	}
	return nil
}

func (m *machine) finish() error {
	a := m.any(phaseRunning)
	if a == nil {
		return nil
	}
	s := m.server(a.slot.server)
	if _, running := s.streams[a.want.id]; !running {
		return m.release(a, OutcomeFailed)
	}
	delete(s.streams, a.want.id)
	s.answers++
	s.refuses = s.refuses && s.answers < s.facts.bearing.warmAfter
	if m.pick("release lost", 20) == 0 {
		s.lost(a)
		a.phase = phaseEnded
		return nil
	}
	return m.release(a, OutcomeFinished)
}

func (m *machine) withdraw() error {
	a := m.any(phaseAsked)
	if a == nil {
		return nil
	}
	a.final, a.phase = true, phaseEnded
	ledger := m.asked(a.want)
	return m.decide(ledger, m.ledgers[ledger].Withdraw(m.now, a.want.owner, a.want.id))
}

func (m *machine) notStarted() error {
	a := m.any(phaseGranted)
	if a == nil {
		return nil
	}
	return m.release(a, OutcomeNotStarted)
}

func (m *machine) cancel() error {
	a := m.any(phaseRunning)
	if a == nil {
		return nil
	}
	return m.cancelled(a)
}

// cancelled ends a stream by its owner's cancel, which may be lost.
func (m *machine) cancelled(a *attempt) error {
	if m.pick("cancel lost", 4) == 0 {
		return m.release(a, OutcomeFailed)
	}
	delete(m.server(a.slot.server).streams, a.want.id)
	return m.release(a, OutcomeCancelled)
}

func (m *machine) fail() error {
	a := m.any(phaseRunning)
	if a == nil {
		return nil
	}
	return m.release(a, OutcomeFailed)
}
