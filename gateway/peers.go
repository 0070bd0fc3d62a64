package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"greengagedock.example/mesh"
	"greengagedock.example/routing"
)

// errCall is wrapped by the errors for calls that are unknown, malformed or arrive
// while the entry stops.
var errCall = eris.New("gateway: call refused")

// handle handles a call of another entry.
func (c *control) handle(kind string, body []byte) (any, error) {
	switch kind {
	case callHeartbeat:
		return answerCall(body, c.handleHeartbeat)
	case callItems:
		return answerCall(body, c.handleItems)
	case callPlacement:
		return answerCall(body, c.handlePlacement)
	case callEvents:
		return answerCall(body, c.handleEvents)
	case callLearned:
		return answerCall(body, c.handleLearned)
	default:
		return nil, eris.Wrapf(errCall, "unknown kind %q", kind)
	}
}

// answerCall decodes a call and passes it to its handler.
func answerCall[Call, Reply any](body []byte, handle func(Call) (Reply, error)) (any, error) {
	var call Call
	if err := msgpack.Unmarshal(body, &call); err != nil {
		return nil, eris.Wrap(errCall, err.Error())
	}
	return handle(call)
}

func (c *control) handleHeartbeat(heartbeat heartbeatMessage) (heartbeatMessage, error) {
	var reply heartbeatMessage
	if !c.do(func(now time.Time) {
		c.applyKept(now, heartbeat)
		reply = c.answerKept(now, heartbeat, c.answerHeartbeat(now, heartbeat))
	}) {
		return reply, eris.Wrap(errCall, "stopping")
	}
	return reply, nil
}

// answerHeartbeat applies a heartbeat and returns the response to it.
func (c *control) answerHeartbeat(now time.Time, heartbeat heartbeatMessage) heartbeatMessage {
	c.applyHeartbeat(now, heartbeat)
	c.reconcile(now, heartbeat)
	reply := c.newHeartbeat(now, heartbeatTarget{})
	c.answerTakeover(heartbeat, &reply)
	if len(heartbeat.Counters) > 0 {
		reply.Counters = c.members.encodeCounters(now)
	}
	// In a large fleet the schedulers get heartbeats from all entries, and
	// leave it to other heartbeats to spread the members.
	large := len(c.members.byID) >= gossipMinEntries
	if heartbeat.Digest != reply.Digest && !heartbeat.Light && !(large && len(heartbeat.Schedules) > 0) {
		reply.Members = c.unlistedMembers(now, heartbeat.Counters)
	}
	if heartbeat.SuspicionsDigest != reply.SuspicionsDigest {
		reply.Suspicions = c.encodeSuspicions(now)
	}
	if heartbeat.RepeatsDigest != reply.RepeatsDigest {
		reply.Repeats = c.encodeRepeats(now)
	}
	if heartbeat.NoticesDigest != reply.NoticesDigest {
		reply.Notices = encodeNotices(now, c.notices.Current(now))
	}
	return reply
}

// applyHeartbeat applies a heartbeat or the response to one.
func (c *control) applyHeartbeat(now time.Time, heartbeat heartbeatMessage) {
	if c.members.observe(now, heartbeat.From) {
		c.log.Info("entry state changed", "entry", heartbeat.From.ID, "incarnation", heartbeat.From.Incarnation, "state", string(heartbeat.From.State), "revision", routing.UnpackRevision(heartbeat.Revision))
		c.scheduler.ReleaseEntry(now, heartbeat.From.ID, heartbeat.From.Incarnation)
		if c.markReachable != nil {
			c.markReachable(heartbeat.From.PeerAddress)
		}
	}
	if known := c.members.byID[heartbeat.From.ID]; known != nil {
		known.tunnels = heartbeat.Tunnels
		known.storeAnsweredAt = time.Time{}
		if heartbeat.StoreAge >= 0 {
			known.storeAnsweredAt = now.Add(-heartbeat.StoreAge)
		}
	}
	c.applyUnreached(now, heartbeat)
	c.members.mergeCounters(now, heartbeat.Counters)
	c.mergeSuspicions(now, heartbeat.Suspicions)
	c.mergeRepeats(now, heartbeat.Repeats)
	c.mergeNotices(now, heartbeat.From.ID, heartbeat.Notices)
	for _, other := range heartbeat.Members {
		if c.members.learn(other) {
			c.log.Info("entry discovered", "entry", other.ID, "incarnation", other.Incarnation, "from", heartbeat.From.ID)
			c.scheduler.ReleaseEntry(now, other.ID, other.Incarnation)
		}
	}
	c.hearRevision(now, routing.UnpackRevision(heartbeat.Revision))
	if routing.UnpackRevision(heartbeat.Revision).After(c.cache.revision) {
		select {
		case c.newerPeers <- heartbeat.From.PeerAddress:
		default: // a fetch from another newer peer is already queued
		}
	}
}

// newHeartbeat returns this entry's heartbeat for a target, or its response to one if
// the target has no address.
func (c *control) newHeartbeat(now time.Time, to heartbeatTarget) heartbeatMessage {
	heartbeat := heartbeatMessage{From: c.members.self, Revision: c.cache.revision.Packed(), StoreAge: c.storeAge(now), Digest: c.members.digest(), SuspicionsDigest: c.suspicionsDigest(), RepeatsDigest: c.repeats().Digest(),
		NoticesDigest: c.notices.Digest(now), Notices: encodeNotices(now, c.notices.News(now)), Unreached: c.encodeUnreached(now)}
	if c.tunnels != nil {
		heartbeat.Tunnels = c.tunnels()
	}
	if to.address == "" {
		return heartbeat
	}
	for _, service := range c.cache.services() {
		if scheduler := c.members.scheduler(now, service); scheduler != nil && scheduler.PeerAddress == to.address {
			heartbeat.Schedules = append(heartbeat.Schedules, service)
		}
	}
	if len(heartbeat.Schedules) == 0 {
		// Schedulers get heartbeats from all entries, so they need no counters.
		heartbeat.Light = len(c.members.byID) >= gossipMinEntries && !to.exchange
		if to.exchange {
			heartbeat.Counters = c.members.encodeCounters(now)
		}
		return heartbeat
	}
	heartbeat.Running = c.runningOn(heartbeat.Schedules)
	return heartbeat
}

// runningOn returns what this entry runs on the servers of services.
func (c *control) runningOn(services []string) []runningMessage {
	var out []runningMessage
	for _, request := range c.scheduler.Running(c.owner) {
		if slices.Contains(services, request.Service()) {
			out = append(out, encodeRunning(request))
		}
	}
	return out
}

// storeAge returns the time since the store last responded, negative if never.
func (c *control) storeAge(now time.Time) time.Duration {
	if c.storeAnsweredAt.IsZero() {
		return -1
	}
	return now.Sub(c.storeAnsweredAt)
}

// unlistedMembers returns the live entries that are not in the encoded counters;
// the sender of the counters already knows the ones that are.
func (c *control) unlistedMembers(now time.Time, counters []byte) []memberMessage {
	listed := make(map[uint64]bool)
	for counter := range decodeCounters(counters) {
		listed[counter.key] = true
	}
	var out []memberMessage
	for _, known := range c.members.live(now, c.settings.timeouts.listed()) {
		if !listed[known.key] {
			out = append(out, known.memberMessage)
		}
	}
	return out
}

func (c *control) handlePlacement(call placementMessage) (placementReply, error) {
	owner, request := call.decode(c.timers.Now())
	c.do(func(now time.Time) {
		c.mergeNotices(now, call.Entry, call.Notices)
		c.standInFor(now, call.Service)
	})
	decision, err := c.schedule(context.Background(), owner, request)
	if err != nil {
		return placementReply{}, eris.Wrap(errCall, err.Error())
	}
	return encodeDecision(decision), nil
}

func (c *control) handleEvents(call eventsMessage) (emptyReply, error) {
	c.do(func(now time.Time) {
		c.mergeNotices(now, call.Entry, call.Notices)
		for _, id := range call.Started {
			c.scheduler.Started(now, id)
		}
		for _, end := range call.Ended {
			c.scheduler.Ended(now, end.ID, end.Outcome)
		}
		for _, fault := range call.Faults {
			c.scheduler.ReportFault(now, call.Entry, fault.Service, fault.Address, fault.Outcome)
		}
		for _, load := range call.Loads {
			c.scheduler.ObserveLoad(now, load.Service, load.decode(now))
		}
		for _, id := range call.Withdrawn {
			c.scheduler.Withdraw(id)
		}
		for _, decision := range c.scheduler.Tick(now) {
			c.deliver(decision)
		}
	})
	return emptyReply{}, nil
}

// sendHeartbeats sends heartbeats until ctx ends.
func (c *control) sendHeartbeats(ctx context.Context, client *mesh.Client) {
	tick := c.timers.Every(heartbeatInterval)
	defer tick.Stop()
	inFlight := make(map[string]chan struct{})
	announces := false // whether this round announces a change of this entry's state
	for round := 0; ; round++ {
		targets, alone := c.nextRound(round)
		for _, target := range targets {
			if ended, ok := inFlight[target.address]; ok {
				select {
				case <-ended:
				default:
					if !announces {
						continue // the previous heartbeat is still in flight
					}
				}
			}
			ended := make(chan struct{})
			inFlight[target.address] = ended
			go func() {
				defer close(ended)
				if target.unknown && !c.discover(ctx, client, target.address, round) {
					return
				}
				c.sendHeartbeat(ctx, client, target)
			}()
		}
		due := tick.C()
		if round < startupRounds || alone {
			due = time.After(startupInterval)
		}
		select {
		case <-due:
			announces = false
		case <-c.stateChanged:
			announces = true
		case <-ctx.Done():
			return
		}
	}
}

// discover connects to a seed at which no entry is known, and reports whether it is up.
func (c *control) discover(ctx context.Context, client *mesh.Client, address string, round int) bool {
	if round%longDiscoveryDial != longDiscoveryDial-1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, discoveryDialTimeout)
		defer cancel()
	}
	if err := client.Connect(ctx, address); err != nil {
		c.log.Debug("seed not reachable", "address", address, "error", err)
		return false
	}
	return true
}

// nextRound starts a round of heartbeats and returns the entries that get one, and
// whether this entry knows no other one.
func (c *control) nextRound(round int) (targets []heartbeatTarget, alone bool) {
	c.do(func(now time.Time) {
		// The counter tells how long the entry has run, also one that searches for others.
		if round < startupRounds || len(c.members.byID) > 0 || round%int(heartbeatInterval/startupInterval) == 0 {
			c.members.self.Heartbeats++
		}
		targets = c.members.roundTargets(now, c.cache.services())
		alone = len(c.members.byID) == 0
	})
	return targets, alone
}

// sendHeartbeat sends one heartbeat.
func (c *control) sendHeartbeat(ctx context.Context, client *mesh.Client, target heartbeatTarget) {
	var heartbeat, reply heartbeatMessage
	var sent time.Time
	if !c.do(func(now time.Time) {
		heartbeat, sent = c.withKeptDigest(c.newHeartbeat(now, target)), now
	}) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if err := client.Call(ctx, target.address, callHeartbeat, heartbeat, &reply); err != nil {
		if errors.Is(err, mesh.ErrRefused) {
			c.log.Warn("heartbeat refused", "address", target.address, "error", err)
		}
		if ctx.Err() != nil {
			client.Drop(target.address) // redial rather than reuse an unresponsive connection
		}
		return
	}
	c.do(func(now time.Time) {
		c.applyHeartbeat(now, reply)
		c.hearAnswer(now, sent, reply.StoreAge)
		c.applyKept(now, reply)
	})
}

// applyItems applies the decoded items of a reply to a request for the changes since a
// revision.
func (c *control) applyItems(now time.Time, address string, since routing.Revision, reply itemsReply, items []Item) {
	revision := routing.UnpackRevision(reply.Revision)
	if !revision.After(c.cache.revision) {
		return
	}
	if !reply.Full && (since != c.cache.revision || since.Era() != revision.Era()) {
		// The changes leave out the removal of what arrived meanwhile.
		select {
		case c.newerPeers <- address:
		default:
		}
		return
	}
	c.applyRecovery(now, reply, revision.Era() != c.cache.revision.Era())
	if reply.LeftOut {
		c.cache.incomplete = true
	}
	if reply.Full {
		c.cache.replace(now, items, revision)
	} else {
		c.cache.applyChanges(now, items, revision)
	}
	c.log.Info("items fetched", "entry", address, "revision", revision, "items", len(items), "whole", reply.Full)
	c.cacheChanged(now)
}

// applyRecovery records when the store recovered from an outage, as another entry states it, or
// with a change of its era.
func (c *control) applyRecovery(now time.Time, reply itemsReply, eraChanged bool) {
	recoveredAt := now.Add(-max(0, reply.SinceRecovery))
	switch {
	case eraChanged:
		if recoveredAt.After(c.cache.recoveredAt) {
			c.cache.recoveredAt, c.outage = recoveredAt, outage{}
		}
	case reply.SinceRecovery >= 0:
		length := reply.Outage
		if length <= 0 {
			length = maxAnswerGap // not stated by earlier versions
		}
		c.noteOutage(now, outage{recoveredAt.Add(-length), recoveredAt})
	}
}

// catchUpDelay is how long an entry that watches the store waits before it fetches
// items from a newer peer: the store's usual response time and a round trip.
const catchUpDelay = 150 * time.Millisecond

// fetchTimeout bounds one fetch of items: long enough for a compressed megabyte
// over the slowest link, short enough to try several peers within the time in
// which a configuration must take effect.
const fetchTimeout = 700 * time.Millisecond

// fetchWorkers is how many fetches run concurrently, since one peer may be slow.
const fetchWorkers = 2
