package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"greengagedock.example/backend"
)

// homeRules are the rules for non-repeatable calls that the machine drives;
// mutations of them wrap the product's.
type homeRules struct {
	route  func(id callID, self backend.Owner, listed, forwarded bool) callRoute
	begin  func(h *DedupTable, now time.Time, self backend.Owner, account accountKey, id callID, limit int) decision
	finish func(h *DedupTable, now time.Time, account accountKey, id callID, end ending)
	// unanswered is what a forwarding entry says when its home gives no answer.
	unanswered *Failure
	// restart is what a restarted entry knows of its former incarnation.
	restart func(old backend.Owner, home *DedupTable) (backend.Owner, *DedupTable)
	// resend is whether a home sends a call again whose bytes left without an answer.
	resend bool
}

func productRules() homeRules {
	return homeRules{
		route:      routeCall,
		begin:      (*DedupTable).begin,
		finish:     (*DedupTable).finish,
		unanswered: homeUnreached,
		restart: func(old backend.Owner, _ *DedupTable) (backend.Owner, *DedupTable) {
			return backend.NewOwner(old.Entry(), old.Incarnation()+1), new(DedupTable)
		},
	}
}

// message is a call on its way to an entry.
type message struct {
	id        string
	to        int
	forwarded bool
}

// running is a call that an entry has been told to run.
type runningCall struct {
	id    callID
	entry int
	self  backend.Owner
	sent  bool
}

// homeMachine is entries, callers and a network that delays, repeats and
// loses, with an oracle that counts runs and remembers what callers heard.
type homeMachine struct {
	rules   homeRules
	now     time.Time
	selves  []backend.Owner
	homes   []*DedupTable
	ids     []string
	network []message
	running []runningCall
	atWork  []string // Calls whose bytes left and which their server may run yet.
	runs    map[string]int
	notRun  map[string]bool
	heard   map[Outcome]int
	full    int
	steps   int
}

const (
	machineEntries = 3
	machineLimit   = 2 * accountPart
)

var machineAccount = accountKey{service: "repairs", account: "agency"}

func newHomeMachine(rules homeRules) *homeMachine {
	m := &homeMachine{
		rules:  rules,
		now:    time.Unix(1_000_000, 0),
		runs:   make(map[string]int),
		notRun: make(map[string]bool),
		heard:  make(map[Outcome]int),
	}
	for n := range machineEntries {
		m.selves = append(m.selves, backend.NewOwner("entry-"+strconv.Itoa(n), 1))
		m.homes = append(m.homes, new(DedupTable))
	}
	return m
}

// step does one thing that draw chooses and returns what the oracle objects to.
func (m *homeMachine) step(draw func(n int) int) error {
	m.steps++
	switch draw(12) {
	case 0:
		entry := draw(machineEntries)
		m.ids = append(m.ids, m.homes[entry].prefix(m.now, m.selves[entry])+strconv.Itoa(len(m.ids)))
	case 1, 2, 3:
		m.send(draw)
	case 4, 5, 6:
		return m.deliver(draw)
	case 7:
		m.write(draw)
	case 8:
		return m.serve(draw)
	case 9:
		return m.end(draw)
	case 10:
		m.now = m.now.Add([]time.Duration{time.Second, epochLength / 2, epochLength}[draw(3)])
	case 11:
		if draw(4) == 0 {
			m.crash(draw(machineEntries))
		}
	}
	return nil
}

// send puts a call into the network: new or old, to any entry.
func (m *homeMachine) send(draw func(n int) int) {
	if len(m.ids) == 0 {
		return
	}
	recent := min(len(m.ids), 8)
	id := m.ids[len(m.ids)-1-draw(recent)]
	m.network = append(m.network, message{id: id, to: draw(machineEntries)})
}

// deliver lets a call arrive, which the network may repeat or lose.
func (m *homeMachine) deliver(draw func(n int) int) error {
	if len(m.network) == 0 {
		return nil
	}
	at := draw(len(m.network))
	msg := m.network[at]
	fate := draw(6)
	if fate != 0 {
		m.network = append(m.network[:at], m.network[at+1:]...)
	}
	if fate == 1 {
		if msg.forwarded {
			return m.hear(msg.id, m.rules.unanswered)
		}
		return nil
	}
	return m.arrive(msg)
}

func (m *homeMachine) arrive(msg message) error {
	id, ok := parseCallID(msg.id)
	if !ok {
		return fmt.Errorf("minted id %q can't be read", msg.id)
	}
	switch m.rules.route(id, m.selves[msg.to], true, msg.forwarded) {
	case routeForward:
		home, _ := strconv.Atoi(id.home.Entry()[len("entry-"):])
		m.network = append(m.network, message{id: msg.id, to: home, forwarded: true})
		return nil
	case routeHome:
		return m.atHome(msg, id)
	default:
		return m.hear(msg.id, homeLost)
	}
}

func (m *homeMachine) atHome(msg message, id callID) error {
	switch d := m.rules.begin(m.homes[msg.to], m.now, m.selves[msg.to], machineAccount, id, machineLimit).(type) {
	case runNow:
		m.running = append(m.running, runningCall{id: id, entry: msg.to, self: m.selves[msg.to]})
	case running:
		return m.hear(msg.id, stillRunning)
	case stored:
		if d.ending.failure != nil {
			return m.hear(msg.id, d.ending.failure)
		}
	case refused:
		return m.hear(msg.id, d.failure)
	case lost:
		return m.hear(msg.id, d.failure)
	}
	return nil
}

// write lets the bytes of a running call leave, once.
func (m *homeMachine) write(draw func(n int) int) {
	if len(m.running) == 0 {
		return
	}
	call := &m.running[draw(len(m.running))]
	if !call.sent {
		call.sent = true
		m.atWork = append(m.atWork, call.id.String())
	}
}

// serve lets the plain service get a call's bytes, even after its home is gone, or lose them.
func (m *homeMachine) serve(draw func(n int) int) error {
	if len(m.atWork) == 0 {
		return nil
	}
	at := draw(len(m.atWork))
	id := m.atWork[at]
	m.atWork = append(m.atWork[:at], m.atWork[at+1:]...)
	if draw(4) == 0 {
		return nil
	}
	m.runs[id]++
	if m.runs[id] > 1 {
		return fmt.Errorf("%s ran %d times", id, m.runs[id])
	}
	if m.notRun[id] {
		return fmt.Errorf("%s ran although a caller was told that it had not", id)
	}
	return nil
}

// end lets a running call end: refused before its bytes left, else with an answer or without.
func (m *homeMachine) end(draw func(n int) int) error {
	if len(m.running) == 0 {
		return nil
	}
	at := draw(len(m.running))
	call := m.running[at]
	m.running = append(m.running[:at], m.running[at+1:]...)
	end := ending{answer: &plainAnswer{status: http.StatusOK}}
	if !call.sent {
		end = ending{failure: usedUp(draining)}
	} else if draw(2) == 0 {
		end = ending{failure: stillRunning}
		if m.rules.resend {
			m.atWork = append(m.atWork, call.id.String())
		}
	}
	m.rules.finish(m.homes[call.entry], m.now, machineAccount, call.id, end)
	if end.failure != nil {
		return m.hear(call.id.String(), end.failure)
	}
	return nil
}

// crash replaces an entry; what it was running stops where it was.
func (m *homeMachine) crash(entry int) {
	kept := m.running[:0]
	for _, call := range m.running {
		if call.entry != entry {
			kept = append(kept, call)
		}
	}
	m.running = kept
	m.selves[entry], m.homes[entry] = m.rules.restart(m.selves[entry], m.homes[entry])
}

// hear tells the oracle what a caller was answered.
func (m *homeMachine) hear(id string, f *Failure) error {
	m.heard[f.outcome]++
	if f.reason == ReasonOwnerFull {
		m.full++
	}
	if f.outcome != OutcomeNotRun {
		return nil
	}
	m.notRun[id] = true
	if m.runs[id] > 0 {
		return fmt.Errorf("a caller was told that %s had not run, but it had", id)
	}
	return nil
}
