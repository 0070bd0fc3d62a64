package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"greengagedock.example/backend"
)

// dedupRules are the rules for non-idempotent calls that the simulation
// applies. Mutations wrap the production rules.
type dedupRules struct {
	route  func(id callID, self backend.Owner, listed, forwarded bool) callRoute
	begin  func(h *DedupTable, now time.Time, self backend.Owner, account accountKey, id callID, limit int) callDecision
	finish func(h *DedupTable, now time.Time, account accountKey, id callID, end callResult)
	// unreachable is what a forwarding entry returns when the owner gives no
	// response.
	unreachable *Failure
	// restart returns the state of a restarted entry, given that of its
	// previous incarnation.
	restart func(old backend.Owner, table *DedupTable) (backend.Owner, *DedupTable)
	// resend makes an owner send a call again that was sent and got no
	// response.
	resend bool
}

func productionRules() dedupRules {
	return dedupRules{
		route:       routeCall,
		begin:       (*DedupTable).begin,
		finish:      (*DedupTable).finish,
		unreachable: ownerUnreachable,
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

// runningCall is a call that an entry has decided to run.
type runningCall struct {
	id    callID
	entry int
	self  backend.Owner
	sent  bool
}

// callSimulation simulates entries, callers and a network that delays, repeats
// and loses messages. It counts the runs of each call and records what callers
// were told.
type callSimulation struct {
	rules      dedupRules
	now        time.Time
	owners     []backend.Owner
	tables     []*DedupTable
	ids        []string
	network    []message
	running    []runningCall
	inFlight   []string // Calls that were sent and that their server may still run.
	runs       map[string]int
	notRun     map[string]bool
	outcomes   map[Outcome]int
	fullTables int
	steps      int
}

const (
	simulatedEntries     = 3
	simulatedRecordLimit = 2 * accountRecordDivisor
)

var simulatedAccount = accountKey{service: "repairs", account: "agency"}

func newCallSimulation(rules dedupRules) *callSimulation {
	m := &callSimulation{
		rules:    rules,
		now:      time.Unix(1_000_000, 0),
		runs:     make(map[string]int),
		notRun:   make(map[string]bool),
		outcomes: make(map[Outcome]int),
	}
	for n := range simulatedEntries {
		m.owners = append(m.owners, backend.NewOwner("entry-"+strconv.Itoa(n), 1))
		m.tables = append(m.tables, new(DedupTable))
	}
	return m
}

// step makes one random step, chosen by draw, and returns the violation of a
// rule, if any.
func (m *callSimulation) step(draw func(n int) int) error {
	m.steps++
	switch draw(12) {
	case 0:
		entry := draw(simulatedEntries)
		m.ids = append(m.ids, m.tables[entry].prefix(m.now, m.owners[entry])+strconv.Itoa(len(m.ids)))
	case 1, 2, 3:
		m.sendCall(draw)
	case 4, 5, 6:
		return m.deliver(draw)
	case 7:
		m.sendBytes(draw)
	case 8:
		return m.executeCall(draw)
	case 9:
		return m.endCall(draw)
	case 10:
		m.now = m.now.Add([]time.Duration{time.Second, epochLength / 2, epochLength}[draw(3)])
	case 11:
		if draw(4) == 0 {
			m.restart(draw(simulatedEntries))
		}
	}
	return nil
}

// sendCall sends a new or an old call to any entry.
func (m *callSimulation) sendCall(draw func(n int) int) {
	if len(m.ids) == 0 {
		return
	}
	recent := min(len(m.ids), 8)
	id := m.ids[len(m.ids)-1-draw(recent)]
	m.network = append(m.network, message{id: id, to: draw(simulatedEntries)})
}

// deliver delivers a message, which the network may repeat or lose.
func (m *callSimulation) deliver(draw func(n int) int) error {
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
			return m.observe(msg.id, m.rules.unreachable)
		}
		return nil
	}
	return m.arrive(msg)
}

func (m *callSimulation) arrive(msg message) error {
	id, ok := parseCallID(msg.id)
	if !ok {
		return fmt.Errorf("generated id %q cannot be parsed", msg.id)
	}
	switch m.rules.route(id, m.owners[msg.to], true, msg.forwarded) {
	case routeForward:
		owner, _ := strconv.Atoi(id.owner.Entry()[len("entry-"):])
		m.network = append(m.network, message{id: msg.id, to: owner, forwarded: true})
		return nil
	case routeLocal:
		return m.handleOwned(msg, id)
	default:
		return m.observe(msg.id, ownerLost)
	}
}

func (m *callSimulation) handleOwned(msg message, id callID) error {
	switch d := m.rules.begin(m.tables[msg.to], m.now, m.owners[msg.to], simulatedAccount, id, simulatedRecordLimit).(type) {
	case runNow:
		m.running = append(m.running, runningCall{id: id, entry: msg.to, self: m.owners[msg.to]})
	case inProgress:
		return m.observe(msg.id, stillRunning)
	case completed:
		if d.result.failure != nil {
			return m.observe(msg.id, d.result.failure)
		}
	case rejected:
		return m.observe(msg.id, d.failure)
	case indeterminate:
		return m.observe(msg.id, d.failure)
	}
	return nil
}

// sendBytes sends a running call to its server, once.
func (m *callSimulation) sendBytes(draw func(n int) int) {
	if len(m.running) == 0 {
		return
	}
	call := &m.running[draw(len(m.running))]
	if !call.sent {
		call.sent = true
		m.inFlight = append(m.inFlight, call.id.String())
	}
}

// executeCall makes the server run a call that was sent to it, even after its
// owner has gone, or loses the call.
func (m *callSimulation) executeCall(draw func(n int) int) error {
	if len(m.inFlight) == 0 {
		return nil
	}
	at := draw(len(m.inFlight))
	id := m.inFlight[at]
	m.inFlight = append(m.inFlight[:at], m.inFlight[at+1:]...)
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

// endCall ends a running call: refused before it was sent, otherwise with or
// without a response.
func (m *callSimulation) endCall(draw func(n int) int) error {
	if len(m.running) == 0 {
		return nil
	}
	at := draw(len(m.running))
	call := m.running[at]
	m.running = append(m.running[:at], m.running[at+1:]...)
	result := callResult{response: &plainResponse{status: http.StatusOK}}
	if !call.sent {
		result = callResult{failure: idConsumed(draining)}
	} else if draw(2) == 0 {
		result = callResult{failure: stillRunning}
		if m.rules.resend {
			m.inFlight = append(m.inFlight, call.id.String())
		}
	}
	m.rules.finish(m.tables[call.entry], m.now, simulatedAccount, call.id, result)
	if result.failure != nil {
		return m.observe(call.id.String(), result.failure)
	}
	return nil
}

// restart replaces an entry by its next incarnation. The calls that it was
// running stop where they are.
func (m *callSimulation) restart(entry int) {
	kept := m.running[:0]
	for _, call := range m.running {
		if call.entry != entry {
			kept = append(kept, call)
		}
	}
	m.running = kept
	m.owners[entry], m.tables[entry] = m.rules.restart(m.owners[entry], m.tables[entry])
}

// observe records what a caller was told and checks it against the runs.
func (m *callSimulation) observe(id string, f *Failure) error {
	m.outcomes[f.outcome]++
	if f.reason == ReasonOwnerFull {
		m.fullTables++
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
