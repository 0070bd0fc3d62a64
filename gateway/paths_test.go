package gateway

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"greengagedock.example/dispatch"
	"greengagedock.example/mesh"
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

// CutOff implements upstream.Network.
func (w *testWays) CutOff() bool { return false }

// open opens a tunnel.
func (w *testWays) open(_ context.Context, relay, address string) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[address] {
		return nil, eris.Wrap(mesh.ErrServerUnreachable, address)
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

func newTestPaths(servers int) (*paths, *testWays, []string) {
	w := &testWays{cut: make(map[string]bool), down: make(map[string]bool), relays: []string{"e2"}}
	var addresses []string
	for i := range servers {
		addresses = append(addresses, fmt.Sprint("s", i))
	}
	p := &paths{
		direct: w, timers: &timer.Service{}, log: hclog.NewNullLogger(), open: w.open,
		relays: func() []string {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.relays
		},
		servers: func() []string { return addresses }, cutOffChanged: func(bool) {},
	}
	return p, w, addresses
}

// dial dials a server and reports how it was reached.
func dial(p *paths, address string) (relay string, err error) {
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

// Guards against RECOVER: an entry that loses the way to all servers sends no request through
// another entry, or goes on doing so when the way is back.
func TestLostWaysLeadThroughOtherEntries(t *testing.T) {
	c := qt.New(t)
	p, w, servers := newTestPaths(5)
	set(w, w.cut, true, servers...)
	for _, address := range servers[:2] {
		_, err := dial(p, address)
		c.Assert(err, qt.ErrorIs, errTestCut)
	}
	eventually(c, "cut off", p.CutOff)
	for _, address := range servers {
		relay, err := dial(p, address)
		c.Assert(err, qt.IsNil)
		c.Assert(relay, qt.Equals, "e2")
	}
	ofUse := p.idleOfUse()
	c.Assert(ofUse(servers[4], ""), qt.IsFalse)
	c.Assert(ofUse(servers[4], "e2"), qt.IsTrue)
	c.Assert(ofUse(servers[4], "gone"), qt.IsFalse)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.probe(ctx)
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
	eventually(c, "checks ended", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.checks == 0
	})
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
	eventually(c, "way lost", func() bool { return p.isLost(servers[0]) })
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
	c.Assert(p.isLost(servers[0]), qt.IsFalse)
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
	c.Assert(err, qt.ErrorIs, mesh.ErrServerUnreachable)
}

// Entries that are cut off schedule for no other one, lead nowhere, and leave the directory
// unless most are cut off.
func TestCutOffEntriesLeaveTheDirectory(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	m := newTestMembers(memberReady)
	m.self.CallerAddress, m.self.CPUCores = "self", 1
	for i := range 3 {
		other := testMember(fmt.Sprint("e", i), 1, memberReady)
		other.CallerAddress, other.PeerAddress, other.CPUCores = fmt.Sprint("c", i), fmt.Sprint("p", i), 1
		m.observe(now, other)
	}
	setState := func(i int, state memberState) { m.byID[fmt.Sprint("e", i)].State = state }
	setState(0, memberCutOff)
	c.Assert(m.addresses(now), qt.ContentEquals, []string{"self", "c1", "c2"})
	c.Assert(m.relays(now), qt.ContentEquals, []string{"p1", "p2"})
	c.Assert(m.cutOff(), qt.DeepEquals, map[string]bool{"e0": true})
	for i := range 20 {
		if scheduler := m.scheduler(now, fmt.Sprint("service-", i)); scheduler != nil {
			c.Assert(scheduler.ID, qt.Not(qt.Equals), "e0")
		}
	}
	setState(1, memberCutOff)
	setState(2, memberCutOff)
	c.Assert(m.addresses(now), qt.ContentEquals, []string{"self", "c0", "c1", "c2"})
}

// What entries reported of servers before they were known to be cut off holds back nobody.
func TestBlameOfCutOffEntriesIsForgiven(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	scheduler := newSuspicionEntry(1, now)
	cut, other := dispatch.NewOwner("e2", 1), dispatch.NewOwner("e3", 1)
	fail := func(owner dispatch.Owner, server string) {
		request := scheduler.crashingRequest(now, owner.Entry()+server).WithParts()
		scheduler.scheduler.Adopt(now, owner, dispatch.NewRunningRequest(request, server, nil))
		scheduler.scheduler.Ended(now, request.ID(), dispatch.OutcomeUnreachable)
	}
	for i := range 12 {
		fail(cut, fmt.Sprint("s", i))
	}
	fail(other, "s3")
	c.Assert(granted(scheduler, now, "before"), qt.Equals, "")
	scheduler.members.observe(now, memberMessage{ID: "e2", Incarnation: 1, State: memberCutOff})
	scheduler.updateCutOff()
	for i := range 30 {
		server := granted(scheduler, now, fmt.Sprint("after-", i))
		c.Assert(server, qt.Not(qt.Equals), "")
		c.Assert(server, qt.Not(qt.Equals), "s3") // another entry did not reach it either
	}
}

// granted places a request and returns the server, empty if there is none.
func granted(c *control, now time.Time, id string) string {
	decision, ok := c.scheduler.Submit(now, c.owner, c.crashingRequest(now, id).WithParts()).(dispatch.Granted)
	if !ok {
		c.scheduler.Withdraw(id)
		return ""
	}
	return decision.Grant().Server()
}
