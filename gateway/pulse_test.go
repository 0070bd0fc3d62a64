package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/timer"
)

// chatter is a fleet whose entries send each other heartbeats in virtual time.
type chatter struct {
	timer.VirtualClock
	entries []*members
	byPeers map[string]*members
	dead    map[*members]bool
	beats   int
}

// services are what the fleet's entries place.
var services = []string{"engines", "desk"}

func newChatter(size int) *chatter {
	f := &chatter{byPeers: make(map[string]*members), dead: make(map[*members]bool)}
	for i := range size {
		id := fmt.Sprintf("e%03d", i)
		m := &members{
			self:   memberMessage{ID: id, Incarnation: 1, Peers: id + ":1", Callers: id + ":2", State: memberReady, Processor: 0.2},
			byID:   make(map[string]*member),
			byKey:  make(map[uint64]*member),
			seeds:  []string{"e000:1", "e001:1", "e002:1"},
			random: rand.New(rand.NewPCG(7, uint64(i))),
		}
		f.entries = append(f.entries, m)
		f.byPeers[m.self.Peers] = m
		f.AfterFunc(time.Duration(m.random.Int64N(int64(beatInterval))), func() { f.round(m) })
	}
	return f
}

func (f *chatter) now() time.Time { return time.Unix(1000, 0).Add(f.Now()) }

// round has an entry send its heartbeats; each is answered at once.
func (f *chatter) round(m *members) {
	if f.dead[m] {
		return
	}
	m.self.Beats++
	for _, address := range m.roundTargets(f.now(), services) {
		to := f.byPeers[address]
		f.beats++
		if to == nil || f.dead[to] {
			continue
		}
		f.tell(m, to)
		f.tell(to, m)
	}
	m.expire(f.now())
	f.AfterFunc(beatInterval, func() { f.round(m) })
}

// tell has one entry take what another says of itself and of the others.
func (f *chatter) tell(from, to *members) {
	to.heard(f.now(), from.self)
	to.takePulses(f.now(), from.pulses(f.now()))
	if from.digest() != to.digest() {
		for _, known := range from.audible(f.now(), addressSilence) {
			to.told(known.memberMessage)
		}
	}
}

// Pattern: many entries. Each hears of all, the dead are soon named by nobody,
// and the heartbeats of one entry don't grow with their number.
func TestPulsesReachAllEntries(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{30, 84, 200} {
		f := newChatter(size)
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
		f := newChatter(size)
		f.RunUntil(3 * time.Second)
		f.beats = 0
		f.RunUntil(4 * time.Second)
		return float64(f.beats) / float64(size)
	}
	c.Assert(perEntry(300) < 1.1*perEntry(84), qt.IsTrue)
}

// All entries agree on who places, however many there are.
func TestLargeFleetAgreesOnPlacers(t *testing.T) {
	c := qt.New(t)
	f := newChatter(200)
	f.RunUntil(6 * time.Second)
	for at := 6 * time.Second; at < 10*time.Second; at += 100 * time.Millisecond {
		f.RunUntil(at)
		for _, service := range services {
			chosen := ""
			for _, m := range f.entries {
				id := m.self.ID
				if placer := m.placer(f.now(), service); placer != nil {
					id = placer.ID
				}
				if chosen == "" {
					chosen = id
				}
				c.Assert(id, qt.Equals, chosen, qt.Commentf("%s at %v", service, at))
			}
		}
	}
}

// An entry that wakes from a freeze says what it knew before; that does not
// make the dead live.
func TestOldPulsesTellNothing(t *testing.T) {
	c := qt.New(t)
	f := newChatter(40)
	f.RunUntil(5 * time.Second)
	sleeper, gone, m := f.entries[5], f.entries[6], f.entries[7]
	old := sleeper.pulses(f.now())
	f.dead[gone] = true
	f.RunUntil(9 * time.Second)
	c.Assert(m.addresses(f.now()), qt.HasLen, 39)
	m.takePulses(f.now(), old)
	c.Assert(m.addresses(f.now()), qt.HasLen, 39)
}

// Who tells whom it hears is told of the others only: full lists of a large
// fleet in every answer would be most of what entries send while some come and go.
func TestOthersLeavesOutWhatPulsesTell(t *testing.T) {
	c := qt.New(t)
	f := newChatter(40)
	f.RunUntil(5 * time.Second)
	known, asker := f.entries[3], f.entries[4]
	own := &control{members: *known}
	c.Assert(own.others(f.now(), nil), qt.HasLen, 39)
	pulses := asker.pulses(f.now())
	c.Assert(own.others(f.now(), pulses), qt.HasLen, 1) // the one that asks
	for id, m := range asker.byID {
		if id == "e007" || id == "e009" {
			m.heardAt = time.Time{}
		}
	}
	c.Assert(own.others(f.now(), asker.pulses(f.now())), qt.HasLen, 3)
}

// Whatever bytes come, pulses are read as far as they are whole.
func FuzzTakePulses(f *testing.F) {
	f.Add([]byte{1, 2, 3})
	f.Add(make([]byte, 3*pulseBytes+1))
	f.Fuzz(func(t *testing.T, pulses []byte) {
		m := testMembers(memberReady)
		m.heard(time.Unix(100, 0), other("10.0.0.2", 5, memberReady))
		m.takePulses(time.Unix(101, 0), pulses)
		if len(m.byID) != 1 {
			t.Fatalf("entries appeared: %d", len(m.byID))
		}
	})
}
