package peer

import (
	"slices"
	"time"

	"greengagedock.example/backend"
)

// keeperState is the state of this entry as a keeper of backend servers.
type keeperState struct {
	allocator     *backend.Allocator
	kept          map[string]*keptServer
	learnedWarmth map[string]serverWarmth // by server, received from other keepers
	sentWarmth    map[string]serverWarmth // by server, last sent to other entries
	declarations  map[backend.Owner]*slotDeclaration
}

// keptServer is a server that this entry keeps.
type keptServer struct {
	address      string
	since        time.Time
	fullLeaseAt  time.Time // when this entry last held the full lease of the server
	keeperByList bool      // keeper of the server by the list, not a stand-in for a silent one
}

func newKeeperState(self string) keeperState {
	return keeperState{
		allocator:     backend.NewAllocator(self),
		kept:          make(map[string]*keptServer),
		learnedWarmth: make(map[string]serverWarmth),
		sentWarmth:    make(map[string]serverWarmth),
		declarations:  make(map[backend.Owner]*slotDeclaration),
	}
}

// keep starts or continues to keep a server. A server that another entry may
// have kept before gets no work until its slots' owners had time to declare
// them.
func (k *keeperState) keep(now time.Time, server backend.Server, byList bool) {
	kept, known := k.kept[server.ID()]
	if !known || (byList && !kept.keeperByList) {
		kept = &keptServer{since: now}
	}
	kept.address = server.Address()
	kept.keeperByList = byList
	k.kept[server.ID()] = kept
	k.allocator.AddServer(now, server)
	if known {
		return
	}
	for owner, m := range k.declarations {
		k.adopt(now, owner, m, server.ID())
	}
	if warmth, ok := k.learnedWarmth[server.ID()]; ok {
		k.allocator.InheritWarmth(server.ID(), warmth.Incarnation, warmth.WarmthStep)
	}
}

// drop stops keeping every server that is not in the set.
func (k *keeperState) drop(now time.Time, keep map[string]bool) []backend.Decision {
	var out []backend.Decision
	for server := range k.kept {
		if !keep[server] {
			delete(k.kept, server)
			delete(k.sentWarmth, server)
			out = append(out, k.allocator.RemoveServer(now, server)...)
		}
	}
	return out
}

// freeCapacities returns the free capacity per workload that heartbeats report.
func (k *keeperState) freeCapacities(now time.Time) []freeCapacity {
	var out []freeCapacity
	for _, s := range k.allocator.Summaries(now) {
		capacity := freeCapacity{
			Service:           s.Workload().Service(),
			Model:             s.Workload().Model(),
			FreeRequests:      s.Free().Requests(),
			FreeTokens:        s.Free().Tokens(),
			LargestFreeTokens: s.LargestFree().Tokens(),
			QueuedTokens:      s.QueuedTokens(),
		}
		for _, class := range classes {
			capacity.ExpectedWaitsMs = append(capacity.ExpectedWaitsMs, s.ExpectedWait(class).Milliseconds())
		}
		out = append(out, capacity)
	}
	return out
}

// classes are the size classes of prompts in the order of
// freeCapacity.ExpectedWaitsMs.
var classes = []backend.Class{backend.ClassShort, backend.ClassMedium, backend.ClassLong}

// expectedWait returns the expected queueing time of a size class, zero if none
// is reported.
func (c *freeCapacity) expectedWait(class backend.Class) time.Duration {
	i := slices.Index(classes, class)
	if i < 0 || i >= len(c.ExpectedWaitsMs) {
		return 0
	}
	return time.Duration(c.ExpectedWaitsMs[i]) * time.Millisecond
}

// fullWarmthEvery is the number of heartbeats of which one reports the warmth
// of all kept servers; the others report changes only.
const fullWarmthEvery = 16

// warmthUpdates returns the warmth of kept servers that the heartbeat with the
// sequence number reports, so that the next keeper need not start them cold.
func (k *keeperState) warmthUpdates(now time.Time, seq uint64) []serverWarmth {
	var out []serverWarmth
	for _, s := range k.allocator.Servers(now) {
		warmth := serverWarmth{Server: s.Server(), Incarnation: s.Incarnation(), WarmthStep: s.WarmthStep()}
		if warmth.Incarnation == "" || (seq%fullWarmthEvery != 0 && k.sentWarmth[warmth.Server] == warmth) {
			continue
		}
		k.sentWarmth[warmth.Server] = warmth
		out = append(out, warmth)
	}
	return out
}

// learnWarmth stores the warmth that another keeper reports.
func (k *keeperState) learnWarmth(updates []serverWarmth) {
	for _, warmth := range updates {
		k.learnedWarmth[warmth.Server] = warmth
	}
}

func (k *keeperState) requestSlot(now time.Time, request backend.SlotRequest) []backend.Decision {
	return k.allocator.Request(now, request)
}

func (k *keeperState) withdraw(now time.Time, owner backend.Owner, id string) []backend.Decision {
	return k.allocator.Withdraw(now, owner, id)
}

func (k *keeperState) release(now time.Time, owner backend.Owner, m *release) []backend.Decision {
	if declaration := k.declarations[owner]; declaration != nil {
		declaration.removeSlot(m.ID)
	}
	if wait := time.Duration(m.RefusesForMs) * time.Millisecond; wait > 0 {
		k.allocator.Refused(now, owner, m.Server, m.ID, wait)
	}
	return k.allocator.Release(now, owner, m.Server, m.ID, backend.Outcome(m.Outcome))
}

func (k *keeperState) forgetOwner(now time.Time, owner backend.Owner) []backend.Decision {
	delete(k.declarations, owner)
	return k.allocator.RemoveOwner(now, owner)
}

func (k *keeperState) report(now time.Time, report backend.Report) []backend.Decision {
	return k.allocator.Report(now, report)
}

func (k *keeperState) unreachable(now time.Time, server string) []backend.Decision {
	return k.allocator.PollFailed(now, server)
}

func (k *keeperState) tick(now time.Time) []backend.Decision {
	return k.allocator.Tick(now)
}

// receiveDeclaration adopts the slots that an owner declares, and releases the
// owner's slots that it neither holds nor waits for: their grants were lost on
// the way.
func (k *keeperState) receiveDeclaration(now time.Time, owner backend.Owner, m *slotDeclaration) []backend.Decision {
	declared := make(map[string]bool, len(m.Slots)+len(m.Pending))
	for _, id := range m.Pending {
		declared[id] = true
	}
	for _, s := range m.Slots {
		declared[s.ID] = true
	}
	k.declarations[owner] = m
	k.adopt(now, owner, m, "")
	var out []backend.Decision
	for _, slot := range k.allocator.Slots(owner) {
		if !declared[slot.ID()] {
			out = append(out, k.allocator.Release(now, owner, slot.Server(), slot.ID(), backend.OutcomeFailed)...)
		}
	}
	return out
}

// adopt enters declared slots on one server, or on all kept servers if server
// is empty. The declarations are retained for servers that this entry has yet
// to learn that it keeps.
func (k *keeperState) adopt(now time.Time, owner backend.Owner, m *slotDeclaration, server string) {
	for _, s := range m.Slots {
		if server == "" || s.Server == server {
			k.allocator.Adopt(now, s.slot(now, owner))
		}
	}
}
