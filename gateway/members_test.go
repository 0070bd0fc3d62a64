package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func newTestMembers(state memberState) *members {
	return &members{
		self:   memberMessage{ID: "self", Incarnation: 1, PeerAddress: "10.0.0.1:1", CallerAddress: "10.0.0.1:2", State: state},
		byID:   make(map[string]*member),
		byKey:  make(map[uint64]*member),
		random: rand.New(rand.NewPCG(1, 1)),
		seeds:  []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.7:1"},
	}
}

func testMember(id string, incarnation uint64, state memberState) memberMessage {
	return memberMessage{ID: id, Incarnation: incarnation, PeerAddress: id + ":1", CallerAddress: id + ":2", State: state}
}

func TestMembersIgnoreEarlierIncarnations(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	m := newTestMembers(memberReady)
	c.Assert(m.observe(now, testMember("10.0.0.2", 5, memberReady)), qt.IsTrue)
	c.Assert(m.observe(now, testMember("10.0.0.2", 4, memberLeaving)), qt.IsFalse)
	c.Assert(m.byID["10.0.0.2"].State, qt.Equals, memberReady)
	c.Assert(m.observe(now, testMember("10.0.0.2", 6, memberStarting)), qt.IsTrue)
	c.Assert(m.byID["10.0.0.2"].State, qt.Equals, memberStarting)
}

// An older heartbeat that arrives late does not restore an entry that is leaving.
func TestLeavingMemberStaysLeaving(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	m := newTestMembers(memberReady)
	m.observe(now, testMember("10.0.0.2", 5, memberReady))
	m.observe(now, testMember("10.0.0.2", 5, memberLeaving))
	m.observe(now, testMember("10.0.0.2", 5, memberReady))
	c.Assert(m.addresses(now), qt.DeepEquals, []string{"10.0.0.1:2"})
}

func TestDirectoryDropsSilentEntries(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	m := newTestMembers(memberReady)
	m.observe(now, testMember("10.0.0.2", 5, memberReady))
	m.learn(testMember("10.0.0.3", 5, memberReady)) // no message from the entry itself
	c.Assert(m.addresses(now), qt.ContentEquals, []string{"10.0.0.1:2", "10.0.0.2:2"})
	c.Assert(m.addresses(now.Add(m.timeouts.listed())), qt.DeepEquals, []string{"10.0.0.1:2"})
}

// A caller that takes only the first addresses may get any entry, entries with more
// CPU more often.
func TestDirectoryOrdersAddressesByWeight(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	m := newTestMembers(memberReady)
	m.self.CPUCores = 0.2
	for i := range 83 {
		entry := testMember(fmt.Sprintf("e%02d", i), 1, memberReady)
		entry.CPUCores = 0.2
		if i >= 77 {
			entry.CPUCores = 0.8
		}
		m.observe(now, entry)
	}
	const draws, taken = 400, 64
	listed := make(map[string]int)
	for range draws {
		for _, address := range m.addresses(now)[:taken] {
			listed[address]++
		}
	}
	c.Assert(listed, qt.HasLen, 84)
	for i := range 83 {
		n := listed[fmt.Sprintf("e%02d:2", i)]
		if i >= 77 {
			c.Assert(n > draws*95/100, qt.IsTrue, qt.Commentf("large entry %d listed %d times", i, n))
		} else {
			c.Assert(n > draws/2 && n < draws*9/10, qt.IsTrue, qt.Commentf("entry %d listed %d times", i, n))
		}
	}
}

func TestEntriesAgreeOnScheduler(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	views := make([]*members, 6)
	for i := range views {
		views[i] = newTestMembers(memberReady)
		views[i].self = testMember(fmt.Sprint("e", i), 1, memberReady)
	}
	for i, m := range views {
		for j := range views {
			if i != j {
				m.observe(now, testMember(fmt.Sprint("e", j), 1, memberReady))
			}
		}
	}
	scheduler := func(m *members, now time.Time) string {
		if known := m.scheduler(now, "llm"); known != nil {
			return known.ID
		}
		return m.self.ID
	}
	chosen := scheduler(views[0], now)
	for _, m := range views {
		c.Assert(scheduler(m, now), qt.Equals, chosen)
	}
	// When the scheduler fails, the remaining entries agree on another one.
	next := ""
	for _, m := range views {
		if m.self.ID == chosen {
			continue
		}
		delete(m.byID, chosen)
		if next == "" {
			next = scheduler(m, now)
		}
		c.Assert(scheduler(m, now), qt.Equals, next)
	}
	c.Assert(next, qt.Not(qt.Equals), chosen)
}

// Among entries with unequal CPU the small ones do not schedule while a large one is
// ready.
func TestSchedulerHasEnoughCPU(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	m := newTestMembers(memberReady)
	m.self.CPUCores = 0.2
	for i := range 40 {
		small := testMember(fmt.Sprint("small", i), 1, memberReady)
		small.CPUCores = 0.2
		m.observe(now, small)
	}
	for i := range 3 {
		large := testMember(fmt.Sprint("large", i), 1, memberReady)
		large.CPUCores = 0.8 - 0.1*float64(i)
		m.observe(now, large)
	}
	for i := range 20 {
		scheduler := m.scheduler(now, fmt.Sprint("service", i))
		c.Assert(scheduler, qt.IsNotNil)
		c.Assert(scheduler.CPUCores >= 0.6, qt.IsTrue, qt.Commentf("%s", scheduler.ID))
	}
	// Without the large entries all others are candidates.
	for i := range 3 {
		m.byID[fmt.Sprint("large", i)].State = memberLeaving
	}
	c.Assert(m.schedulers(now, []string{"a", "b", "c", "d", "e", "f"}), qt.HasLen, 6)
}

func TestHeartbeatTargetsIncludeUnknownSeeds(t *testing.T) {
	c := qt.New(t)
	m := newTestMembers(memberStarting)
	c.Assert(m.heartbeatTargets(), qt.DeepEquals, []string{"10.0.0.2:1", "10.0.0.7:1"})
	m.observe(time.Unix(1, 0), testMember("10.0.0.2", 1, memberReady))
	c.Assert(m.heartbeatTargets(), qt.DeepEquals, []string{"10.0.0.2:1", "10.0.0.7:1"})
}

// Pattern: entries are stopped and started in turn, or a domain returns. An entry that
// has just started knows nothing of what runs on the servers, so the one that
// schedules goes on until the fresh one has been up for a while.
func TestFreshEntryDoesNotSchedule(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	m := newTestMembers(memberReady)
	m.self.Heartbeats = 500
	other := testMember("10.0.0.2", 5, memberReady)
	other.Heartbeats = 500
	m.observe(now, other)
	service := ""
	for i := 0; service == ""; i++ { // one that the other entry schedules
		if name := fmt.Sprint("service", i); m.scheduler(now, name) != nil {
			service = name
		}
	}
	restarted := testMember("10.0.0.2", 6, memberReady)
	restarted.Heartbeats = settledRounds - 1
	m.observe(now, restarted)
	c.Assert(m.scheduler(now, service), qt.IsNil)
	restarted.Heartbeats = settledRounds
	m.observe(now, restarted)
	c.Assert(m.scheduler(now, service), qt.IsNotNil)

	// If all entries are fresh, any of them schedules.
	m.self.Heartbeats, restarted.Heartbeats, restarted.Incarnation = 4, 1, 7
	m.observe(now, restarted)
	c.Assert(m.scheduler(now, service), qt.IsNotNil)
}
