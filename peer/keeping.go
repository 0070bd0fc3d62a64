package peer

import (
	"slices"
	"time"

	"greengagedock.example/backend"
)

// keeping is this entry's part as the keeper of backend servers.
type keeping struct {
	ledger *backend.Allocator
	kept   map[string]*kept
	warm   map[string]warmMark // told by other keepers
	told   map[string]warmMark // told to other entries
	early  map[backend.Owner]*hold
	fresh  bool // a server was taken up since peers were asked for their claims
}

// kept is how this entry came to keep a server.
type kept struct {
	address string
	since   time.Time
	sure    time.Time // when it last had full trust
	listed  bool
}

func newKeeping(self string) keeping {
	return keeping{
		ledger: backend.NewAllocator(self),
		kept:   make(map[string]*kept),
		warm:   make(map[string]warmMark),
		told:   make(map[string]warmMark),
		early:  make(map[backend.Owner]*hold),
	}
}

// take starts or goes on to keep a server. One that comes from another keeper
// gets no work until the entries had time to declare what they hold on it.
func (k *keeping) take(now time.Time, server backend.Server, listed bool) {
	before, known := k.kept[server.ID()]
	if !known || (listed && !before.listed) {
		before = &kept{since: now}
	}
	before.address = server.Address()
	before.listed = listed
	k.kept[server.ID()] = before
	k.ledger.AddServer(now, server)
	if known {
		return
	}
	k.fresh = true
	for owner, m := range k.early {
		k.adopt(now, owner, m, server.ID())
	}
	if mark, ok := k.warm[server.ID()]; ok {
		k.ledger.InheritWarmth(server.ID(), mark.Incarnation, mark.Step)
	}
}

// drop stops keeping every server that is not in the set.
func (k *keeping) drop(now time.Time, keep map[string]bool) []backend.Decision {
	var out []backend.Decision
	for server := range k.kept {
		if !keep[server] {
			delete(k.kept, server)
			delete(k.told, server)
			out = append(out, k.ledger.RemoveServer(now, server)...)
		}
	}
	return out
}

// loads returns what the heartbeats say is free.
func (k *keeping) loads(now time.Time) []workLoad {
	var out []workLoad
	for _, s := range k.ledger.Summaries(now) {
		load := workLoad{
			Service:      s.Workload().Service(),
			Model:        s.Workload().Model(),
			FreeRequests: s.Free().Requests(),
			FreeTokens:   s.Free().Tokens(),
			Largest:      s.LargestFree().Tokens(),
			Queued:       s.QueuedTokens(),
		}
		for _, class := range classes {
			load.Waits = append(load.Waits, s.ExpectedWait(class).Milliseconds())
		}
		out = append(out, load)
	}
	return out
}

// classes are the classes of prompts, shortest first, as waits stand in a workLoad.
var classes = []backend.Class{backend.ClassShort, backend.ClassMedium, backend.ClassLong}

// wait returns the expected wait of a class, zero if the load names none.
func (w *workLoad) wait(class backend.Class) time.Duration {
	i := slices.Index(classes, class)
	if i < 0 || i >= len(w.Waits) {
		return 0
	}
	return time.Duration(w.Waits[i]) * time.Millisecond
}

// warmEvery is the number of heartbeats of which one tells all warmth; the
// others tell what has changed.
const warmEvery = 16

// warmMarks returns the warmth of the kept servers, for whoever keeps them
// next, as far as the heartbeat of that number is to tell it.
func (k *keeping) warmMarks(now time.Time, seq uint64) []warmMark {
	var out []warmMark
	for _, s := range k.ledger.Servers(now) {
		mark := warmMark{Server: s.Server(), Incarnation: s.Incarnation(), Step: s.WarmthStep()}
		if mark.Incarnation == "" || (seq%warmEvery != 0 && k.told[mark.Server] == mark) {
			continue
		}
		k.told[mark.Server] = mark
		out = append(out, mark)
	}
	return out
}

// learnWarmth remembers what another keeper says of its servers' warmth.
func (k *keeping) learnWarmth(marks []warmMark) {
	for _, mark := range marks {
		k.warm[mark.Server] = mark
	}
}

func (k *keeping) ask(now time.Time, want backend.SlotRequest) []backend.Decision {
	return k.ledger.Request(now, want)
}

func (k *keeping) withdraw(now time.Time, owner backend.Owner, id string) []backend.Decision {
	return k.ledger.Withdraw(now, owner, id)
}

func (k *keeping) release(now time.Time, owner backend.Owner, m *release) []backend.Decision {
	if early := k.early[owner]; early != nil {
		early.remove(m.ID)
	}
	return k.ledger.Release(now, owner, m.Server, m.ID, backend.Outcome(m.Outcome))
}

func (k *keeping) forget(now time.Time, owner backend.Owner) []backend.Decision {
	delete(k.early, owner)
	return k.ledger.RemoveOwner(now, owner)
}

func (k *keeping) report(now time.Time, report backend.Report) []backend.Decision {
	return k.ledger.Report(now, report)
}

func (k *keeping) unreachable(now time.Time, server string) []backend.Decision {
	return k.ledger.PollFailed(now, server)
}

func (k *keeping) tick(now time.Time) []backend.Decision {
	return k.ledger.Tick(now)
}

// hold takes in what an owner declares to hold. Slots of the owner that it
// neither holds nor waits for were lost on the way and are released.
func (k *keeping) hold(now time.Time, owner backend.Owner, m *hold) []backend.Decision {
	claimed := make(map[string]bool, len(m.Slots)+len(m.Waiting))
	for _, id := range m.Waiting {
		claimed[id] = true
	}
	for _, s := range m.Slots {
		claimed[s.ID] = true
	}
	k.early[owner] = m
	k.adopt(now, owner, m, "")
	var out []backend.Decision
	for _, slot := range k.ledger.Slots(owner) {
		if !claimed[slot.ID()] {
			out = append(out, k.ledger.Release(now, owner, slot.Server(), slot.ID(), backend.OutcomeFailed)...)
		}
	}
	return out
}

// adopt enters the declared slots on one server, or on all if it is empty.
// What is declared for a server before this entry has learned that it keeps
// it waits in early.
func (k *keeping) adopt(now time.Time, owner backend.Owner, m *hold, server string) {
	for _, s := range m.Slots {
		if server == "" || s.Server == server {
			k.ledger.Adopt(now, s.slot(now, owner))
		}
	}
}
