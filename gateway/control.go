package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
	"greengagedock.example/timer"
)

const (
	// minEntries is the lowest number of entries among which fleet-wide limits are
	// divided, however few are known.
	minEntries = 3
	// startupEntries is the lowest such number during startupPeriod after the
	// start: the whole fleet may have restarted, and no entry knows its size yet.
	startupEntries = 100
	startupPeriod  = 2500 * time.Millisecond
	// startTimeout is the time from the start after which an entry without a
	// configuration takes the store to be away: many times that of a read.
	startTimeout = 500 * time.Millisecond
)

// control owns the state of an entry: the store cache, the other members and the
// scheduler. All access to these runs as functions in one goroutine, the control
// loop.
type control struct {
	settings Settings
	log      hclog.Logger
	timers   *timer.Service
	owner    dispatch.Owner
	tasks    chan func(now time.Time)
	done     chan struct{}

	cache *storeCache
	// limit is that of the items of the store, without items.
	limit     contentLimit
	members   members
	scheduler *dispatch.Scheduler
	// waiters holds the channels of calls whose requests are queued, by request ID.
	waiters map[string]chan dispatch.Decision
	// schedulers holds the peer addresses of the entries that last scheduled for this
	// one, by service, "" for this entry itself.
	schedulers map[string]string
	// markReachable records that the entry at a peer address was heard, so that it is
	// dialed again at once; nil in tests without connections.
	markReachable func(address string)
	// askRunning asks an entry at a peer address what it runs on the servers of a service;
	// nil in tests without connections.
	askRunning func(entry, address, service string)
	// fleetShare is the fraction of the fleet-wide limits that this entry may grant while it
	// knows no other scheduler.
	fleetShare float64
	// takeovers holds this entry's last takeover of each service.
	takeovers map[string]*takeover
	// caller calls other entries, nil in tests without connections. tell sends a handover
	// and does not wait for the response.
	caller entryCaller
	tell   func(handover)
	// handovers counts the calls that tell other entries what this one has learned.
	handovers handoverCounts
	// handedOverAt is when this entry last told another one of a service that it ceased to
	// schedule, although it does not stop.
	handedOverAt map[string]time.Time
	// slowServers holds the servers that were logged as slow, as of speedsLogged.
	slowServers  map[string]bool
	speedsLogged time.Time
	// reports holds, by service, which entries have reported to this scheduler.
	reports map[string]*reports
	// pendingEvents holds the events to send to schedulers, by peer address.
	pendingEvents map[string]*eventsMessage

	// panics counts the panics that were contained.
	panics atomic.Int64

	started time.Time
	// storeAnsweredAt is when the store last responded to this entry, zero if never.
	storeAnsweredAt time.Time
	watching        atomic.Bool
	// listsAt is when this entry lists the store because of cache.wantsList, zero if that is not set.
	listsAt time.Time
	// answers holds when the store answered this entry and others, and outage the last time in
	// which it answered nobody, zero if there was none since the last change of its era; outages
	// counts them.
	answers storeAnswers
	outage  outage
	outages int64
	// lag is how far the content is behind that of other entries.
	lag lag
	// storeFailing is set while reads of the store fail.
	storeFailing atomic.Bool

	view atomic.Pointer[routing.View]
	// suspicionsLogged is suspicionsDigest as of the last suspicions logged, and
	// loggedSuspicions holds what was logged of them.
	suspicionsLogged uint64
	loggedSuspicions map[string]bool
	// notices holds what backend servers stated about themselves.
	notices        routing.Notices
	noticesExpired time.Time
	// cutOff holds the entries that the scheduler knows to be cut off.
	cutOff map[string]bool
	// unreached holds when this entry lost the direct ways that it has, by the server's id, and
	// tunnels returns the number of tunnels that it serves, nil for none.
	unreached map[string]time.Time
	tunnels   func() int
	// entries is the number of entries that share the fleet-wide limits.
	entries atomic.Int64
	state   atomic.Value // memberState
	// stateChanged has the next round of heartbeats sent at once.
	stateChanged chan struct{}
	// newerPeers carries the address of a peer with a newer revision.
	newerPeers chan string
}

func newControl(settings Settings, incarnation uint64, decode Decoder, log hclog.Logger, timers *timer.Service) *control {
	c := &control{
		settings: settings, log: log, timers: timers,
		owner:         dispatch.NewOwner(settings.ID(), incarnation),
		tasks:         make(chan func(time.Time), 256),
		done:          make(chan struct{}),
		cache:         newStoreCache(containDecode(decode), log.Named("store")),
		scheduler:     dispatch.NewScheduler(settings.ID()),
		waiters:       make(map[string]chan dispatch.Decision),
		schedulers:    make(map[string]string),
		takeovers:     make(map[string]*takeover),
		slowServers:   make(map[string]bool),
		reports:       make(map[string]*reports),
		pendingEvents: make(map[string]*eventsMessage),
		handedOverAt:  make(map[string]time.Time),
		newerPeers:    make(chan string, 1),
		stateChanged:  make(chan struct{}, 1),
	}
	c.members = members{
		self: memberMessage{
			ID: settings.ID(), Incarnation: incarnation, Domain: settings.Domain(),
			PeerAddress: settings.PeerAddress(), CallerAddress: settings.CallerAddress(), State: memberStarting,
			CPUCores: settings.CPUCores(),
		},
		timeouts: settings.timeouts,
		byID:     make(map[string]*member),
		byKey:    make(map[uint64]*member),
		seeds:    settings.Seeds(),
		random:   rand.New(rand.NewPCG(incarnation, 0)),
	}
	c.limit = newContentLimit(settings.MemoryBytes())
	c.cache.content = c.limit
	c.tell = func(handover) {}
	c.state.Store(memberStarting)
	c.view.Store(c.newView())
	c.entries.Store(startupEntries)
	c.started = timers.Now()
	return c
}

// run is the control loop; it runs until stop is closed.
func (c *control) run(stop <-chan struct{}) {
	defer close(c.done)
	tick := c.timers.Every(dispatch.TickInterval)
	defer tick.Stop()
	for {
		select {
		case f := <-c.tasks:
			c.runTask(f)
		case <-tick.C():
			c.runTask(c.tick)
		case <-stop:
			return
		}
	}
}

// do runs a function in the control loop and waits for it to return. It reports
// false if the function panicked or the loop has stopped.
func (c *control) do(f func(now time.Time)) bool {
	returned := make(chan bool, 1)
	select {
	case c.tasks <- func(now time.Time) {
		ok := false
		defer func() { returned <- ok }()
		f(now)
		ok = true
	}:
	case <-c.done:
		return false
	}
	select {
	case ok := <-returned:
		return ok
	case <-c.done:
		return false
	}
}

// tick applies the changes that depend on time alone: it expires cached servers
// and silent members and has the scheduler place queued requests.
func (c *control) tick(now time.Time) {
	if c.cache.expireKept(now) {
		c.cacheChanged(now)
	}
	for _, expired := range c.members.expire(now) {
		c.log.Info("silent entry removed", "entry", expired.ID, "silent", now.Sub(expired.lastHeard))
		c.scheduler.ReleaseEntry(now, expired.ID, 0)
	}
	entries := max(minEntries, len(c.members.byID)+1)
	if now.Sub(c.started) < startupPeriod || !c.members.knowsFleet(now, c.started) {
		entries = max(entries, startupEntries)
	}
	c.entries.Store(int64(entries))
	c.updateSchedulerShares(now)
	c.updateCutOff(now)
	c.scheduler.SetUnreached(now, c.members.self.ID, slices.Sorted(maps.Keys(c.unreached)))
	c.logSuspicions(now)
	c.logRepeats()
	c.logSpeeds(now)
	c.expireNotices(now)
	for _, decision := range c.scheduler.Tick(now) {
		c.deliver(decision)
	}
}

// updateSchedulerShares sets, for each service, whether this entry is the scheduler, and the shares
// of the capacity of cold servers and of rate limits that it may grant: as the scheduler all of
// them, unless there may be others that it does not know, and else an equal part of the former
// per entry.
func (c *control) updateSchedulerShares(now time.Time) {
	fleetShare := c.members.fleetShare(now, c.started)
	if (fleetShare < 1) != (c.fleetShare < 1) {
		c.log.Info("share of fleet-wide limits", "share", fleetShare, "before", c.fleetShare, "entries", len(c.members.byID)+1, "lost", len(c.members.lost))
	}
	c.fleetShare = fleetShare
	for _, service := range c.cache.services() {
		scheduler := c.members.scheduler(now, service)
		primary := scheduler == nil
		if !primary && c.scheduler.Primary(service) {
			c.noteCeased(now, service)
			if c.members.self.State != memberLeaving {
				c.handOverTo(now, service, scheduler)
			}
		}
		share, rateLimitShare := fleetShare, fleetShare
		if !primary {
			share = 1 / float64(c.entries.Load())
			rateLimitShare = c.members.rateLimitShare(now, service)
		}
		c.scheduler.SetColdShare(service, share)
		c.scheduler.SetRateLimitShare(service, rateLimitShare)
		if primary && !c.scheduler.Primary(service) {
			c.takeOver(now, service)
		}
		c.scheduler.SetPrimary(now, service, primary)
		c.setSeenShare(now, service, primary)
	}
}

// deliver passes a decision to the call that waits for it.
func (c *control) deliver(decision dispatch.Decision) {
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

// cacheChanged publishes a changed cache to the view and the scheduler, and marks
// the entry ready once it has a configuration and servers.
func (c *control) cacheChanged(now time.Time) {
	c.lag.update(now, c.cache.revision, c.spread)
	view := c.newView()
	c.view.Store(view)
	c.scheduler.SetView(now, view)
	c.updateSchedulerShares(now) // of services that are new
	if c.members.self.State == memberStarting && view.Table() != nil && len(view.Servers()) > 0 {
		c.setState(memberReady)
		c.log.Info("ready", "revision", view.Revision(), "version", view.Table().Version(), "servers", len(view.Servers()))
	}
}

func (c *control) setState(state memberState) {
	ready := c.members.self.State == memberStarting && state == memberReady
	c.members.self.State = state
	c.state.Store(state)
	if ready && !c.schedulesSome(c.timers.Now()) {
		return // the next round is early enough
	}
	c.announce()
}

// announce has the next round of heartbeats sent at once.
func (c *control) announce() {
	select {
	case c.stateChanged <- struct{}{}:
	default: // the next round is due already
	}
}

// schedulesSome reports whether this entry is the scheduler of a service, as far as it knows,
// or knows no service yet. The others must know at once that such an entry is ready. While
// all entries of a fleet start, the announcements of all would take the schedulers' CPU.
func (c *control) schedulesSome(now time.Time) bool {
	services := c.cache.services()
	return len(services) == 0 || slices.ContainsFunc(services, func(service string) bool { return c.members.scheduler(now, service) == nil })
}

// setPaths sets whether this entry has lost the direct way to all servers, and when it lost
// those that it has, by the server's address.
func (c *control) setPaths(cutOff bool, lost map[string]time.Time) {
	c.do(func(now time.Time) {
		c.setUnreached(lost)
		switch {
		case cutOff && c.members.self.State == memberReady:
			c.setState(memberCutOff)
		case !cutOff && c.members.self.State == memberCutOff:
			c.setState(memberReady)
		}
		c.updateCutOff(now)
	})
}

// updateCutOff tells the scheduler which entries are cut off.
func (c *control) updateCutOff(now time.Time) {
	cutOff := c.members.cutOff()
	if maps.Equal(cutOff, c.cutOff) {
		return
	}
	c.cutOff = cutOff
	c.scheduler.SetCutOff(now, cutOff)
	c.log.Info("entries cut off from servers", "entries", slices.Sorted(maps.Keys(cutOff)))
}

// relays returns the peer addresses of entries that lead to servers, in weighted random order.
func (c *control) relays() []string {
	var out []string
	c.do(func(now time.Time) { out = c.members.relays(now) })
	return out
}

// leave marks this entry as stopping.
func (c *control) leave() {
	c.do(func(time.Time) { c.setState(memberLeaving) })
}

// Addresses returns the addresses for callers to connect to, the same for every
// failure domain, and how long callers may cache them.
func (c *control) Addresses(string) ([]string, time.Duration) {
	var out []string
	var ttl time.Duration
	c.do(func(now time.Time) {
		out = c.members.addresses(now)
		ttl = addressTTL(c.settings)
	})
	return out, ttl
}

// addressTTL returns how long callers may cache directory responses. It is short
// so that callers soon leave an entry that is stopping.
func addressTTL(s Settings) time.Duration {
	const maxTTL = 2 * time.Second
	if s.AddressTTL() > 0 {
		return min(maxTTL, s.AddressTTL())
	}
	return maxTTL
}

// Ready reports whether this entry accepts requests.
func (c *control) Ready() bool {
	state := c.state.Load()
	return state == memberReady || state == memberCutOff
}

// View returns the current view of the store.
func (c *control) View() *routing.View { return c.view.Load() }

// StoreAway reports whether reads of the store fail, or have not succeeded for longer
// than a healthy store takes.
func (c *control) StoreAway() bool {
	return c.storeFailing.Load() || c.timers.Now().Sub(c.started) > startTimeout
}

// Entries returns the number of entries among which fleet-wide limits are divided.
func (c *control) Entries() int { return int(c.entries.Load()) }
