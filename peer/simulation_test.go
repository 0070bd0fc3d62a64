package peer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// simulation runs many nodes, the platform and the backend servers in virtual
// time. It knows the true state, of which each node sees only a part.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	nodes     map[string]*simNode
	servers   map[string]*simServer
	platform  simPlatform
	cutLinks  map[[2]string]bool
	inFlight  map[[2]string][]inFlightMessage
	faults    []string
	log       []string
	requested int
	started   int
	underLoad bool
	warmAfter int
	mutation  mutation
}

// mutation is a rule to break, to show that the checks detect it.
type mutation string

const (
	mutationNone        mutation = ""
	mutationLease       mutation = "give every keeper the full lease"
	mutationCancel      mutation = "never cancel an orphan"
	mutationStartBy     mutation = "start after the start-by time"
	mutationIncarnation mutation = "start on another incarnation"
	mutationRevert      mutation = "take the items of the platform as newest"
	mutationDomainState mutation = "ignore the state of failure domains"
)

const (
	simRegion  = "scl"
	simService = "strip-model"
	simModel   = "strip-1"
	simStep    = 50 * time.Millisecond
	// simColdRequests and simWarmRequests are the requests that a cold and a
	// warm server can take.
	simColdRequests = 1
	simWarmRequests = 4
	simWarmAfter    = 2
)

var simDomains = []string{"scl-a", "scl-b", "scl-c"}

// simNode is one entry instance.
type simNode struct {
	node                *Node
	id                  string
	incarnation         uint64
	paused              bool
	platformUnreachable bool
	polledAt            time.Time
	platformReadAt      time.Time
	activeVersion       int64
	informedSince       time.Time
	waiting             map[string]time.Time // deadline by attempt id
	results             map[string]int
	running             map[string]*attempt
}

// attempt is the traffic's side of one granted slot.
type attempt struct {
	slot    backend.Slot
	startAt time.Time
	endAt   time.Time
	started bool
}

// simServer is the true state of one backend server.
type simServer struct {
	id          string
	domain      string
	incarnation int
	streams     map[string]*stream
	finished    int
	reports     []backend.Report
	reportTimes []time.Time
	lag         time.Duration
	domainOutAt time.Time
}

// stream is one attempt that a server runs.
type stream struct {
	tokens int
	endAt  time.Time
}

// simPlatform holds the published items, and the older ones that a stale
// platform returns.
type simPlatform struct {
	revision int64
	items    map[string]registry.Item
	older    map[string]registry.Item
	entries  map[string]registry.Instance
	document int64
	stale    bool
}

// inFlightMessage is a message that has been sent and not delivered yet.
type inFlightMessage struct {
	from    backend.Owner
	message message
	at      time.Time
}

func newSimulation(seed uint64, entries, servers int) *simulation {
	sim := &simulation{
		now:       simStart,
		warmAfter: simWarmAfter,
		random:    rand.New(rand.NewPCG(seed, 1)),
		nodes:     make(map[string]*simNode),
		servers:   make(map[string]*simServer),
		cutLinks:  make(map[[2]string]bool),
		inFlight:  make(map[[2]string][]inFlightMessage),
		platform: simPlatform{
			items: make(map[string]registry.Item), entries: make(map[string]registry.Instance),
		},
	}
	for i := range servers {
		id := fmt.Sprintf("engine-%d", i)
		sim.servers[id] = &simServer{
			id: id, domain: simDomains[i%len(simDomains)], incarnation: 1,
			streams: make(map[string]*stream), lag: 300 * time.Millisecond,
		}
	}
	sim.publishServers()
	sim.publishDomains()
	sim.publishDocument()
	for i := range entries {
		sim.startNode(fmt.Sprintf("entry-%d", i), i)
	}
	sim.publishEntries()
	return sim
}

// simLocation returns the region and failure domain of the i-th instance.
func simLocation(i int) registry.Location {
	return registry.NewLocation(simRegion, simDomains[i%len(simDomains)])
}

// startNode starts an entry, as a new incarnation if it ran before.
func (sim *simulation) startNode(id string, place int) {
	var incarnation uint64 = 1
	if old := sim.nodes[id]; old != nil {
		incarnation = old.incarnation + 1
	}
	self := registry.NewEntry(id, simLocation(place), registry.StateLive, id+":1", id+":2")
	n := &simNode{
		node: NewNode(sim.now, self, incarnation<<32|1), id: id, incarnation: incarnation,
		waiting: make(map[string]time.Time), results: make(map[string]int), running: make(map[string]*attempt),
	}
	sim.nodes[id] = n
	sim.platform.entries[id] = self
	for _, other := range sortedKeys(sim.nodes) {
		sim.reconnect(id, other)
	}
}

// killNode kills an entry. Its streams continue at the servers.
func (sim *simulation) killNode(id string) {
	for _, other := range sortedKeys(sim.nodes) {
		delete(sim.inFlight, [2]string{id, other})
		delete(sim.inFlight, [2]string{other, id})
	}
	delete(sim.nodes, id)
}

// cut breaks the connections between two entries; messages in flight are lost.
func (sim *simulation) cut(a, b string) {
	for _, pair := range [][2]string{{a, b}, {b, a}} {
		sim.cutLinks[pair] = true
		delete(sim.inFlight, pair)
	}
}

// heal restores the connections between two entries.
func (sim *simulation) heal(a, b string) {
	if !sim.cutLinks[[2]string{a, b}] {
		return
	}
	delete(sim.cutLinks, [2]string{a, b})
	delete(sim.cutLinks, [2]string{b, a})
	sim.reconnect(a, b)
}

// reconnect opens new connections in both directions.
func (sim *simulation) reconnect(a, b string) {
	if a == b || sim.nodes[a] == nil || sim.nodes[b] == nil || sim.cutLinks[[2]string{a, b}] {
		return
	}
	delete(sim.inFlight, [2]string{a, b})
	delete(sim.inFlight, [2]string{b, a})
	sim.drive(sim.nodes[a], linkUp{entry: b})
	sim.drive(sim.nodes[b], linkUp{entry: a})
}

// drive applies an event to a node and carries out the effects.
func (sim *simulation) drive(n *simNode, event Event) {
	for _, effect := range n.node.Step(sim.now, event) {
		switch e := effect.(type) {
		case Send:
			sim.sendMessage(n, e)
		case SlotResult:
			sim.receiveResult(n, e)
		case Cancel:
			sim.cancel(e)
		case LogLine:
			sim.note(n.id, e.text, e.pairs)
		}
	}
}

func (sim *simulation) note(who, text string, pairs []any) {
	sim.log = append(sim.log, fmt.Sprintf("%8.2fs %s %s %v", sim.now.Sub(simStart).Seconds(), who, text, pairs))
}

// simStart is when every simulation starts; noTime is the zero time.
var (
	simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	noTime   time.Time
)

// sendMessage puts a message in flight, encoded and decoded as between
// processes.
func (sim *simulation) sendMessage(from *simNode, s Send) {
	pair := [2]string{from.id, s.to}
	if sim.cutLinks[pair] || sim.nodes[s.to] == nil {
		return
	}
	frame, err := encodeFrame(s.message)
	if err != nil {
		sim.reportFault("message not encoded: %v", err)
		return
	}
	m, err := decodeBody(frame[frameHeaderBytes:])
	if err != nil {
		sim.reportFault("message not decoded: %v", err)
		return
	}
	delay := time.Duration(sim.random.IntN(4)) * time.Millisecond
	sim.inFlight[pair] = append(sim.inFlight[pair], inFlightMessage{from: from.node.owner, message: m, at: sim.now.Add(delay)})
}

// cancel cancels a stream at its server.
func (sim *simulation) cancel(c Cancel) {
	server := sim.servers[c.address]
	sim.checkCancel(c)
	if server != nil && sim.mutation != mutationCancel {
		delete(server.streams, c.attemptID)
	}
}

// receiveResult handles a node's result for a slot request of its traffic.
func (sim *simulation) receiveResult(n *simNode, r SlotResult) {
	n.results[r.attemptID]++
	if n.results[r.attemptID] > 1 {
		sim.reportFault("%s answered %s twice", n.id, r.attemptID)
	}
	delete(n.waiting, r.attemptID)
	if r.refusal != nil {
		return
	}
	start := sim.now.Add(time.Duration(sim.random.IntN(100)) * time.Millisecond)
	if sim.random.IntN(10) == 0 {
		start = start.Add(2 * time.Second)
	}
	n.running[r.attemptID] = &attempt{slot: r.slot, startAt: start}
}

// requestTimeout is the time from a slot request to its deadline.
const requestTimeout = 40 * time.Second

// requestSlot lets a node's traffic request a slot.
func (sim *simulation) requestSlot(n *simNode) {
	sim.requested++
	id := backend.AttemptID(n.node.owner, fmt.Sprintf("r-%d", sim.requested), 1)
	deadline := sim.now.Add(requestTimeout)
	n.waiting[id] = deadline
	workload := backend.NewWorkload(simService, simModel)
	cost := backend.NewCost(1000+sim.random.IntN(3000), 100)
	sim.drive(n, SlotRequested{request: backend.NewSlotRequest(id, n.node.owner, "norte", workload, cost, deadline)})
}

// reportFault records a violation of an invariant.
func (sim *simulation) reportFault(format string, args ...any) {
	sim.faults = append(sim.faults, fmt.Sprintf("%.2fs: ", sim.now.Sub(simStart).Seconds())+fmt.Sprintf(format, args...))
}
