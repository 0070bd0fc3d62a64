package peer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// world is many nodes, the platform and the backend servers under virtual
// time. It knows the truth that the nodes must infer.
type world struct {
	now       time.Time
	random    *rand.Rand
	nodes     map[string]*worldNode
	servers   map[string]*worldServer
	platform  worldPlatform
	cuts      map[[2]string]bool
	flights   map[[2]string][]flight
	faults    []string
	log       []string
	wants     int
	started   int
	busy      bool
	warmAfter int
	mutation  mutation
}

// mutation breaks one rule, to show that the oracle notices.
type mutation string

const (
	mutationNone        mutation = ""
	mutationAuthority   mutation = "trust every keeper"
	mutationCancel      mutation = "never cancel an orphan"
	mutationStartBy     mutation = "start after the start-by time"
	mutationIncarnation mutation = "start on another incarnation"
	mutationRevert      mutation = "take what the platform says as newest"
	mutationClosed      mutation = "ignore the state of failure domains"
)

const (
	worldRegion  = "scl"
	worldService = "strip-model"
	worldModel   = "strip-1"
	worldStep    = 50 * time.Millisecond
	// worldCold and worldWarm are the requests that a server bears.
	worldCold      = 1
	worldWarm      = 4
	worldWarmAfter = 2
)

var worldDomains = []string{"scl-a", "scl-b", "scl-c"}

// worldNode is one entry instance.
type worldNode struct {
	node          *Node
	id            string
	incarnation   uint64
	paused        bool
	cutOff        bool // from the platform
	polled        time.Time
	readAt        time.Time
	inForce       int64
	informedSince time.Time
	waiting       map[string]time.Time // want to deadline
	answered      map[string]int
	running       map[string]*attempt
}

// attempt is the traffic's part of one granted slot.
type attempt struct {
	slot    backend.Slot
	startAt time.Time
	endAt   time.Time
	started bool
}

// worldServer is the truth about one backend server.
type worldServer struct {
	id          string
	domain      string
	incarnation int
	streams     map[string]*stream
	answers     int
	history     []backend.Report
	taken       []time.Time
	lag         time.Duration
	closedAt    time.Time
}

// stream is one attempt that a server runs.
type stream struct {
	tokens int
	endAt  time.Time
}

// worldPlatform is what is published, and the older state that a stale read brings.
type worldPlatform struct {
	revision int64
	items    map[string]registry.Item
	older    map[string]registry.Item
	entries  map[string]registry.Instance
	document int64
	stale    bool
}

// flight is a message on its way.
type flight struct {
	from    backend.Owner
	message message
	at      time.Time
}

func newWorld(seed uint64, entries, servers int) *world {
	w := &world{
		now:       worldStart,
		warmAfter: worldWarmAfter,
		random:    rand.New(rand.NewPCG(seed, 1)),
		nodes:     make(map[string]*worldNode),
		servers:   make(map[string]*worldServer),
		cuts:      make(map[[2]string]bool),
		flights:   make(map[[2]string][]flight),
		platform: worldPlatform{
			items: make(map[string]registry.Item), entries: make(map[string]registry.Instance),
		},
	}
	for i := range servers {
		id := fmt.Sprintf("engine-%d", i)
		w.servers[id] = &worldServer{
			id: id, domain: worldDomains[i%len(worldDomains)], incarnation: 1,
			streams: make(map[string]*stream), lag: 300 * time.Millisecond,
		}
	}
	w.publishServers()
	w.publishDomains()
	w.publishDocument()
	for i := range entries {
		w.startNode(fmt.Sprintf("entry-%d", i), i)
	}
	w.publishEntries()
	return w
}

// worldPlace returns the place of the i-th instance.
func worldPlace(i int) registry.Location {
	return registry.NewLocation(worldRegion, worldDomains[i%len(worldDomains)])
}

// startNode starts an entry's new incarnation.
func (w *world) startNode(id string, place int) {
	var incarnation uint64 = 1
	if old := w.nodes[id]; old != nil {
		incarnation = old.incarnation + 1
	}
	self := registry.NewEntry(id, worldPlace(place), registry.StateLive, id+":1", id+":2")
	n := &worldNode{
		node: NewNode(w.now, self, incarnation<<32|1), id: id, incarnation: incarnation,
		waiting: make(map[string]time.Time), answered: make(map[string]int), running: make(map[string]*attempt),
	}
	w.nodes[id] = n
	w.platform.entries[id] = self
	for _, other := range sortedKeys(w.nodes) {
		w.reconnect(id, other)
	}
}

// killNode ends an entry; its streams go on at the servers.
func (w *world) killNode(id string) {
	for _, other := range sortedKeys(w.nodes) {
		delete(w.flights, [2]string{id, other})
		delete(w.flights, [2]string{other, id})
	}
	delete(w.nodes, id)
}

// cut breaks the connection between two entries; what is on its way is lost.
func (w *world) cut(a, b string) {
	for _, pair := range [][2]string{{a, b}, {b, a}} {
		w.cuts[pair] = true
		delete(w.flights, pair)
	}
}

// heal restores the connection.
func (w *world) heal(a, b string) {
	if !w.cuts[[2]string{a, b}] {
		return
	}
	delete(w.cuts, [2]string{a, b})
	delete(w.cuts, [2]string{b, a})
	w.reconnect(a, b)
}

// reconnect opens connections both ways.
func (w *world) reconnect(a, b string) {
	if a == b || w.nodes[a] == nil || w.nodes[b] == nil || w.cuts[[2]string{a, b}] {
		return
	}
	delete(w.flights, [2]string{a, b})
	delete(w.flights, [2]string{b, a})
	w.drive(w.nodes[a], linkUp{entry: b})
	w.drive(w.nodes[b], linkUp{entry: a})
}

// drive steps a node and carries out its effects.
func (w *world) drive(n *worldNode, event Event) {
	for _, effect := range n.node.Step(w.now, event) {
		switch e := effect.(type) {
		case Send:
			w.post(n, e)
		case SlotResult:
			w.answer(n, e)
		case Cancel:
			w.cancel(e)
		case LogLine:
			w.note(n.id, e.text, e.pairs)
		}
	}
}

func (w *world) note(who, text string, pairs []any) {
	w.log = append(w.log, fmt.Sprintf("%8.2fs %s %s %v", w.now.Sub(worldStart).Seconds(), who, text, pairs))
}

// worldStart is when every world begins; worldNever is no time at all.
var (
	worldStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	worldNever time.Time
)

// post puts a message on its way; the wire form is used, as between processes.
func (w *world) post(from *worldNode, s Send) {
	pair := [2]string{from.id, s.to}
	if w.cuts[pair] || w.nodes[s.to] == nil {
		return
	}
	frame, err := encodeFrame(s.message)
	if err != nil {
		w.fault("message not encoded: %v", err)
		return
	}
	m, err := decodeBody(frame[frameHeaderBytes:])
	if err != nil {
		w.fault("message not decoded: %v", err)
		return
	}
	delay := time.Duration(w.random.IntN(4)) * time.Millisecond
	w.flights[pair] = append(w.flights[pair], flight{from: from.node.owner, message: m, at: w.now.Add(delay)})
}

// cancel ends a stream at its server.
func (w *world) cancel(c Cancel) {
	server := w.servers[c.address]
	w.checkCancel(c)
	if server != nil && w.mutation != mutationCancel {
		delete(server.streams, c.stream)
	}
}

// answer takes a node's answer to its traffic.
func (w *world) answer(n *worldNode, a SlotResult) {
	n.answered[a.want]++
	if n.answered[a.want] > 1 {
		w.fault("%s answered %s twice", n.id, a.want)
	}
	delete(n.waiting, a.want)
	if a.refusal != nil {
		return
	}
	start := w.now.Add(time.Duration(w.random.IntN(100)) * time.Millisecond)
	if w.random.IntN(10) == 0 {
		start = start.Add(2 * time.Second)
	}
	n.running[a.want] = &attempt{slot: a.slot, startAt: start}
}

// wantLife is the time from a want to its deadline.
const wantLife = 40 * time.Second

// want lets a node's traffic ask for a slot.
func (w *world) want(n *worldNode) {
	w.wants++
	id := backend.AttemptID(n.node.owner, fmt.Sprintf("r-%d", w.wants), 1)
	deadline := w.now.Add(wantLife)
	n.waiting[id] = deadline
	work := backend.NewWorkload(worldService, worldModel)
	cost := backend.NewCost(1000+w.random.IntN(3000), 100)
	w.drive(n, SlotRequested{want: backend.NewSlotRequest(id, n.node.owner, "norte", work, cost, deadline)})
}

// fault notes a broken promise.
func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%.2fs: ", w.now.Sub(worldStart).Seconds())+fmt.Sprintf(format, args...))
}
