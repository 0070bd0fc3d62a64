package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/dispatch"
	"greengagedock.example/quarantine"
	"greengagedock.example/routing"
	"greengagedock.example/timer"
)

// crashingPart is a part of a prompt at which servers end.
const crashingPart quarantine.Part = 0xbad

// newSuspicionEntry returns an entry with engines, whose control loop does not run.
func newSuspicionEntry(number int, now time.Time) *control {
	c := newControl(NewSettings(fmt.Sprint("e", number), "a", "r"), 1, nil, hclog.NewNullLogger(), &timer.Service{})
	c.members.self.PeerAddress = fmt.Sprintf("10.0.0.%d:1", number)
	c.cache.table = routing.NewTable(1, nil, []routing.Service{
		routing.NewService("llm").WithEngine(routing.NewEngineProfile(16, 405_000).WithPrefill(time.Microsecond, 0, 2048).WithDecode(time.Millisecond, 0, 0, 30)),
	}, nil, routing.Limits{})
	servers := make(map[string]routing.Server)
	for i := range 12 {
		id := fmt.Sprint("s", i)
		servers[id] = routing.NewServer(id, "llm", id+":1", "a", 16)
	}
	c.scheduler.SetView(now, routing.NewView(routing.NewRevision(0, 1), c.cache.table, servers, nil))
	return c
}

// request returns a request with the crashing part.
func (c *control) crashingRequest(now time.Time, id string) dispatch.Request {
	return dispatch.NewRequest(id, "llm").WithTokens(1000, 100).WithParts(crashingPart).
		WithTimes(now, now.Add(300*time.Millisecond), now.Add(10*time.Second)).WithFirstTokenDeadline(now.Add(2 * time.Second))
}

// serve has a request without the crashing part go well.
func serve(c *control, now time.Time, id string) {
	request := c.crashingRequest(now, id).WithParts(7)
	if granted, ok := c.scheduler.Submit(now, c.owner, request).(dispatch.Granted); ok {
		c.scheduler.Started(now, granted.Grant().ID())
		c.scheduler.Ended(now, granted.Grant().ID(), dispatch.OutcomeComplete)
	}
}

// crashServers has servers end at requests with the crashing part, while another one goes
// well.
func crashServers(c *control, now time.Time, n int) {
	serve(c, now, "sound")
	for i := range n {
		now = now.Add(200 * time.Millisecond)
		id := fmt.Sprint("x", i)
		granted, ok := c.scheduler.Submit(now, c.owner, c.crashingRequest(now, id)).(dispatch.Granted)
		if !ok {
			return
		}
		c.scheduler.Ended(now, granted.Grant().ID(), dispatch.OutcomeBroken)
		c.scheduler.Tick(now)
	}
}

// exchange sends a heartbeat from one entry to another and returns it with its response.
func exchange(now time.Time, from, to *control) {
	heartbeat := from.newHeartbeat(now, heartbeatTarget{address: to.members.self.PeerAddress})
	from.applyHeartbeat(now, to.answerHeartbeat(now, heartbeat))
}

// refusesPart reports whether an entry refuses requests with the crashing part.
func refusesPart(c *control, now time.Time) bool {
	refused, ok := c.scheduler.Submit(now, c.owner, c.crashingRequest(now, "check")).(dispatch.Refused)
	c.scheduler.Ended(now, "check", dispatch.OutcomeCancelled)
	return ok && refused.Reason() == dispatch.ReasonQuarantined
}

// Guards against BUDGET: an entry that takes over scheduling, or has just started, knows
// which parts crash servers after one heartbeat to an entry that does.
func TestSuspicionsReachOtherEntries(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	first, second, third := newSuspicionEntry(1, now), newSuspicionEntry(2, now), newSuspicionEntry(3, now)
	crashServers(first, now, 5)
	now = now.Add(time.Second)
	c.Assert(refusesPart(first, now), qt.IsTrue)
	c.Assert(refusesPart(second, now), qt.IsFalse)
	exchange(now, second, first)
	c.Assert(refusesPart(second, now), qt.IsTrue)
	exchange(now, third, second)
	c.Assert(refusesPart(third, now), qt.IsTrue)

	// Nothing is sent between entries that suspect the same.
	heartbeat := third.newHeartbeat(now, heartbeatTarget{address: first.members.self.PeerAddress})
	c.Assert(heartbeat.Suspicions, qt.HasLen, 0)
	c.Assert(first.answerHeartbeat(now, heartbeat).Suspicions, qt.HasLen, 0)

	// The end of a suspicion spreads as well, and an older one doesn't come back.
	now = now.Add(11 * time.Minute)
	granted := second.scheduler.Submit(now, second.owner, second.crashingRequest(now, "probe")).(dispatch.Granted)
	second.scheduler.Started(now, granted.Grant().ID())
	second.scheduler.Ended(now, granted.Grant().ID(), dispatch.OutcomeComplete)
	exchange(now, first, second)
	exchange(now, second, third)
	exchange(now, third, second)
	for _, entry := range []*control{first, second, third} {
		c.Assert(refusesPart(entry, now), qt.IsFalse)
	}
}

// An entry that sees only a part of the evidence, because another one schedules, draws no
// conclusions from it.
func TestOnlySchedulerLearnsSuspicions(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	entry := newSuspicionEntry(1, now)
	entry.scheduler.SetPrimary(now, "llm", false)
	crashServers(entry, now, 8)
	c.Assert(refusesPart(entry, now.Add(2*time.Second)), qt.IsFalse)
}

// While another entry schedules, this one does not see which requests go well, so that what
// it saw before and sees afterwards must not add up.
func TestInterruptedSchedulerBlamesNoPart(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	entry := newSuspicionEntry(1, now)
	for range 4 {
		entry.scheduler.SetPrimary(now, "llm", true)
		crashServers(entry, now, 1)
		entry.scheduler.SetPrimary(now, "llm", false)
		now = now.Add(2 * time.Minute)
	}
	entry.scheduler.SetPrimary(now, "llm", true)
	entry.scheduler.Tick(now)
	c.Assert(entry.quarantined(), qt.Equals, 0)
}

// An entry learns only while it schedules by the members that it knows.
func TestSharesSayWhichEntryLearns(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	entry := newSuspicionEntry(1, now)
	entry.setState(memberReady)
	other := newSuspicionEntry(2, now).members.self
	other.State, other.CPUCores = memberReady, 10 // enough for this entry not to schedule beside it
	entry.members.observe(now, other)
	c.Assert(entry.members.scheduler(now, "llm"), qt.IsNotNil)
	entry.updateSchedulerShares(now)
	crashServers(entry, now, 8)
	c.Assert(entry.quarantined(), qt.Equals, 0)

	entry.members.byID = make(map[string]*member)
	entry.updateSchedulerShares(now)
	crashServers(entry, now.Add(time.Minute), 8)
	c.Assert(entry.quarantined(), qt.Equals, 1)
}

// What a scheduler must know of a prompt's parts reaches it with each message.
func TestMessagesCarryParts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	entry := newSuspicionEntry(1, now)
	request := entry.crashingRequest(now, "r").WithResumed(true)
	_, decoded := encodeRequest(entry.owner, request, now).decode(now)
	c.Assert(decoded.Parts(), qt.DeepEquals, request.Parts())
	c.Assert(decoded.Resumed(), qt.IsTrue)

	suspicion := quarantine.NewSuspicion([]quarantine.Part{3, 5}, 7, now.Add(-time.Minute)).
		WithCleared(now.Add(-time.Second)).WithProbes(2, now.Add(-time.Hour))
	entry.scheduler.MergeSuspicions(now, "llm", []quarantine.Suspicion{suspicion})
	later := now.Add(time.Minute)
	got := entry.encodeSuspicions(now)[0].decode(later)
	c.Assert(got.Parts(), qt.DeepEquals, suspicion.Parts())
	c.Assert(got.Crashes(), qt.Equals, 7)
	c.Assert(got.LastCrash(), qt.Equals, later.Add(-time.Minute))
	c.Assert(got.ClearedAt(), qt.Equals, later.Add(-time.Second))
	c.Assert(got.ProbedAt(), qt.Equals, later.Add(-time.Hour))
}

// Only suspicions that changed are logged.
func TestUnchangedSuspicionsAreNotLogged(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	entry := newSuspicionEntry(1, now)
	var out strings.Builder
	entry.log = hclog.New(&hclog.LoggerOptions{Output: &out})
	for i := range 20 {
		s := quarantine.NewSuspicion([]quarantine.Part{quarantine.Part(i)}, 3, now)
		entry.scheduler.MergeSuspicions(now, "llm", []quarantine.Suspicion{s})
		entry.logSuspicions(now)
	}
	c.Assert(strings.Count(out.String(), "prompt parts crash servers"), qt.Equals, 20)
}
