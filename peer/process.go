package peer

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
	"greengagedock.example/timer"
)

const (
	// controlTick is the time between two ticks of the control state.
	controlTick = 50 * time.Millisecond
	// controlQueue is how many events may wait for the control goroutine.
	controlQueue = 8192
	// publishInterval is the time between two snapshots while nothing of weight changes.
	publishInterval = 250 * time.Millisecond
)

// Canceller ends streams that nobody waits for at a backend server.
type Canceller interface {
	// CancelStream ends the stream at the server's IP and port; it must not block.
	CancelStream(address, stream string)
}

// Control runs the control state of one entry instance: one goroutine owns
// it, and traffic sees it through snapshots and through Acquire and Release.
type Control struct {
	node     *Node
	events   chan Event
	snapshot atomic.Pointer[Snapshot]
	inbound  *inbound
	cancels  Canceller
	log      hclog.Logger
	timers   *timer.Service
	hello    []byte

	links     map[string]*openLink
	published time.Time
	trusted   time.Time
	asked     time.Time
	counters  counters

	mu      sync.Mutex
	waiting map[string]chan SlotResult

	ctx   context.Context
	end   context.CancelFunc
	ended sync.WaitGroup
}

// openLink is a link with the means to end it.
type openLink struct {
	*link
	stop context.CancelFunc
}

// Start opens the control state of an entry that hears its peers on the
// listener; seeds are peers' IPs and ports that are known before any list.
func Start(self registry.Instance, incarnation uint64, listener net.Listener, seeds []string, cancels Canceller, log hclog.Logger, timers *timer.Service) (*Control, error) {
	greeting, err := encodeFrame(&hello{
		Protocol: protocolVersion, Region: self.Location().Region(), Entry: self.ID(), Incarnation: incarnation,
	})
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(context.Background())
	c := &Control{
		node:    NewNode(timers.Now(), self, incarnation),
		events:  make(chan Event, controlQueue),
		cancels: cancels,
		log:     log,
		timers:  timers,
		hello:   greeting,
		links:   make(map[string]*openLink),
		waiting: make(map[string]chan SlotResult),
		ctx:     ctx,
		end:     end,
	}
	c.publish(timers.Now())
	c.inbound = &inbound{
		listener: listener, region: self.Location().Region(), deliver: c.Deliver, log: log,
		conns: make(map[net.Conn]struct{}), newest: make(map[string]net.Conn),
	}
	for _, seed := range seeds {
		c.open(seedPrefix+seed, seed)
	}
	c.ended.Go(c.inbound.serve)
	c.ended.Go(c.run)
	return c, nil
}

// Deliver hands an event to the control goroutine; it waits while the queue is full.
func (c *Control) Deliver(event Event) {
	select {
	case c.events <- event:
	case <-c.ctx.Done():
	}
}

// Snapshot returns the newest snapshot.
func (c *Control) Snapshot() *Snapshot { return c.snapshot.Load() }

// Stop ends the control state and its connections.
func (c *Control) Stop() {
	c.end()
	c.inbound.close()
	c.ended.Wait()
}

// run owns the node.
func (c *Control) run() {
	tick := c.timers.Every(controlTick)
	defer tick.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-tick.C():
			c.take(Tick{})
		case event := <-c.events:
			c.take(event)
		}
	}
}

// take drives the node by one event and publishes a snapshot if one is due:
// at once after a change of what is in force, else a few times a second.
func (c *Control) take(event Event) {
	began := c.timers.Now()
	c.step(event)
	_, drains := event.(Draining)
	if c.node.changed || drains || began.Sub(c.published) >= publishInterval {
		c.publish(began)
		c.connect()
	}
	c.askSeeds(began)
	c.counters.worked(c.timers.Now().Sub(began))
}

// publish makes the newest snapshot the one that traffic sees.
func (c *Control) publish(now time.Time) {
	s := c.node.nextSnapshot(now, c.snapshot.Load())
	if s.synced && len(s.untrusted) == 0 {
		c.trusted = now
	}
	s.trusted = c.trusted
	c.published = now
	c.snapshot.Store(s)
}

// step drives the node by one event and carries out what it asks for.
func (c *Control) step(event Event) {
	for _, effect := range c.node.Step(c.timers.Now(), event) {
		switch e := effect.(type) {
		case Send:
			c.send(e)
		case SlotResult:
			c.answer(e)
		case Cancel:
			c.cancels.CancelStream(e.address, e.stream)
		case LogLine:
			c.write(e)
		}
	}
}

// send puts a message on the link to its peer; without a link it is lost, and
// declared again when there is one.
func (c *Control) send(s Send) {
	l := c.links[s.to]
	if l == nil {
		return
	}
	frame, err := encodeFrame(s.message)
	if err != nil {
		c.log.Error("message not sent", "peer", s.to, "error", err)
		return
	}
	l.send(frame)
	c.counters.sent(s.message, len(frame))
}

// write logs a line.
func (c *Control) write(note LogLine) {
	if note.level == noteWarn {
		c.log.Warn(note.text, note.pairs...)
		return
	}
	c.log.Info(note.text, note.pairs...)
}

// connect opens links to the peers that heartbeats go to and ends those of others.
func (c *Control) connect() {
	targets := c.node.members.targets(c.timers.Now())
	for entry, address := range targets {
		c.open(entry, address)
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

// open makes sure that there is a link of that name to the address.
func (c *Control) open(name, address string) {
	if l := c.links[name]; l != nil {
		if l.address == address {
			return
		}
		l.stop()
	}
	ctx, stop := context.WithCancel(c.ctx)
	l := &link{
		entry: name, address: address, hello: c.hello,
		queue: make(chan []byte, linkQueue), broken: make(chan struct{}, 1),
		up: func(entry string) { c.Deliver(linkUp{entry: entry}) }, log: c.log,
	}
	c.links[name] = &openLink{link: l, stop: stop}
	c.ended.Go(func() { l.run(ctx) })
}

// answer wakes the request that waits for a slot; if it has gone the slot is given back.
func (c *Control) answer(a SlotResult) {
	c.mu.Lock()
	waiter := c.waiting[a.want]
	delete(c.waiting, a.want)
	c.mu.Unlock()
	if waiter != nil {
		waiter <- a
		return
	}
	if a.refusal == nil {
		c.step(RequestWithdrawn{id: a.want})
	}
}

// Acquire waits for a slot, a refusal, or the end of ctx.
func (c *Control) Acquire(ctx context.Context, want backend.SlotRequest) (backend.Slot, error) {
	waiter := make(chan SlotResult, 1)
	c.mu.Lock()
	c.waiting[want.ID()] = waiter
	c.mu.Unlock()
	c.Deliver(SlotRequested{want: want})
	select {
	case a := <-waiter:
		return granted(a)
	case <-c.ctx.Done():
		return backend.Slot{}, backend.NewRefusal(backend.ReasonDraining, retryPause)
	case <-ctx.Done():
		return c.abandon(ctx, want, waiter)
	}
}

// abandon takes a want back; an answer that came at the same moment is used up.
func (c *Control) abandon(ctx context.Context, want backend.SlotRequest, waiter chan SlotResult) (backend.Slot, error) {
	c.mu.Lock()
	_, pending := c.waiting[want.ID()]
	delete(c.waiting, want.ID())
	c.mu.Unlock()
	if !pending {
		return granted(<-waiter)
	}
	c.Deliver(RequestWithdrawn{id: want.ID()})
	return backend.Slot{}, ctx.Err()
}

// granted returns an answer as Acquire does.
func granted(a SlotResult) (backend.Slot, error) {
	if a.refusal != nil {
		return backend.Slot{}, a.refusal
	}
	return a.slot, nil
}

// Release gives a slot back.
func (c *Control) Release(slot backend.Slot, outcome backend.Outcome) {
	c.Deliver(SlotReleased{slot: slot, outcome: outcome})
}
