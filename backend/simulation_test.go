package backend

import (
	"fmt"
	"time"
)

// chooser makes the random choices of a run; it returns a number of at least
// 0 and less than n.
type chooser func(label string, n int) int

// simulation applies random actions to allocators under an oracle.
type simulation struct {
	*oracle
	choose chooser
}

// action is one kind of event with its weight.
type action struct {
	name   string
	weight int
	run    func(sim *simulation) error
}

var actions = []action{
	{"request", 50, (*simulation).request},
	{"start", 60, (*simulation).start},
	{"deliver in flight", 10, (*simulation).deliverInFlight},
	{"finish", 50, (*simulation).finish},
	{"report", 50, (*simulation).report},
	{"withdraw", 2, (*simulation).withdraw},
	{"not started", 2, (*simulation).notStarted},
	{"cancel", 4, (*simulation).cancel},
	{"fail", 2, (*simulation).fail},
	{"crash", 1, (*simulation).crash},
	{"restart", 1, (*simulation).restart},
	{"lose warmth", 1, (*simulation).loseWarmth},
	{"move", 1, (*simulation).move},
	{"revoke lease", 1, (*simulation).revokeLease},
	{"restore leases", 10, (*simulation).restoreLeases},
	{"close", 1, (*simulation).closeServer},
	{"open", 8, (*simulation).openServer},
	{"leave", 1, (*simulation).leave},
	{"unreachable", 1, (*simulation).unreachable},
	{"pause", 1, (*simulation).pause},
}

// step runs one action, advances the time and checks the invariants.
func (sim *simulation) step() error {
	sum := 0
	for _, a := range actions {
		sum += a.weight
	}
	n := sim.choose("action", sum)
	for _, a := range actions {
		if n -= a.weight; n < 0 {
			if err := a.run(sim); err != nil {
				return fmt.Errorf("%s: %w", a.name, err)
			}
			break
		}
	}
	if err := sim.advance(time.Duration(sim.choose("ms", 40)) * time.Millisecond); err != nil {
		return err
	}
	return sim.check()
}

// advance advances the time and ticks the allocators.
func (sim *simulation) advance(d time.Duration) error {
	sim.now = sim.now.Add(d)
	for i, allocator := range sim.allocators {
		if err := sim.apply(i, allocator.Tick(sim.now)); err != nil {
			return fmt.Errorf("tick: %w", err)
		}
	}
	for _, s := range sim.servers {
		s.record(sim.now)
	}
	return sim.cancelOverdue()
}

// cancelOverdue lets owners cancel the attempts that are past their deadline.
func (sim *simulation) cancelOverdue() error {
	for _, id := range sim.ids(phaseRunning) {
		a := sim.attempts[id]
		if sim.alive(a.request.owner) && sim.now.After(a.request.deadline) {
			if err := sim.cancelled(a); err != nil {
				return err
			}
		}
	}
	return nil
}

func (sim *simulation) apply(index int, decisions []Decision) error {
	return sim.applyDecisions(index, decisions, func() bool { return sim.choose("cancel lost", 4) == 0 })
}

func (sim *simulation) anyAttempt(p phase) *attempt {
	var ids []string
	for _, id := range sim.ids(p) {
		if sim.alive(sim.attempts[id].request.owner) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return sim.attempts[ids[sim.choose("attempt", len(ids))]]
}

func (sim *simulation) anyServer() *simServer {
	return sim.servers[sim.choose("server", len(sim.servers))]
}

var oraclePrompts = []int{100, 1_000, 3_000, 8_000, 30_000, 40_000, 90_000, 200_000}

func (sim *simulation) request() error {
	sim.lastRequest++
	owner := sim.owners[sim.choose("owner", len(sim.owners))]
	workload, cost := testWorkload, NewCost(oraclePrompts[sim.choose("prompt", len(oraclePrompts))], 100)
	if sim.choose("plain", 6) == 0 {
		workload, cost = NewWorkload("repair-record", ""), Cost{}
	}
	deadline := sim.now.Add(time.Duration(1+sim.choose("deadline", 200)) * 100 * time.Millisecond)
	request := NewSlotRequest(fmt.Sprintf("a%06d", sim.lastRequest), owner, fmt.Sprintf("account-%d", sim.choose("account", 3)), workload, cost, deadline)
	request = request.WithPrefix(uint64(sim.choose("prefix", 8))).WithPriority(sim.choose("priority", 2))
	if sim.choose("avoid", 8) == 0 {
		request = request.Avoiding(sim.anyServer().server.id)
	}
	sim.attempts[request.id] = &attempt{request: request, phase: phaseRequested}
	index := sim.allocatorFor(request)
	return sim.apply(index, sim.allocators[index].Request(sim.now, request))
}

// release reports an attempt's outcome to the server's keeper.
func (sim *simulation) release(a *attempt, outcome Outcome) error {
	s := sim.server(a.slot.server)
	a.phase = phaseEnded
	if outcome == OutcomeFailed {
		s.allowCounted(a)
	}
	return sim.apply(s.keeper, sim.keeper(s).Release(sim.now, a.request.owner, s.server.id, a.request.id, outcome))
}

// allowCounted makes the oracle accept that a failed attempt still counts.
func (s *simServer) allowCounted(a *attempt) {
	if s.mayBeCounted == nil {
		s.mayBeCounted = map[string]bool{}
	}
	s.mayBeCounted[a.request.id] = true
}

// start sends a granted attempt to its server, possibly late.
func (sim *simulation) start() error {
	a := sim.anyAttempt(phaseGranted)
	if a == nil {
		return nil
	}
	s := sim.server(a.slot.server)
	switch {
	case sim.now.After(a.slot.startBy):
		return sim.release(a, OutcomeNotStarted)
	case s.incarnation() != a.slot.incarnation:
		return sim.refused(s, a)
	case s.leaving:
		return sim.release(a, OutcomeLeaving)
	case s.refuses && !s.load().Add(NewLoad(1, a.request.cost.Tokens())).Within(s.capacity()):
		return sim.refused(s, a)
	}
	s.streams[a.request.id] = a.request.cost
	a.phase = phaseRunning
	return nil
}

func (sim *simulation) refused(s *simServer, a *attempt) error {
	if err := sim.release(a, OutcomeRefused); err != nil {
		return err
	}
	cold := s.server.capacity.cold
	if a.slot.incarnation != sim.state(s).incarnation {
		return nil
	}
	if state := sim.state(s); !state.limit.Within(cold) {
		return fmt.Errorf("%s: limit %+v after a refusal", s.server.id, state.limit)
	}
	return nil
}

func (sim *simulation) finish() error {
	a := sim.anyAttempt(phaseRunning)
	if a == nil {
		return nil
	}
	s := sim.server(a.slot.server)
	if _, running := s.streams[a.request.id]; !running {
		return sim.release(a, OutcomeFailed)
	}
	delete(s.streams, a.request.id)
	s.answers++
	s.refuses = s.refuses && s.answers < s.server.capacity.warmAfter
	if sim.choose("release lost", 20) == 0 {
		s.allowCounted(a)
		a.phase = phaseEnded
		return nil
	}
	return sim.release(a, OutcomeFinished)
}

func (sim *simulation) withdraw() error {
	a := sim.anyAttempt(phaseRequested)
	if a == nil {
		return nil
	}
	a.decided, a.phase = true, phaseEnded
	index := sim.allocatorFor(a.request)
	return sim.apply(index, sim.allocators[index].Withdraw(sim.now, a.request.owner, a.request.id))
}

func (sim *simulation) notStarted() error {
	a := sim.anyAttempt(phaseGranted)
	if a == nil {
		return nil
	}
	return sim.release(a, OutcomeNotStarted)
}

func (sim *simulation) cancel() error {
	a := sim.anyAttempt(phaseRunning)
	if a == nil {
		return nil
	}
	return sim.cancelled(a)
}

// cancelled ends a stream by its owner's cancel request, which may be lost.
func (sim *simulation) cancelled(a *attempt) error {
	if sim.choose("cancel lost", 4) == 0 {
		return sim.release(a, OutcomeFailed)
	}
	delete(sim.server(a.slot.server).streams, a.request.id)
	return sim.release(a, OutcomeCancelled)
}

func (sim *simulation) fail() error {
	a := sim.anyAttempt(phaseRunning)
	if a == nil {
		return nil
	}
	return sim.release(a, OutcomeFailed)
}
