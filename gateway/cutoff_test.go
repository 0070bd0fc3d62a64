package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/dispatch"
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
