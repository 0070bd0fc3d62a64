package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"greengagedock.example/dispatch"
	"greengagedock.example/mesh"
)

// errCall is the error of a call that an entry does not know or can't read.
var errCall = eris.New("gateway: call refused")

// handle carries out a call of another entry.
func (c *control) handle(kind string, body []byte) (any, error) {
	switch kind {
	case callBeat:
		return answerCall(body, c.handleBeat)
	case callItems:
		return answerCall(body, c.handleItems)
	case callPlace:
		return answerCall(body, c.handlePlace)
	case callEvents:
		return answerCall(body, c.handleEvents)
	default:
		return nil, eris.Wrapf(errCall, "unknown kind %q", kind)
	}
}

// answerCall decodes a call and has it answered.
func answerCall[Call, Reply any](body []byte, answer func(Call) (Reply, error)) (any, error) {
	var call Call
	if err := msgpack.Unmarshal(body, &call); err != nil {
		return nil, eris.Wrap(errCall, err.Error())
	}
	return answer(call)
}

func (c *control) handleBeat(beat beatMessage) (beatMessage, error) {
	var reply beatMessage
	ok := c.do(func(now time.Time) {
		c.takeBeat(now, beat)
		owner := dispatch.NewOwner(beat.From.ID, beat.From.Incarnation)
		if len(beat.Places) > 0 {
			holds := make([]dispatch.RunningRequest, 0, len(beat.Holds))
			for _, h := range beat.Holds {
				holds = append(holds, h.decode())
			}
			c.book.Reconcile(now, owner, beat.Places, holds)
		}
		reply = c.ownBeat(now, "")
		if len(beat.Pulses) > 0 {
			reply.Pulses = c.members.pulses(now)
		}
		// In a large fleet those who place hear from all, and leave it to the
		// other heartbeats to tell who is known.
		large := len(c.members.byID) >= pulseEntries
		if beat.Known != reply.Known && !(large && len(beat.Places) > 0) {
			reply.Others = c.others(now, beat.Pulses)
		}
	})
	if !ok {
		return reply, eris.Wrap(errCall, "stopping")
	}
	return reply, nil
}

// takeBeat takes what a heartbeat, or the answer to one, says.
func (c *control) takeBeat(now time.Time, beat beatMessage) {
	if c.members.heard(now, beat.From) {
		c.log.Info("entry heard", "entry", beat.From.ID, "incarnation", beat.From.Incarnation, "state", string(beat.From.State), "revision", beat.Revision)
		c.book.ReleaseEntry(now, beat.From.ID, beat.From.Incarnation)
	}
	if known := c.members.byID[beat.From.ID]; known != nil {
		known.storeAt = time.Time{}
		if beat.StoreAge >= 0 {
			known.storeAt = now.Add(-beat.StoreAge)
		}
	}
	c.members.takePulses(now, beat.Pulses)
	for _, other := range beat.Others {
		if c.members.told(other) {
			c.log.Info("entry learned", "entry", other.ID, "incarnation", other.Incarnation, "from", beat.From.ID)
			c.book.ReleaseEntry(now, other.ID, other.Incarnation)
		}
	}
	if beat.Revision > c.mirror.revision {
		select {
		case c.behind <- beat.From.Peers:
		default: // one entry that is ahead is enough
		}
	}
}

// ownBeat returns this entry's heartbeat for the entry at the address.
func (c *control) ownBeat(now time.Time, to string) beatMessage {
	beat := beatMessage{From: c.members.self, Revision: c.mirror.revision, StoreAge: c.storeAge(now), Known: c.members.digest()}
	if to == "" {
		return beat
	}
	for _, service := range c.mirror.services() {
		if placer := c.members.placer(now, service); placer != nil && placer.Peers == to {
			beat.Places = append(beat.Places, service)
		}
	}
	if len(beat.Places) == 0 {
		// Those who place hear everyone directly, and are told by others.
		beat.Pulses = c.members.pulses(now)
		return beat
	}
	for _, hold := range c.book.Running(c.owner) {
		if slices.Contains(beat.Places, hold.Service()) {
			beat.Holds = append(beat.Holds, encodeHold(hold))
		}
	}
	return beat
}

// storeAge returns how long ago the store last answered, negative if never.
func (c *control) storeAge(now time.Time) time.Duration {
	if c.answered.IsZero() {
		return -1
	}
	return now.Sub(c.answered)
}

// others returns the entries that this one hears, but those that the pulses tell of.
func (c *control) others(now time.Time, pulses []byte) []memberMessage {
	told := make(map[uint64]bool)
	for p := range decodePulses(pulses) {
		told[p.key] = true
	}
	var out []memberMessage
	for _, known := range c.members.audible(now, addressSilence) {
		if !told[known.key] {
			out = append(out, known.memberMessage)
		}
	}
	return out
}

func (c *control) handleItems(call itemsMessage) (itemsReply, error) {
	var reply itemsReply
	ok := c.do(func(now time.Time) {
		if c.mirror.revision <= call.Revision {
			return
		}
		reply.Regained = -1
		if !c.mirror.regained.IsZero() {
			reply.Regained = now.Sub(c.mirror.regained)
		}
		reply.Revision = c.mirror.revision
		var items []Item
		items, reply.Whole = c.mirror.since(call.Revision)
		for _, item := range items {
			reply.Items = append(reply.Items, encodeItem(item, c.mirror.pack(item)))
		}
	})
	if !ok {
		return reply, eris.Wrap(errCall, "stopping")
	}
	return reply, nil
}

func (c *control) handlePlace(call placeMessage) (placeReply, error) {
	owner, want := call.decode(c.timers.Now())
	decision, err := c.place(context.Background(), owner, want)
	if err != nil {
		return placeReply{}, eris.Wrap(errCall, err.Error())
	}
	return encodeDecision(decision), nil
}

func (c *control) handleEvents(call eventsMessage) (emptyReply, error) {
	c.do(func(now time.Time) {
		for _, id := range call.Started {
			c.book.Started(now, id)
		}
		for _, end := range call.Ended {
			c.book.Ended(now, end.ID, end.Outcome)
		}
		for _, fault := range call.Faults {
			c.book.ReportFault(now, fault.Service, fault.Address, fault.Outcome)
		}
		for _, id := range call.Withdrawn {
			c.book.Withdraw(id)
		}
		for _, decision := range c.book.Tick(now) {
			c.decided(decision)
		}
	})
	return emptyReply{}, nil
}

// beats sends heartbeats until ctx ends.
func (c *control) beats(ctx context.Context, client *mesh.Client) {
	tick := c.timers.Every(beatInterval)
	defer tick.Stop()
	busy := make(map[string]chan struct{})
	for round := 0; ; round++ {
		for _, address := range c.beatTargets() {
			if ended, ok := busy[address]; ok {
				select {
				case <-ended:
				default:
					continue // the last one is still under way
				}
			}
			ended := make(chan struct{})
			busy[address] = ended
			go func() {
				defer close(ended)
				c.beat(ctx, client, address)
			}()
		}
		if round < firstRounds {
			sleep(ctx, firstInterval)
			continue
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

// beatTargets begins a round of heartbeats and returns the addresses that get one.
func (c *control) beatTargets() []string {
	var out []string
	c.do(func(now time.Time) {
		c.members.self.Beats++
		out = c.members.roundTargets(now, c.mirror.services())
	})
	return out
}

// beat sends one heartbeat.
func (c *control) beat(ctx context.Context, client *mesh.Client, address string) {
	var beat, reply beatMessage
	if !c.do(func(now time.Time) { beat = c.ownBeat(now, address) }) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	if err := client.Call(ctx, address, callBeat, beat, &reply); err != nil {
		if ctx.Err() != nil {
			client.Drop(address) // a connection that went silent is not used again
		}
		return
	}
	c.do(func(now time.Time) { c.takeBeat(now, reply) })
}

// catchUp fetches items from entries that are ahead until ctx ends.
func (c *control) catchUp(ctx context.Context, client *mesh.Client) {
	for {
		select {
		case address := <-c.behind:
			c.fetch(ctx, client, address)
		case <-ctx.Done():
			return
		}
	}
}

func (c *control) fetch(ctx context.Context, client *mesh.Client, address string) {
	if c.watching.Load() {
		// What the store itself is about to tell need not be fetched.
		sleep(ctx, catchUpPause)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply itemsReply
	if err := client.Call(ctx, address, callItems, itemsMessage{Revision: c.View().Revision()}, &reply); err != nil {
		c.log.Warn("items not fetched", "entry", address, "error", err)
		return
	}
	items := make([]Item, 0, len(reply.Items))
	for _, item := range reply.Items {
		decoded, err := item.decode()
		if err != nil {
			c.log.Warn("items not fetched", "entry", address, "key", item.Key, "error", err)
			return
		}
		items = append(items, decoded)
	}
	c.do(func(now time.Time) {
		if reply.Revision <= c.mirror.revision {
			return
		}
		if at := now.Add(-reply.Regained); reply.Regained >= 0 && at.After(c.mirror.regained) {
			c.mirror.regained = at
		}
		if reply.Whole {
			c.mirror.replace(now, items, reply.Revision)
		} else {
			c.mirror.change(now, items, reply.Revision)
		}
		c.log.Info("items fetched", "entry", address, "revision", reply.Revision, "items", len(items), "whole", reply.Whole)
		c.published(now)
	})
}

// catchUpPause is how long an entry that watches the store leaves one that is
// ahead unasked: the store's usual answer and a round trip.
const catchUpPause = 150 * time.Millisecond

// fetchTimeout bounds the fetching of items: a packed megabyte over the slowest
// link, and short enough to ask several peers within a configuration's bound.
const fetchTimeout = 700 * time.Millisecond

// fetchers is how many peers are asked for items at once: one may be slow.
const fetchers = 2
