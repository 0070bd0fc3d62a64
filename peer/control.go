package peer

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"greengagedock.example/backend"
	"greengagedock.example/mesh"
	"greengagedock.example/registry"
	"greengagedock.example/timer"
)

const (
	// tickInterval is the time between two ticks of the node.
	tickInterval = 50 * time.Millisecond
	// eventQueueSize is how many events may wait for the control goroutine.
	eventQueueSize = 8192
	// snapshotInterval is the time between two snapshots while the active items
	// do not change.
	snapshotInterval = 250 * time.Millisecond
)

// Canceller cancels attempts at backend servers that no owner claims.
type Canceller interface {
	// CancelStream cancels the attempt at the server's IP and port. It must not
	// block.
	CancelStream(address, stream string)
}

// Control runs the Node of one entry instance. One goroutine owns the Node;
// traffic reads it through snapshots and requests slots through Acquire and
// Release.
type Control struct {
	node      *Node
	region    string
	events    chan Event
	snapshot  atomic.Pointer[Snapshot]
	acceptor  *acceptor
	canceller Canceller
	log       hclog.Logger
	timers    *timer.Service
	hello     []byte

	links           map[string]*openLink
	publishedAt     time.Time
	allLeasesHeldAt time.Time
	seedsAskedAt    time.Time
	counters        counters

	mu      sync.Mutex
	waiting map[string]chan SlotResult

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// openLink is a running link and the function that stops it.
type openLink struct {
	*link
	stop context.CancelFunc
}

// Start starts the control state of an entry that accepts up to maxConnections
// connections of its peers on the listener, 0 for no limit. Seeds are the IPs and ports of peers that are known before any
// entry list is.
func Start(self registry.Instance, incarnation uint64, listener net.Listener, maxConnections int, seeds []string, canceller Canceller, log hclog.Logger, timers *timer.Service) (*Control, error) {
	greeting, err := encodeFrame(&hello{
		Protocol: protocolVersion, Region: self.Location().Region(), Entry: self.ID(), Incarnation: incarnation,
		Understands: slices.Concat(originalKinds, laterKinds),
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{
		node:      NewNode(timers.Now(), self, incarnation),
		region:    self.Location().Region(),
		events:    make(chan Event, eventQueueSize),
		canceller: canceller,
		log:       log,
		timers:    timers,
		hello:     greeting,
		links:     make(map[string]*openLink),
		waiting:   make(map[string]chan SlotResult),
		ctx:       ctx,
		cancel:    cancel,
	}
	c.publishSnapshot(timers.Now())
	c.acceptor = &acceptor{
		listener: listener, region: self.Location().Region(), deliver: c.Deliver, log: log,
		conns: make(map[net.Conn]struct{}), newest: make(map[string]net.Conn),
		tunnels: mesh.NewServer(refuseCalls), maxConnections: maxConnections, frames: newFrameMemory(),
	}
	for _, seed := range seeds {
		c.ensureLink(seedPrefix+seed, seed)
	}
	c.goroutines.Go(c.acceptor.serve)
	c.goroutines.Go(c.run)
	return c, nil
}

// Deliver queues an event for the control goroutine. It blocks while the queue
// is full.
func (c *Control) Deliver(event Event) {
	select {
	case c.events <- event:
	case <-c.ctx.Done():
	}
}

// Snapshot returns the latest snapshot.
func (c *Control) Snapshot() *Snapshot { return c.snapshot.Load() }

// Stop stops the control goroutine, closes all connections and waits for their
// goroutines.
func (c *Control) Stop() {
	c.cancel()
	c.acceptor.close()
	c.goroutines.Wait()
}

// run applies events to the node until Stop is called.
func (c *Control) run() {
	tick := c.timers.Every(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-tick.C():
			c.handle(Tick{})
		case event := <-c.events:
			c.handle(event)
		}
	}
}

// handle applies one event, and publishes a snapshot if one is due: at once
// after a change of the active items or the start of draining, else every
// snapshotInterval.
func (c *Control) handle(event Event) {
	began := c.timers.Now()
	c.step(event)
	_, drains := event.(Draining)
	if c.node.changed || drains || began.Sub(c.publishedAt) >= snapshotInterval {
		c.publishSnapshot(began)
		c.updateLinks()
	}
	c.pullFromSeeds(began)
	c.counters.processed(c.timers.Now().Sub(began))
}

// publishSnapshot publishes a new snapshot.
func (c *Control) publishSnapshot(now time.Time) {
	s := c.node.nextSnapshot(now, c.snapshot.Load())
	if s.synced && len(s.serversWithoutLease) == 0 {
		c.allLeasesHeldAt = now
	}
	s.allLeasesHeldAt = c.allLeasesHeldAt
	c.publishedAt = now
	c.snapshot.Store(s)
}

// step applies one event and carries out its effects.
func (c *Control) step(event Event) {
	for _, effect := range c.node.Step(c.timers.Now(), event) {
		switch e := effect.(type) {
		case Send:
			c.send(e)
		case SlotResult:
			c.deliverResult(e)
		case Cancel:
			c.canceller.CancelStream(e.address, e.attemptID)
		case LogLine:
			c.writeLog(e)
		}
	}
}

// send queues a message on the link to its peer. Without a link the message is
// dropped; slots are declared again when the peer is connected.
func (c *Control) send(s Send) {
	l := c.links[s.to]
	if l == nil {
		return
	}
	frame, err := encodeFrame(s.message)
	if err != nil {
		c.log.Error("encoding message to peer failed", "peer", s.to, "error", err)
		return
	}
	l.send(frame)
	c.counters.sent(s.message, len(frame))
}

// writeLog writes a log line.
func (c *Control) writeLog(note LogLine) {
	if note.level == levelWarn {
		c.log.Warn(note.text, note.pairs...)
		return
	}
	c.log.Info(note.text, note.pairs...)
}

// updateLinks opens links to the targets of heartbeats and closes all others.
// Links to seeds are closed once the node is synced.
func (c *Control) updateLinks() {
	targets := c.node.membership.heartbeatTargets(c.timers.Now())
	for entry, address := range targets {
		c.ensureLink(entry, address)
	}
	synced := c.node.sync.done
	for name, l := range c.links {
		seed := strings.HasPrefix(name, seedPrefix)
		_, wanted := targets[name]
		if !wanted && (!seed || synced) {
			l.stop()
			delete(c.links, name)
		}
	}
}

// ensureLink opens a link to the address under the name, unless there is one.
func (c *Control) ensureLink(name, address string) {
	if l := c.links[name]; l != nil {
		if l.address == address {
			return
		}
		l.stop()
	}
	ctx, stop := context.WithCancel(c.ctx)
	l := &link{
		entry: name, address: address, hello: c.hello,
		queue: make(chan []byte, linkQueueFrames), broken: make(chan struct{}, 1),
		onConnect: func(entry string) { c.Deliver(linkUp{entry: entry}) }, log: c.log,
	}
	c.links[name] = &openLink{link: l, stop: stop}
	c.goroutines.Go(func() { l.run(ctx) })
}

// deliverResult passes a slot result to the waiting Acquire call. If the caller
// has gone, a granted slot is released.
func (c *Control) deliverResult(r SlotResult) {
	c.mu.Lock()
	waiter := c.waiting[r.attemptID]
	delete(c.waiting, r.attemptID)
	c.mu.Unlock()
	if waiter != nil {
		waiter <- r
		return
	}
	if r.refusal == nil {
		c.step(RequestWithdrawn{attemptID: r.attemptID})
	}
}

// Acquire requests a slot and waits for it. It returns a *backend.Refusal if
// the request is refused or Control stops, and the error of ctx if ctx is done
// first.
func (c *Control) Acquire(ctx context.Context, request backend.SlotRequest) (backend.Slot, error) {
	waiter := make(chan SlotResult, 1)
	c.mu.Lock()
	c.waiting[request.ID()] = waiter
	c.mu.Unlock()
	c.Deliver(SlotRequested{request: request})
	select {
	case r := <-waiter:
		return unpackResult(r)
	case <-c.ctx.Done():
		return backend.Slot{}, backend.NewRefusal(backend.ReasonDraining, defaultRetryAfter)
	case <-ctx.Done():
		return c.abandonAcquire(ctx, request, waiter)
	}
}

// abandonAcquire withdraws a request. If its result arrives at the same moment,
// the result is returned.
func (c *Control) abandonAcquire(ctx context.Context, request backend.SlotRequest, waiter chan SlotResult) (backend.Slot, error) {
	c.mu.Lock()
	_, pending := c.waiting[request.ID()]
	delete(c.waiting, request.ID())
	c.mu.Unlock()
	if !pending {
		return unpackResult(<-waiter)
	}
	c.Deliver(RequestWithdrawn{attemptID: request.ID()})
	return backend.Slot{}, ctx.Err()
}

// unpackResult returns a slot result as the results of Acquire.
func unpackResult(r SlotResult) (backend.Slot, error) {
	if r.refusal != nil {
		return backend.Slot{}, r.refusal
	}
	return r.slot, nil
}

// Crashed reports that a slot's server ended under the attempt.
func (c *Control) Crashed(slot backend.Slot) { c.Deliver(ServerCrashed{slot: slot}) }

// Settled reports that a slot's server survives the request of the attempt.
func (c *Control) Settled(slot backend.Slot) { c.Deliver(RequestSettled{slot: slot}) }

// Refused reports, before the release of a slot, for how long its server wants no more requests.
func (c *Control) Refused(slot backend.Slot, wait time.Duration) {
	c.Deliver(ServerRefused{slot: slot, wait: wait})
}

// Release releases a slot and reports the outcome of its attempt.
func (c *Control) Release(slot backend.Slot, outcome backend.Outcome) {
	c.Deliver(SlotReleased{slot: slot, outcome: outcome})
}
