package gateway

import (
	"context"
	"slices"
	"time"

	"greengagedock.example/dispatch"
)

// An entry that begins to schedule a service has seen only its own placements. It asks the
// other entries what they run, which takes a round trip, and meanwhile queues prompts:
// placed by an empty view, they gather on servers that are full.

const (
	// takeoverWait bounds the time for which prompts are queued. Entries that have vanished
	// without a word don't answer, and objectives are a few hundred milliseconds.
	takeoverWait = 80 * time.Millisecond
	// takeoverRefresh is the interval at which an entry asks again that schedules for some
	// others beside the scheduler: these don't send it what they run.
	takeoverRefresh = heartbeatInterval
	// takeoverHoldInterval is the least time between two takeovers for which prompts are
	// queued.
	takeoverHoldInterval = 5 * time.Second
)

// takeover is the state of an entry's last takeover of a service.
type takeover struct {
	// askedAt is when the other entries were asked, or when this entry last knew without that.
	askedAt time.Time
	// heldAt is when prompts were last queued because of a takeover.
	heldAt time.Time
	// unanswered holds the ids of the entries that have not answered.
	unanswered map[string]bool
}

// takeoverOf returns the state of the last takeover of a service.
func (c *control) takeoverOf(service string) *takeover {
	t := c.takeovers[service]
	if t == nil {
		t = &takeover{}
		c.takeovers[service] = t
	}
	return t
}

// noteCeased records that this entry ceases to schedule a service. If it saw the whole load,
// it need not ask at once for what runs: entries that have not noticed the change go on to
// ask it for placements for a while.
func (c *control) noteCeased(now time.Time, service string) {
	if r := c.reports[service]; r != nil && !r.since.IsZero() && !r.partial {
		c.takeoverOf(service).askedAt = now
	}
}

// takeOver asks the other entries what they run on the servers of a service, and has prompts
// queued until they have answered.
func (c *control) takeOver(now time.Time, service string) {
	t := c.takeoverOf(service)
	t.askedAt = now
	t.unanswered = make(map[string]bool)
	for _, known := range c.members.live(now, c.members.timeouts.scheduler()) {
		if now.Before(known.suspectUntil) {
			continue
		}
		t.unanswered[known.ID] = true
		if c.askRunning != nil {
			c.askRunning(known.ID, known.PeerAddress, service)
		}
	}
	if len(t.unanswered) == 0 {
		return
	}
	held := t.heldAt.IsZero() || now.Sub(t.heldAt) >= takeoverHoldInterval
	if held {
		t.heldAt = now
		c.scheduler.Hold(service, now.Add(takeoverWait))
	}
	c.log.Info("taking over as scheduler", "service", service, "entries", len(t.unanswered), "queues_prompts", held)
}

// standInFor has this entry take over a service for which another entry asks it for a
// placement, although it takes a third one for the scheduler.
func (c *control) standInFor(now time.Time, service string) {
	if c.scheduler.Primary(service) || !slices.Contains(c.cache.services(), service) {
		return
	}
	if t := c.takeovers[service]; t == nil || now.Sub(t.askedAt) >= takeoverRefresh {
		c.takeOver(now, service)
	}
}

// takeoverHeartbeat returns the heartbeat that asks another entry what it runs.
func (c *control) takeoverHeartbeat(now time.Time, service string) heartbeatMessage {
	heartbeat := c.newHeartbeat(now, heartbeatTarget{})
	heartbeat.Light = true
	heartbeat.Takeover = []string{service}
	return heartbeat
}

// answerTakeover adds what this entry runs to the response to a heartbeat that asks for it.
func (c *control) answerTakeover(heartbeat heartbeatMessage, reply *heartbeatMessage) {
	if len(heartbeat.Takeover) == 0 {
		return
	}
	reply.Schedules = heartbeat.Takeover
	reply.Running = c.runningOn(heartbeat.Takeover)
}

// applyTakeover applies the response of an entry that was asked what it runs; without one,
// from is nil. When all have answered, queued prompts are placed.
func (c *control) applyTakeover(now time.Time, entry, service string, from *heartbeatMessage) {
	if from != nil {
		c.applyHeartbeat(now, *from)
		c.applyKept(now, *from)
		c.reconcile(now, *from)
	}
	t := c.takeovers[service]
	if t == nil || !t.unanswered[entry] {
		return
	}
	delete(t.unanswered, entry)
	if len(t.unanswered) > 0 {
		return
	}
	c.log.Info("entries have reported what they run", "service", service, "took", now.Sub(t.askedAt))
	c.scheduler.Hold(service, time.Time{})
	for _, decision := range c.scheduler.Tick(now) {
		c.deliver(decision)
	}
}

// reconcile updates the scheduler with what an entry reports to run on servers of services.
func (c *control) reconcile(now time.Time, heartbeat heartbeatMessage) {
	if len(heartbeat.Schedules) == 0 {
		return
	}
	running := make([]dispatch.RunningRequest, 0, len(heartbeat.Running))
	for _, message := range heartbeat.Running {
		running = append(running, message.decode())
	}
	owner := dispatch.NewOwner(heartbeat.From.ID, heartbeat.From.Incarnation)
	c.scheduler.Reconcile(now, owner, heartbeat.Schedules, running)
	c.noteReport(now, owner, heartbeat.Schedules)
}

// askEntry asks an entry what it runs on the servers of a service.
func (c *control) askEntry(id, address, service string) {
	var heartbeat, reply heartbeatMessage
	if !c.do(func(now time.Time) { heartbeat = c.withKeptDigest(c.takeoverHeartbeat(now, service)) }) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	answered := &reply
	if err := c.caller.Call(ctx, address, callHeartbeat, heartbeat, &reply); err != nil {
		c.log.Debug("entry not asked what it runs", "entry", id, "error", err)
		answered = nil
	}
	c.do(func(now time.Time) { c.applyTakeover(now, id, service, answered) })
}
