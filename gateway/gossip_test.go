package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/timer"
)

// fleet simulates entries that send each other heartbeats in virtual time.
type fleet struct {
	timer.VirtualClock
	entries   []*members
	byAddress map[string]*members
	dead      map[*members]bool
	// heartbeats counts the heartbeats sent.
	heartbeats int
	// counterBytes is the length of all counters sent.
	counterBytes int
}

// services are the services that the entries schedule.
var services = []string{"engines", "desk"}

func newFleet(size int) *fleet {
	f := &fleet{byAddress: make(map[string]*members), dead: make(map[*members]bool)}
	for i := range size {
		id := fmt.Sprintf("e%03d", i)
		m := &members{
			self:   memberMessage{ID: id, Incarnation: 1, PeerAddress: id + ":1", CallerAddress: id + ":2", State: memberReady, CPUCores: 0.2},
			byID:   make(map[string]*member),
			byKey:  make(map[uint64]*member),
			seeds:  []string{"e000:1", "e001:1", "e002:1"},
			random: rand.New(rand.NewPCG(7, uint64(i))),
		}
		f.entries = append(f.entries, m)
		f.byAddress[m.self.PeerAddress] = m
		f.AfterFunc(time.Duration(m.random.Int64N(int64(heartbeatInterval))), func() { f.round(m) })
	}
	return f
}

func (f *fleet) now() time.Time { return time.Unix(1000, 0).Add(f.Now()) }

// round has an entry send a round of heartbeats; each gets its response at once.
func (f *fleet) round(m *members) {
	if f.dead[m] {
		return
	}
	m.self.Heartbeats++
	for _, target := range m.roundTargets(f.now(), services) {
		to := f.byAddress[target.address]
		f.heartbeats++
		if to == nil || f.dead[to] {
			continue
		}
		f.deliver(m, to, target.exchange)
		f.deliver(to, m, target.exchange)
	}
	m.expire(f.now())
	f.AfterFunc(heartbeatInterval, func() { f.round(m) })
}

// deliver applies a heartbeat of one entry at another.
func (f *fleet) deliver(from, to *members, exchange bool) {
	to.observe(f.now(), from.self)
	if !exchange && len(from.byID) >= gossipMinEntries && len(to.byID) >= gossipMinEntries {
		return
	}
	counters := from.encodeCounters(f.now())
	f.counterBytes += len(counters)
	to.mergeCounters(f.now(), counters)
	if from.digest() != to.digest() {
		for _, known := range from.live(f.now(), from.timeouts.listed()) {
			to.learn(known.memberMessage)
		}
	}
}

// In a large fleet every entry knows all live entries, no entry lists a dead one for
// long, and the heartbeats per entry do not grow with the size of the fleet.
func TestGossipReachesAllEntries(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{30, 84, 200} {
		f := newFleet(size)
		f.RunUntil(6 * time.Second)
		for at := 6 * time.Second; at < 8*time.Second; at += 100 * time.Millisecond {
			f.RunUntil(at)
			for _, m := range f.entries {
				c.Assert(m.addresses(f.now()), qt.HasLen, size, qt.Commentf("%s of %d at %v", m.self.ID, size, at))
			}
		}
		for i := range size / 3 {
			f.dead[f.entries[3*i]] = true
		}
		f.RunUntil(12 * time.Second)
		for _, m := range f.entries {
			if !f.dead[m] {
				c.Assert(m.addresses(f.now()), qt.HasLen, size-size/3, qt.Commentf("%s of %d", m.self.ID, size))
			}
		}
	}
	perEntry := func(size int) float64 {
		f := newFleet(size)
		f.RunUntil(3 * time.Second)
		f.heartbeats = 0
		f.RunUntil(4 * time.Second)
		return float64(f.heartbeats) / float64(size)
	}
	c.Assert(perEntry(300) < 1.1*perEntry(84), qt.IsTrue)
}

// All entries of a large fleet agree on the scheduler of each service.
func TestLargeFleetAgreesOnSchedulers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(200)
	f.RunUntil(6 * time.Second)
	for at := 6 * time.Second; at < 10*time.Second; at += 100 * time.Millisecond {
		f.RunUntil(at)
		for _, service := range services {
			chosen := ""
			for _, m := range f.entries {
				id := m.self.ID
				if scheduler := m.scheduler(f.now(), service); scheduler != nil {
					id = scheduler.ID
				}
				if chosen == "" {
					chosen = id
				}
				c.Assert(id, qt.Equals, chosen, qt.Commentf("%s at %v", service, at))
			}
		}
	}
}

// An entry that resumes after a freeze gossips stale counters; these do not make
// dead entries live.
func TestStaleCountersAreIgnored(t *testing.T) {
	c := qt.New(t)
	f := newFleet(40)
	f.RunUntil(5 * time.Second)
	frozen, dead, m := f.entries[5], f.entries[6], f.entries[7]
	stale := frozen.encodeCounters(f.now())
	f.dead[dead] = true
	f.RunUntil(9 * time.Second)
	c.Assert(m.addresses(f.now()), qt.HasLen, 39)
	m.mergeCounters(f.now(), stale)
	c.Assert(m.addresses(f.now()), qt.HasLen, 39)
}

// A response leaves out the entries in the sender's counters: with the full list in
// every response, these lists would be most of the traffic of a large fleet while
// entries come and go.
func TestUnlistedMembersOmitsKnownCounters(t *testing.T) {
	c := qt.New(t)
	f := newFleet(40)
	f.RunUntil(5 * time.Second)
	receiver, sender := f.entries[3], f.entries[4]
	own := &control{members: *receiver}
	c.Assert(own.unlistedMembers(f.now(), nil), qt.HasLen, 39)
	counters := sender.encodeCounters(f.now())
	c.Assert(own.unlistedMembers(f.now(), counters), qt.HasLen, 1) // the sender itself
	for id, m := range sender.byID {
		if id == "e007" || id == "e009" {
			m.lastHeard = time.Time{}
		}
	}
	c.Assert(own.unlistedMembers(f.now(), sender.encodeCounters(f.now())), qt.HasLen, 3)
}

// Arbitrary bytes are decoded as far as they hold complete counters, and add no
// entries.
func FuzzMergeCounters(f *testing.F) {
	f.Add([]byte{1, 2, 3})
	f.Add(make([]byte, 3*counterBytes+1))
	f.Fuzz(func(t *testing.T, counters []byte) {
		m := newTestMembers(memberReady)
		m.observe(time.Unix(100, 0), testMember("10.0.0.2", 5, memberReady))
		m.mergeCounters(time.Unix(101, 0), counters)
		if len(m.byID) != 1 {
			t.Fatalf("entries appeared: %d", len(m.byID))
		}
	})
}

// Counters are exchanged with few entries in each round. Liveness must still reach all
// others in time at the planned size: none is missing from a directory, and one that
// died is listed nowhere within two seconds of the time allowed for a silent one.
func TestGossipWithFewPartnersKeepsAllListed(t *testing.T) {
	c := qt.New(t)
	const size = 560
	f := newFleet(size)
	f.RunUntil(6 * time.Second)
	f.counterBytes = 0
	for at := 6 * time.Second; at < 8*time.Second; at += 200 * time.Millisecond {
		f.RunUntil(at)
		for _, m := range f.entries {
			c.Assert(m.live(f.now(), m.timeouts.listed()), qt.HasLen, size-1, qt.Commentf("%s at %v", m.self.ID, at))
		}
	}
	list := float64(counterBytes * (size - 1))
	perRound := float64(f.counterBytes) / size / (2 / heartbeatInterval.Seconds())
	c.Assert(perRound <= (2*gossipPartners+0.1)*list, qt.IsTrue, qt.Commentf("%.1f lists per entry and round", perRound/list))

	dead := f.entries[size/2]
	f.dead[dead] = true
	f.RunUntil(f.Now() + usualListed + 2*time.Second)
	for _, m := range f.entries {
		if m != dead {
			c.Assert(slices.ContainsFunc(m.live(f.now(), m.timeouts.listed()), func(known *member) bool { return known.ID == dead.self.ID }), qt.IsFalse, qt.Commentf("at %s", m.self.ID))
		}
	}
}

// A heartbeat without counters asks for none, and not for members either: the whole
// list, in each response while entries come and go, would be most of the traffic.
func TestLightHeartbeatGetsShortResponse(t *testing.T) {
	c := qt.New(t)
	f := newFleet(40)
	f.RunUntil(5 * time.Second)
	timers := &timer.Service{}
	own := newControl(NewSettings("e100", "a", "r"), 1, nil, hclog.NewNullLogger(), timers)
	own.members.byID, own.members.byKey = f.entries[3].byID, f.entries[3].byKey
	stop := make(chan struct{})
	defer close(stop)
	go own.run(stop)
	reply, err := own.handleHeartbeat(keptHeartbeat{heartbeatMessage: heartbeatMessage{From: f.entries[4].self, Digest: 1, Light: true}})
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Members, qt.HasLen, 0)
	c.Assert(reply.Counters, qt.HasLen, 0)
	reply, err = own.handleHeartbeat(keptHeartbeat{heartbeatMessage: heartbeatMessage{From: f.entries[4].self, Digest: 1}})
	c.Assert(err, qt.IsNil)
	c.Assert(len(reply.Members) > 0, qt.IsTrue)
}
