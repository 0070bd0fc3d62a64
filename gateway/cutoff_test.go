package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
)

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
	scheduler.updateCutOff(now)
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

// Guards against pairs of entry and server that can't communicate and are still chosen: the
// scheduler learns from heartbeats which they are, also beside an entry that skips the field.
func TestSchedulerLearnsUnreachedServers(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	scheduler, cut := newSuspicionEntry(1, now), newSuspicionEntry(2, now)
	lost := make(map[string]time.Time)
	servers := make(map[string]routing.Server)
	for i := range 12 {
		id := fmt.Sprint("s", i)
		servers[id] = routing.NewServer(id, "llm", id+":1", "a", 16)
		if i > 0 {
			lost[servers[id].Address()] = now.Add(-time.Duration(i) * time.Second)
		}
	}
	cut.view.Store(routing.NewView(routing.NewRevision(0, 1), cut.cache.table, servers, nil))
	reached := "s0"
	cut.setUnreached(lost)
	body, err := msgpack.Marshal(cut.newHeartbeat(now, heartbeatTarget{}))
	c.Assert(err, qt.IsNil)
	var heartbeat heartbeatMessage
	c.Assert(msgpack.Unmarshal(body, &heartbeat), qt.IsNil)
	c.Assert(heartbeat.Unreached, qt.HasLen, len(lost))
	scheduler.applyHeartbeat(now, heartbeat)
	place := func(owner dispatch.Owner, id string) string {
		decision, ok := scheduler.scheduler.Submit(now, owner, scheduler.crashingRequest(now, id).WithParts()).(dispatch.Granted)
		c.Assert(ok, qt.IsTrue)
		scheduler.scheduler.Ended(now, id, dispatch.OutcomeComplete)
		return decision.Grant().Server()
	}
	for i := range 10 {
		c.Assert(place(cut.owner, fmt.Sprint("cut-", i)), qt.Equals, reached)
	}
	// Once cut off from all, it says so by its state alone.
	cut.members.self.State = memberCutOff
	c.Assert(cut.newHeartbeat(now, heartbeatTarget{}).Unreached, qt.HasLen, 0)
}

// Guards against a relay that serves all tunnels of a partial cut.
func TestLeastLoadedRelayIsFirst(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	m := newTestMembers(memberReady)
	for i, tunnels := range []int{40, 3, 9} {
		other := testMember(fmt.Sprint("e", i), 1, memberReady)
		other.PeerAddress, other.CPUCores = fmt.Sprint("p", i), 0.2
		m.observe(now, other)
		m.byID[other.ID].tunnels = tunnels
	}
	for range 20 {
		c.Assert(m.relays(now)[2], qt.Equals, "p0")
	}
}
