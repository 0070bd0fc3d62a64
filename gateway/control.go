package gateway

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
	"greengagedock.example/timer"
)

const (
	// fewestEntries is the least number of entries that the bounds on all are
	// shared by while few are known.
	fewestEntries = 3
	// manyEntries is taken as their number for learningTime after the start: all
	// may have restarted, and none knows yet how many share the bounds.
	manyEntries  = 100
	learningTime = 2500 * time.Millisecond
)

// control owns what an entry believes: its loop runs one function at a time.
type control struct {
	settings Settings
	log      hclog.Logger
	timers   *timer.Service
	owner    dispatch.Owner
	work     chan func(now time.Time)
	done     chan struct{}

	mirror  *mirror
	members members
	book    *dispatch.Scheduler
	waiters map[string]chan dispatch.Decision
	outbox  map[string]*eventsMessage

	started time.Time
	// answered is when the store last answered, zero if never.
	answered time.Time
	watching atomic.Bool

	view    atomic.Pointer[routing.View]
	entries atomic.Int64
	state   atomic.Value // memberState
	// behind is told of an entry with a newer revision.
	behind chan string
}

func newControl(settings Settings, incarnation uint64, decode Decoder, log hclog.Logger, timers *timer.Service) *control {
	c := &control{
		settings: settings, log: log, timers: timers,
		owner:   dispatch.NewOwner(settings.ID(), incarnation),
		work:    make(chan func(time.Time), 256),
		done:    make(chan struct{}),
		mirror:  newMirror(decode, log.Named("store")),
		book:    dispatch.NewScheduler(settings.ID()),
		waiters: make(map[string]chan dispatch.Decision),
		outbox:  make(map[string]*eventsMessage),
		behind:  make(chan string, 1),
	}
	c.members = members{
		self: memberMessage{
			ID: settings.ID(), Incarnation: incarnation, Domain: settings.Domain(),
			Peers: settings.PeerAddress(), Callers: settings.CallerAddress(), State: memberStarting,
			Processor: settings.CPUCores(),
		},
		byID:   make(map[string]*member),
		byKey:  make(map[uint64]*member),
		seeds:  settings.Seeds(),
		random: rand.New(rand.NewPCG(incarnation, 0)),
	}
	c.state.Store(memberStarting)
	c.view.Store(c.mirror.view())
	c.entries.Store(manyEntries)
	c.started = timers.Now()
	return c
}

// run carries out the work of the control state until stop is closed.
func (c *control) run(stop <-chan struct{}) {
	defer close(c.done)
	tick := c.timers.Every(dispatch.TickInterval)
	defer tick.Stop()
	for {
		select {
		case f := <-c.work:
			f(c.timers.Now())
		case <-tick.C():
			c.tick(c.timers.Now())
		case <-stop:
			return
		}
	}
}

// do runs a function in the control loop and waits for its end; it reports
// false when the loop has ended.
func (c *control) do(f func(now time.Time)) bool {
	ended := make(chan struct{})
	select {
	case c.work <- func(now time.Time) {
		f(now)
		close(ended)
	}:
	case <-c.done:
		return false
	}
	select {
	case <-ended:
		return true
	case <-c.done:
		return false
	}
}

// tick looks at all that time alone changes.
func (c *control) tick(now time.Time) {
	if c.mirror.expire(now) {
		c.published(now)
	}
	for _, gone := range c.members.expire(now) {
		c.log.Info("entry forgotten", "entry", gone.ID, "silent", now.Sub(gone.heardAt))
		c.book.ReleaseEntry(now, gone.ID, 0)
	}
	entries := max(fewestEntries, len(c.members.byID)+1)
	if now.Sub(c.started) < learningTime {
		entries = max(entries, manyEntries)
	}
	c.entries.Store(int64(entries))
	c.shareCold(now)
	for _, decision := range c.book.Tick(now) {
		c.decided(decision)
	}
}

// shareCold states for each service whether this entry places for all.
func (c *control) shareCold(now time.Time) {
	for _, service := range c.mirror.services() {
		share := 1.0
		if c.members.placer(now, service) != nil {
			share = 1 / float64(c.entries.Load())
		}
		c.book.SetColdShare(service, share)
	}
}

// decided hands a decision to the call that waits for it.
func (c *control) decided(decision dispatch.Decision) {
	id := ""
	switch d := decision.(type) {
	case dispatch.Granted:
		id = d.Grant().ID()
	case dispatch.Refused:
		id = d.ID()
	}
	if waiter := c.waiters[id]; waiter != nil {
		delete(c.waiters, id)
		waiter <- decision
	}
}

// published takes a change of what the mirror says.
func (c *control) published(now time.Time) {
	view := c.mirror.view()
	c.view.Store(view)
	c.book.SetView(now, view)
	if c.members.self.State == memberStarting && view.Table() != nil && len(view.Servers()) > 0 {
		c.setState(memberReady)
		c.log.Info("ready", "revision", view.Revision(), "version", view.Table().Version(), "servers", len(view.Servers()))
	}
}

func (c *control) setState(state memberState) {
	c.members.self.State = state
	c.state.Store(state)
}

// leave marks this entry as one that stops.
func (c *control) leave() {
	c.do(func(time.Time) { c.setState(memberLeaving) })
}

// Addresses returns where callers of any failure domain are to connect, and how long they may keep that.
func (c *control) Addresses(string) ([]string, time.Duration) {
	var out []string
	var ttl time.Duration
	c.do(func(now time.Time) {
		out = c.members.addresses(now)
		ttl = addressTTL(c.settings)
	})
	return out, ttl
}

// addressTTL is short, so that callers soon leave an entry that stops.
func addressTTL(s Settings) time.Duration {
	const usual = 2 * time.Second
	if s.AddressTTL() > 0 {
		return min(usual, s.AddressTTL())
	}
	return usual
}

// Ready reports whether this entry takes requests.
func (c *control) Ready() bool { return c.state.Load() == memberReady }

// View returns what is published.
func (c *control) View() *routing.View { return c.view.Load() }

// Entries returns how many entries share the bounds on all of them.
func (c *control) Entries() int { return int(c.entries.Load()) }
