package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func testMembers(state memberState) *members {
	return &members{
		self:   memberMessage{ID: "self", Incarnation: 1, Peers: "10.0.0.1:1", Callers: "10.0.0.1:2", State: state},
		byID:   make(map[string]*member),
		byKey:  make(map[uint64]*member),
		random: rand.New(rand.NewPCG(1, 1)),
		seeds:  []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.7:1"},
	}
}

func other(id string, incarnation uint64, state memberState) memberMessage {
	return memberMessage{ID: id, Incarnation: incarnation, Peers: id + ":1", Callers: id + ":2", State: state}
}

func TestMembersIgnoreEarlierIncarnations(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	m := testMembers(memberReady)
	c.Assert(m.heard(now, other("10.0.0.2", 5, memberReady)), qt.IsTrue)
	c.Assert(m.heard(now, other("10.0.0.2", 4, memberLeaving)), qt.IsFalse)
	c.Assert(m.byID["10.0.0.2"].State, qt.Equals, memberReady)
	c.Assert(m.heard(now, other("10.0.0.2", 6, memberStarting)), qt.IsTrue)
	c.Assert(m.byID["10.0.0.2"].State, qt.Equals, memberStarting)
}

// A heartbeat that was overtaken does not bring an entry back that said it leaves.
func TestMembersLeaveOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	m := testMembers(memberReady)
	m.heard(now, other("10.0.0.2", 5, memberReady))
	m.heard(now, other("10.0.0.2", 5, memberLeaving))
	m.heard(now, other("10.0.0.2", 5, memberReady))
	c.Assert(m.addresses(now), qt.DeepEquals, []string{"10.0.0.1:2"})
}

func TestDirectoryDropsSilentEntries(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	m := testMembers(memberReady)
	m.heard(now, other("10.0.0.2", 5, memberReady))
	m.told(other("10.0.0.3", 5, memberReady)) // never heard itself
	c.Assert(m.addresses(now), qt.ContentEquals, []string{"10.0.0.1:2", "10.0.0.2:2"})
	c.Assert(m.addresses(now.Add(addressSilence)), qt.DeepEquals, []string{"10.0.0.1:2"})
}

// A caller that takes a part of the addresses gets any of them, and those with
// much of a processor more often.
func TestDirectoryDrawsTheOrderOfAddresses(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	m := testMembers(memberReady)
	m.self.Processor = 0.2
	for i := range 83 {
		entry := other(fmt.Sprintf("e%02d", i), 1, memberReady)
		entry.Processor = 0.2
		if i >= 77 {
			entry.Processor = 0.8
		}
		m.heard(now, entry)
	}
	const draws, taken = 400, 64
	named := make(map[string]int)
	for range draws {
		for _, address := range m.addresses(now)[:taken] {
			named[address]++
		}
	}
	c.Assert(named, qt.HasLen, 84)
	for i := range 83 {
		n := named[fmt.Sprintf("e%02d:2", i)]
		if i >= 77 {
			c.Assert(n > draws*95/100, qt.IsTrue, qt.Commentf("large entry %d named %d times", i, n))
		} else {
			c.Assert(n > draws/2 && n < draws*9/10, qt.IsTrue, qt.Commentf("entry %d named %d times", i, n))
		}
	}
}

func TestPlacerIsOneOfTheReadyEntries(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	views := make([]*members, 6)
	for i := range views {
		views[i] = testMembers(memberReady)
		views[i].self = other(fmt.Sprint("e", i), 1, memberReady)
	}
	for i, m := range views {
		for j := range views {
			if i != j {
				m.heard(now, other(fmt.Sprint("e", j), 1, memberReady))
			}
		}
	}
	placer := func(m *members, now time.Time) string {
		if known := m.placer(now, "llm"); known != nil {
			return known.ID
		}
		return m.self.ID
	}
	chosen := placer(views[0], now)
	for _, m := range views {
		c.Assert(placer(m, now), qt.Equals, chosen)
	}
	// When it falls silent, all that hear each other agree on another.
	next := ""
	for _, m := range views {
		if m.self.ID == chosen {
			continue
		}
		delete(m.byID, chosen)
		if next == "" {
			next = placer(m, now)
		}
		c.Assert(placer(m, now), qt.Equals, next)
	}
	c.Assert(next, qt.Not(qt.Equals), chosen)
}

// Among machines of uneven size the small ones place nothing, as long as a
// large one is there.
func TestPlacerHasALargeProcessor(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	m := testMembers(memberReady)
	m.self.Processor = 0.2
	for i := range 40 {
		small := other(fmt.Sprint("small", i), 1, memberReady)
		small.Processor = 0.2
		m.heard(now, small)
	}
	for i := range 3 {
		large := other(fmt.Sprint("large", i), 1, memberReady)
		large.Processor = 0.8 - 0.1*float64(i)
		m.heard(now, large)
	}
	for i := range 20 {
		placer := m.placer(now, fmt.Sprint("service", i))
		c.Assert(placer, qt.IsNotNil)
		c.Assert(placer.Processor >= 0.6, qt.IsTrue, qt.Commentf("%s", placer.ID))
	}
	// Without the large ones all others count.
	for i := range 3 {
		m.byID[fmt.Sprint("large", i)].State = memberLeaving
	}
	c.Assert(m.placers(now, []string{"a", "b", "c", "d", "e", "f"}), qt.HasLen, 6)
}

func TestSeedsAreAskedUntilTheirEntriesAreKnown(t *testing.T) {
	c := qt.New(t)
	m := testMembers(memberStarting)
	c.Assert(m.targets(), qt.DeepEquals, []string{"10.0.0.2:1", "10.0.0.7:1"})
	m.heard(time.Unix(1, 0), other("10.0.0.2", 1, memberReady))
	c.Assert(m.targets(), qt.DeepEquals, []string{"10.0.0.2:1", "10.0.0.7:1"})
}
