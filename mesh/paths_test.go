package mesh

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"greengagedock.example/timer"
	"greengagedock.example/upstream"
)

var errTestCut = eris.New("cut")

// testWays are the ways to servers: direct ones, which can be cut, and that through another
// entry, which reaches the servers that are up.
type testWays struct {
	mu     sync.Mutex
	cut    map[string]bool // by address
	down   map[string]bool
	direct int
	relays []string
	refuse string // a relay that opens no tunnels
	// blind holds the relays that reach no server, as entries that are cut off do.
	blind map[string]bool
	// refused is the number of times that it was asked.
	refused int
	servers []string
}

// Dial implements upstream.Network.
func (w *testWays) Dial(_ context.Context, address string) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.direct++
	if w.cut[address] || w.down[address] {
		return nil, errTestCut
	}
	return &net.TCPConn{}, nil
}

// Doubt implements upstream.Network.
func (w *testWays) Doubt(string) {}

// Lost implements upstream.Network.
func (w *testWays) Lost(string) bool { return false }

// Servers implements Ways.
func (w *testWays) Servers() []string { return w.servers }

// Relays implements Ways.
func (w *testWays) Relays() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.relays)
}

// Changed implements Ways.
func (w *testWays) Changed(bool) {}

// Open implements Ways.
func (w *testWays) Open(_ context.Context, relay, address string) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if relay == w.refuse {
		w.refused++
		return nil, eris.Wrap(ErrUnreachable, relay)
	}
	if w.down[address] || w.blind[relay] {
		return nil, eris.Wrap(ErrServerUnreachable, address)
	}
	return &net.TCPConn{}, nil
}

// set changes the state of servers.
func set(w *testWays, state map[string]bool, value bool, addresses ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, address := range addresses {
		state[address] = value
	}
}

func newTestPaths(servers int) (*Paths, *testWays, []string) {
	w := &testWays{cut: make(map[string]bool), down: make(map[string]bool), relays: []string{"e2"}}
	for i := range servers {
		w.servers = append(w.servers, fmt.Sprint("s", i))
	}
	return NewPaths(w, w, &timer.Service{}, hclog.NewNullLogger()), w, w.servers
}

// dial dials a server and reports how it was reached.
func dial(p *Paths, address string) (relay string, err error) {
	conn, err := p.Dial(context.Background(), address)
	if relayed, ok := conn.(upstream.Relayed); ok {
		return relayed.Relay(), err
	}
	return "", err
}

// eventually waits until a condition holds.
func eventually(c *qt.C, what string, holds func() bool) {
	for deadline := time.Now().Add(5 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf(what))
	}
}

// awaitChecks waits until no check runs.
func awaitChecks(c *qt.C, p *Paths) {
	eventually(c, "checks ended", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.checks == 0
	})
}

// Guards against RECOVER: an entry that loses the way to all servers sends no request through
// another entry, or goes on doing so when the way is back.
func TestLostWaysLeadThroughOtherEntries(t *testing.T) {
	c := qt.New(t)
	p, w, servers := newTestPaths(5)
	set(w, w.cut, true, servers...)
	for _, address := range servers[:2] {
		relay, err := dial(p, address)
		if relay == "" { // else the checks that the first dial began have ended already
			c.Assert(err, qt.ErrorIs, errTestCut)
		}
	}
	eventually(c, "cut off", p.CutOff)
	for _, address := range servers {
		relay, err := dial(p, address)
		c.Assert(err, qt.IsNil)
		c.Assert(relay, qt.Equals, "e2")
	}
	ofUse := p.IdleOfUse()
	c.Assert(ofUse(servers[4], ""), qt.IsFalse)
	c.Assert(ofUse(servers[4], "e2"), qt.IsTrue)
	c.Assert(ofUse(servers[4], "gone"), qt.IsFalse)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Probe(ctx)
	time.Sleep(2 * probeInterval)
	c.Assert(p.CutOff(), qt.IsTrue)
	set(w, w.cut, false, servers...)
	eventually(c, "way back", func() bool { return !p.CutOff() })
	eventually(c, "all ways back", func() bool {
		for _, address := range servers {
			if relay, err := dial(p, address); err != nil || relay != "" {
				return false
			}
		}
		return true
	})
}

// Servers that no entry reaches are down: the ways to the others are not lost.
func TestServersThatAreDownAreNoLostWays(t *testing.T) {
	c := qt.New(t)
	p, w, servers := newTestPaths(5)
	set(w, w.down, true, servers[:4]...)
	for _, address := range servers[:4] {
		_, err := dial(p, address)
		c.Assert(err, qt.ErrorIs, errTestCut)
	}
	awaitChecks(c, p)
	c.Assert(p.CutOff(), qt.IsFalse)
	relay, err := dial(p, servers[4])
	c.Assert(err, qt.IsNil)
	c.Assert(relay, qt.Equals, "")
}

// A way to a single server is lost: only that one is reached through another entry.
func TestSingleLostWay(t *testing.T) {
	c := qt.New(t)
	p, w, servers := newTestPaths(5)
	set(w, w.cut, true, servers[0])
	_, err := dial(p, servers[0])
	c.Assert(err, qt.ErrorIs, errTestCut)
	eventually(c, "way lost", func() bool { return p.Lost(servers[0]) && !p.Lost(servers[1]) })
	c.Assert(p.CutOff(), qt.IsFalse)
	relay, err := dial(p, servers[0])
	c.Assert(err, qt.IsNil)
	c.Assert(relay, qt.Equals, "e2")
	relay, err = dial(p, servers[1])
	c.Assert(err, qt.IsNil)
	c.Assert(relay, qt.Equals, "")
}

// A server that falls silent on an open connection is dialed, aside from any request, once
// in a while.
func TestDoubtChecksTheWay(t *testing.T) {
	c := qt.New(t)
	p, w, servers := newTestPaths(3)
	for range 10 {
		p.Doubt(servers[0])
	}
	eventually(c, "checked", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.direct == 1
	})
	c.Assert(p.Lost(servers[0]), qt.IsFalse)
	set(w, w.cut, true, servers...)
	p.Doubt(servers[1])
	p.Doubt(servers[2])
	eventually(c, "cut off", p.CutOff)
}

// Without an entry that reaches servers, nothing is known of them.
func TestNoWayBlamesNoServer(t *testing.T) {
	c := qt.New(t)
	p, w, servers := newTestPaths(3)
	set(w, w.cut, true, servers...)
	for _, address := range servers[:2] {
		_, _ = dial(p, address)
	}
	eventually(c, "cut off", p.CutOff)
	w.mu.Lock()
	w.relays = nil
	w.mu.Unlock()
	_, err := dial(p, servers[2])
	c.Assert(err, qt.ErrorIs, upstream.ErrNoPath)
	set(w, w.down, true, servers[2])
	w.mu.Lock()
	w.relays = []string{"e2"}
	w.mu.Unlock()
	_, err = dial(p, servers[2])
	c.Assert(err, qt.ErrorIs, ErrServerUnreachable)
}

// An entry that opens no tunnel, as one that is cut off itself, is asked after the others.
func TestRefusingRelayIsAskedLast(t *testing.T) {
	c := qt.New(t)
	p, w, servers := newTestPaths(3)
	w.relays, w.refuse = []string{"e2", "e3"}, "e2"
	set(w, w.cut, true, servers...)
	for _, address := range servers[:2] {
		_, _ = dial(p, address)
	}
	eventually(c, "cut off", p.CutOff)
	awaitChecks(c, p) // they ask all entries
	w.mu.Lock()
	before := w.refused
	w.mu.Unlock()
	for range 10 {
		relay, err := dial(p, servers[2])
		c.Assert(err, qt.IsNil)
		c.Assert(relay, qt.Equals, "e3")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	c.Assert(w.refused, qt.Equals, before)
}

// Guards against RECOVER: three of four entries lose the way to all servers at once. Each
// asked one other entry, which as a rule had lost it too, and took the servers to be down.
// These were suspended, and without requests nothing was checked until that ended.
func TestEntriesThatLoseTheirWaysTogetherFindOut(t *testing.T) {
	c := qt.New(t)
	p, w, servers := newTestPaths(6)
	w.relays, w.blind = []string{"e2", "e3", "e4"}, map[string]bool{"e2": true, "e3": true}
	set(w, w.cut, true, servers...)
	_, err := dial(p, servers[0])
	c.Assert(err, qt.ErrorIs, errTestCut)
	eventually(c, "cut off", p.CutOff)
}

// An entry whose first check asks only entries that have lost their ways as well checks
// again, also without requests.
func TestCheckIsRepeatedWhileNoEntryReachesTheServer(t *testing.T) {
	c := qt.New(t)
	p, w, servers := newTestPaths(6)
	w.blind = map[string]bool{"e2": true}
	set(w, w.cut, true, servers...)
	_, err := dial(p, servers[0])
	c.Assert(err, qt.ErrorIs, errTestCut)
	time.Sleep(checkInterval / 2)
	set(w, w.blind, false, "e2")
	eventually(c, "cut off", p.CutOff)
}
