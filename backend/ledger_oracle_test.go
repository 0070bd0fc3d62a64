package backend

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"greengagedock.example/registry"
)

// keeping is what the oracle drives: a Ledger or a mutation of one.
type keeping interface {
	AddServer(now time.Time, server Server)
	RemoveServer(now time.Time, server string) []Decision
	SetKeeperLease(server string, trust KeeperLease)
	SetClosed(server string, closed bool)
	Request(now time.Time, want SlotRequest) []Decision
	Withdraw(now time.Time, owner Owner, id string) []Decision
	Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision
	Adopt(now time.Time, slot Slot)
	RemoveOwner(now time.Time, owner Owner) []Decision
	Report(now time.Time, report Report) []Decision
	PollFailed(now time.Time, server string) []Decision
	Tick(now time.Time) []Decision
	Servers(now time.Time) []ServerState
}

// phase is how far an attempt has come in truth.
type phase string

const (
	phaseAsked   phase = "asked"
	phaseGranted phase = "granted"
	phaseRunning phase = "running"
	phaseFlying  phase = "flying"
	phaseEnded   phase = "ended"
)

// attempt is one want with what became of it; stint numbers the time of its
// server under one keeper, in which its slot was granted or adopted.
type attempt struct {
	want  SlotRequest
	slot  Slot
	phase phase
	final bool
	idle  time.Time
	stint int
}

// trueServer is a backend server as it is, not as it reports.
type trueServer struct {
	facts    Server
	number   int
	answers  int
	refuses  bool
	streams  map[string]Cost
	history  []snapshot
	keeper   int
	stint    int
	trust    KeeperLease
	moved    time.Time
	closed   bool
	leaving  bool
	shown    map[string]bool
	shownAt  time.Time
	shownOf  string
	reported string
}

const (
	// maxHistory is the number of a server's past states that may still be reported.
	maxHistory = 200
	// freshReports is the number of those that most reports are taken from.
	freshReports = 12
)

// snapshot is a server's state at one moment, to be reported later.
type snapshot struct {
	at     time.Time
	report Report
}

func (s *trueServer) incarnation() string { return fmt.Sprintf("%s-%d", s.facts.id, s.number) }

func (s *trueServer) load() Load {
	var sum Load
	for _, cost := range s.streams {
		sum = sum.Add(NewLoad(1, cost.Tokens()))
	}
	return sum
}

// bears returns the load that the server bears in truth.
func (s *trueServer) bears() Load {
	if s.answers < s.facts.bearing.warmAfter {
		return s.facts.bearing.cold
	}
	return s.facts.bearing.warm
}

func (s *trueServer) restart() {
	s.number++
	s.answers, s.refuses, s.leaving = 0, false, false
	clear(s.streams)
}

// record keeps the server's state for reports with a lag.
func (s *trueServer) record(now time.Time) {
	state := registry.StateLive
	if s.leaving {
		state = registry.StateLeaving
	}
	var held []HeldMemory
	for _, id := range slices.Sorted(maps.Keys(s.streams)) {
		held = append(held, NewHeldMemory(id, s.streams[id].Tokens()))
	}
	report := NewReport(s.facts.id, s.incarnation(), state, s.facts.bearing.warm.tokens, s.load().tokens)
	s.history = append(s.history, snapshot{now, report.WithModels(testModel).WithRunning(len(held)).WithHeld(0, held...)})
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
}

// oracle keeps the truth about servers, owners and attempts and checks what
// ledgers decide against it.
type oracle struct {
	now      time.Time
	ledgers  []keeping
	servers  []*trueServer
	owners   []Owner
	attempts map[string]*attempt
	next     int
	granted  int
}

const (
	oracleKeepers = 2
	oracleOwners  = 3
)

func newOracle(make func() keeping) *oracle {
	o := &oracle{now: testStart, attempts: map[string]*attempt{}}
	for range oracleKeepers {
		o.ledgers = append(o.ledgers, make())
	}
	for i := range oracleOwners {
		o.owners = append(o.owners, NewOwner(fmt.Sprintf("entry-%d", i), 1))
	}
	for i := range 4 {
		o.servers = append(o.servers, oracleServer(i))
		s := o.servers[i]
		o.keeper(s).AddServer(o.now, s.facts)
		s.record(o.now)
	}
	return o
}

// oracleServer returns one of three engines and a plain service.
func oracleServer(i int) *trueServer {
	s := &trueServer{streams: map[string]Cost{}, keeper: i % oracleKeepers, trust: KeeperLeaseNone, moved: testStart}
	s.facts = testServer(fmt.Sprintf("s%d", i), NewCapacity(NewLoad(2, 12_000), NewLoad(9, 100_000), 2))
	if i == 3 {
		s.facts.kind, s.facts.service = registry.KindService, "repair-record"
		s.facts.bearing = NewCapacity(NewLoad(1, 0), NewLoad(3, 0), 2)
	}
	return s
}

func (o *oracle) keeper(s *trueServer) keeping { return o.ledgers[s.keeper] }

func (o *oracle) server(id string) *trueServer {
	for _, s := range o.servers {
		if s.facts.id == id {
			return s
		}
	}
	return nil
}

// ids returns the attempts in a phase, in the order of their ids.
func (o *oracle) ids(p phase) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(o.attempts)) {
		if o.attempts[id].phase == p {
			ids = append(ids, id)
		}
	}
	return ids
}

func (o *oracle) alive(owner Owner) bool { return slices.Contains(o.owners, owner) }

// take checks the decisions of one ledger and carries them out; lost says
// whether a cancel is lost.
func (o *oracle) take(ledger int, decisions []Decision, lost func() bool) error {
	for _, d := range decisions {
		var err error
		switch d := d.(type) {
		case Granted:
			err = o.takeGrant(ledger, d)
		case Denied:
			err = o.takeDenial(d)
		case Orphan:
			err = o.takeOrphan(d, lost)
		case Queued:
		}
		if err != nil {
			return fmt.Errorf("%v: %w", d, err)
		}
	}
	return nil
}

func (o *oracle) takeGrant(ledger int, g Granted) error {
	a, s := o.attempts[g.slot.id], o.server(g.slot.server)
	switch {
	case a == nil || s == nil:
		return fmt.Errorf("grant of an unknown attempt or server")
	case a.final:
		return fmt.Errorf("second final decision")
	case s.keeper != ledger:
		return fmt.Errorf("grant by an entry that doesn't keep the server")
	case s.closed:
		return fmt.Errorf("grant on a closed server")
	case o.now.After(a.want.deadline):
		return fmt.Errorf("grant after the deadline")
	case g.slot.startBy.After(o.now.Add(StartWindow)):
		return fmt.Errorf("start-by time is too late")
	case g.slot.incarnation != s.reported:
		return fmt.Errorf("grant on an incarnation that was not reported last, %q", s.reported)
	}
	a.slot, a.phase, a.final, a.stint = g.slot, phaseGranted, true, s.stint
	o.granted++
	if s.trust == KeeperLeaseNone {
		return o.doubtfulGrant(s)
	}
	return nil
}

// doubtfulGrant checks a grant of a ledger that has no full trust.
func (o *oracle) doubtfulGrant(s *trueServer) error {
	if s.answers < s.facts.bearing.warmAfter && !s.refuses && s.incarnation() == s.reported {
		return fmt.Errorf("grant on a cold server without trust")
	}
	var out Load
	for _, a := range o.attempts {
		usable := a.phase == phaseGranted && !o.now.After(a.slot.startBy)
		if usable && a.slot.server == s.facts.id && a.slot.incarnation == s.reported {
			out = out.Add(NewLoad(1, a.want.cost.Tokens()))
		}
	}
	if !out.Within(s.facts.bearing.warm.part(1, 2)) {
		return fmt.Errorf("more than half granted without trust")
	}
	return nil
}

func (o *oracle) takeDenial(d Denied) error {
	a := o.attempts[d.want]
	if a == nil || a.final {
		return fmt.Errorf("second final decision")
	}
	if d.refusal.reason == ReasonBusy && d.refusal.comeBack <= 0 {
		return fmt.Errorf("busy without a time to come back")
	}
	a.final, a.phase = true, phaseEnded
	return nil
}

func (o *oracle) takeOrphan(d Orphan, lost func() bool) error {
	a, s := o.attempts[d.stream], o.server(d.server)
	if s.facts.kind == registry.KindService {
		return fmt.Errorf("cancel sent to the plain service %s, which would run it", d.server)
	}
	live := a != nil && a.phase == phaseRunning && o.alive(a.want.owner)
	if live && o.now.Before(a.want.deadline) {
		return fmt.Errorf("cancel of a stream that its owner holds")
	}
	if !lost() {
		delete(s.streams, d.stream)
	}
	return nil
}
