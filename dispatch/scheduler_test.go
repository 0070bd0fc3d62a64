package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/routing"
)

// testEngine is the profile of an engine that prefills 154 tokens in a
// millisecond and decodes 34 tokens in a pass.
var testEngine = routing.NewEngineProfile(16, 405_000).
	WithDecode(1310*time.Microsecond, time.Microsecond, 2*time.Microsecond, 34).
	WithPrefill(time.Second/154_000, 162*time.Microsecond, 2048).
	WithMeanAnswer(1266)

// fleet is a scheduler with servers of an engine service, "llm", and of a plain service, "desk".
type fleet struct {
	scheduler *Scheduler
	now       time.Time
	owner     Owner
	notices   routing.Notices
	view      *routing.View
}

func newFleet(engines, plain int) *fleet {
	f := &fleet{scheduler: NewScheduler("entry-1"), now: time.Unix(1000, 0), owner: NewOwner("entry-1", 1)}
	f.publish(f.servers(engines, plain)...)
	return f
}

func (f *fleet) servers(engines, plain int) []routing.Server {
	var out []routing.Server
	for i := range engines {
		out = append(out, routing.NewServer(fmt.Sprintf("e%02d", i), "llm", fmt.Sprintf("10.0.0.%d:1", i), "a", 16))
	}
	for i := range plain {
		out = append(out, routing.NewServer(fmt.Sprintf("p%02d", i), "desk", fmt.Sprintf("10.0.1.%d:1", i), "a", 6))
	}
	return out
}

func (f *fleet) publish(servers ...routing.Server) {
	table := routing.NewTable(1, nil, []routing.Service{
		routing.NewService("llm").WithEngine(testEngine).WithCold(3*time.Second, 26),
		routing.NewService("desk"),
	}, nil, routing.Limits{})
	byID := make(map[string]routing.Server)
	for _, s := range servers {
		byID[s.ID()] = s
	}
	f.view = routing.NewView(routing.NewRevision(0, 1), table, byID, nil).WithNotices(&f.notices)
	f.scheduler.SetView(f.now, f.view)
}

// prompt returns a request with the given objectives.
func (f *fleet) prompt(id string, tokens int, objective, tokenInterval time.Duration) Request {
	return NewRequest(id, "llm").WithTokens(tokens, 1266).WithMaxTokenInterval(tokenInterval).
		WithTimes(f.now, f.now.Add(objective), f.now.Add(15*time.Second)).
		WithFirstTokenDeadline(f.now.Add(max(2*time.Second, 4*objective, 8*tokenInterval)))
}

func (f *fleet) short(id string, tokens int) Request {
	return f.prompt(id, tokens, 300*time.Millisecond, 250*time.Millisecond)
}

func (f *fleet) long(id string, tokens int) Request {
	return f.prompt(id, tokens, 3*time.Second, time.Second)
}

func (f *fleet) plainRequest(id string) Request {
	return NewRequest(id, "desk").WithTimes(f.now, f.now.Add(300*time.Millisecond), f.now.Add(time.Second)).WithFirstTokenDeadline(f.now.Add(time.Second))
}

// granted submits a request and returns the grant. It fails the test without one.
func (f *fleet) granted(c *qt.C, request Request) Grant {
	c.Helper()
	decision, ok := f.scheduler.Submit(f.now, f.owner, request).(Granted)
	c.Assert(ok, qt.IsTrue, qt.Commentf("request %s not granted", request.ID()))
	return decision.Grant()
}

// Short prompts must be packed on one server, since a decode pass takes about as
// long for one request as for many.
func TestShortPromptsArePackedOnOneServer(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4, 0)
	used := make(map[string]int)
	for i := range 16 {
		id := fmt.Sprint(i)
		used[f.granted(c, f.short(id, 2000)).Server()]++
		f.now = f.now.Add(50 * time.Millisecond)
		f.scheduler.Started(f.now, id)
	}
	c.Assert(used, qt.HasLen, 1)
	f.granted(c, f.short("one more", 2000))
	c.Assert(f.scheduler.running["one more"].server, qt.Not(qt.Equals), f.scheduler.running["0"].server)
}

// A long prompt must not be prefilled on a server that decodes short prompts' answers:
// a pass would delay their events beyond the token interval objective.
func TestLongPromptAvoidsServersOfShortPrompts(t *testing.T) {
	c := qt.New(t)
	f := newFleet(6, 0)
	short := f.granted(c, f.short("short", 2000))
	f.now = f.now.Add(100 * time.Millisecond)
	f.scheduler.Started(f.now, "short")
	grant := f.granted(c, f.long("long", 182_000))
	c.Assert(grant.Server(), qt.Not(qt.Equals), short.Server())
	for _, worker := range grant.PrefillWorkers() {
		c.Assert(worker.Server(), qt.Not(qt.Equals), short.Server())
	}
}

// On an idle fleet a long prompt is split between servers to meet its objective,
// which one server can't.
func TestLongPromptIsSplitToMeetItsObjective(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, 0)
	oneEngine := testEngine.PrefillTime(182_000, 1)
	c.Assert(oneEngine > 3*time.Second, qt.IsTrue)
	grant := f.granted(c, f.long("long", 182_000))
	c.Assert(len(grant.PrefillWorkers()) >= 2, qt.IsTrue)
	c.Assert(grant.TimeToFirstToken() <= 3*time.Second/2, qt.IsTrue, qt.Commentf("first token after %v", grant.TimeToFirstToken()))
}

// In a burst of long prompts, those that do not fit must be queued in the scheduler
// rather than in the engines, which prefill all their prompts concurrently.
func TestBurstOfLongPromptsIsQueuedInScheduler(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 0)
	for i := range 10 {
		f.scheduler.Submit(f.now, f.owner, f.long(fmt.Sprint(i), 182_000))
	}
	c.Assert(f.scheduler.Waiting() > 0, qt.IsTrue)
	for _, s := range f.scheduler.pools["llm"].order {
		c.Assert(s.backlog(f.now) < 3*time.Second, qt.IsTrue, qt.Commentf("%s has a backlog of %v", s.info.ID(), s.backlog(f.now)))
	}
}

// A server that still prefills a prompt of its own must not become a prefill worker:
// it would prefill the other prompt's part first and delay its own.
func TestServerPrefillingOwnPromptIsNoPrefillWorker(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 0)
	first := f.granted(c, f.long("first", 100_000))
	second := f.granted(c, f.long("second", 100_000))
	for _, worker := range second.PrefillWorkers() {
		c.Assert(worker.Server(), qt.Not(qt.Equals), first.Server())
	}
}

// When there are more long prompts than the fleet can prefill, each must be granted
// or refused before its caller disconnects.
func TestOverloadRefusesBeforeCallersDisconnect(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3, 0)
	start := f.now
	const count = 40
	ended := make(map[string]bool)
	for i := range count {
		id := fmt.Sprint(i)
		if _, queued := f.scheduler.Submit(f.now, f.owner, f.long(id, 182_000)).(Queued); !queued {
			ended[id] = true
		}
	}
	for f.now.Sub(start) < 12*time.Second {
		f.now = f.now.Add(25 * time.Millisecond)
		for _, decision := range f.scheduler.Tick(f.now) {
			switch d := decision.(type) {
			case Granted:
				ended[d.Grant().ID()] = true
			case Refused:
				ended[d.ID()] = true
				c.Assert(d.RetryAfter() > 0, qt.IsTrue)
			}
		}
	}
	c.Assert(ended, qt.HasLen, count)
	c.Assert(f.scheduler.Waiting(), qt.Equals, 0)
}

// After all entries restart at once, each schedules on its own until it knows the
// others. They must not all fill the same server.
func TestIndependentSchedulersSpreadRequests(t *testing.T) {
	c := qt.New(t)
	used := make(map[string]int)
	for i := range 8 {
		f := newFleet(0, 0)
		f.scheduler = NewScheduler(fmt.Sprint("entry-", i))
		f.publish(f.servers(23, 0)...)
		for j := range 4 {
			used[f.granted(c, f.short(fmt.Sprint(j), 1000)).Server()]++
		}
	}
	for server, count := range used {
		c.Assert(count <= 16, qt.IsTrue, qt.Commentf("%s got %d requests", server, count))
	}
}

// When every server of a small service has broken off an answer, requests must still
// be granted, since the servers can be reached.
func TestBrokenServersAreUsedWhenThereAreNoOthers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 2)
	for i := range 2 {
		id := fmt.Sprint(i)
		f.granted(c, f.plainRequest(id))
		f.scheduler.Ended(f.now, id, OutcomeBroken)
	}
	f.granted(c, f.plainRequest("next"))
}

func TestReleaseFreesEverything(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 2)
	for i := range 30 {
		f.scheduler.Submit(f.now, f.owner, f.long(fmt.Sprint("l", i), 150_000))
		f.scheduler.Submit(f.now, f.owner, f.plainRequest(fmt.Sprint("c", i)))
	}
	for i := range 30 {
		if i%2 == 0 {
			f.scheduler.Started(f.now, fmt.Sprint("l", i))
		}
		f.scheduler.Ended(f.now, fmt.Sprint("l", i), OutcomeComplete)
		f.scheduler.Ended(f.now, fmt.Sprint("c", i), OutcomeComplete)
		f.scheduler.Withdraw(fmt.Sprint("l", i))
		f.scheduler.Withdraw(fmt.Sprint("c", i))
	}
	c.Assert(f.scheduler.running, qt.HasLen, 0)
	for _, p := range f.scheduler.pools {
		for _, s := range p.order {
			c.Assert(s.running, qt.HasLen, 0)
			c.Assert([]int{s.workerFor, s.memory, s.decoding, s.contextTokens}, qt.DeepEquals, []int{0, 0, 0, 0})
		}
	}
}

// In any second a cold server must get no more requests than its capacity allows.
func TestColdServerCapacityIsBounded(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 0)
	f.publish(routing.NewServer("cold", "llm", "10.0.0.1:1", "a", 16).WithCold(10*time.Second).WithIncarnation(5, routing.NewRevision(0, 9)))
	var times []time.Time
	for i := range 400 {
		id := fmt.Sprint(i)
		if _, ok := f.scheduler.Submit(f.now, f.owner, f.short(id, 10)).(Granted); ok {
			times = append(times, f.now)
			f.scheduler.Ended(f.now, id, OutcomeComplete)
		}
		f.scheduler.Withdraw(id)
		f.now = f.now.Add(10 * time.Millisecond)
	}
	c.Assert(len(times) > 0, qt.IsTrue)
	for i, from := range times {
		within := 0
		for _, at := range times[i:] {
			if at.Sub(from) < time.Second {
				within++
			}
		}
		c.Assert(within <= 26, qt.IsTrue, qt.Commentf("%d requests in a second", within))
	}
}

func TestStalledServerIsSuspended(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 2)
	first := f.granted(c, f.plainRequest("1"))
	f.scheduler.Ended(f.now, "1", OutcomeStalled)
	for i := range 6 {
		c.Assert(f.granted(c, f.plainRequest(fmt.Sprint("n", i))).Server(), qt.Not(qt.Equals), first.Server())
	}
}

// An owner's events may be lost; its reports must then correct the scheduler's state.
func TestReconcileCorrectsState(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 0)
	f.granted(c, f.short("lost", 1000))
	kept := f.granted(c, f.short("kept", 1000))
	f.now = f.now.Add(unreportedGrace + time.Millisecond)
	f.scheduler.Reconcile(f.now, f.owner, []string{"llm"}, []RunningRequest{
		RestoreRunningRequest("kept", "llm", kept.Server(), nil, 1000, 1266, 0, true),
		RestoreRunningRequest("unknown", "llm", "e01", nil, 500, 1266, 0, false),
	})
	c.Assert(f.scheduler.running["lost"], qt.IsNil)
	c.Assert(f.scheduler.running["kept"].started, qt.IsTrue)
	c.Assert(f.scheduler.running["unknown"], qt.IsNotNil)
	f.scheduler.ReleaseEntry(f.now, "entry-1", 0)
	c.Assert(f.scheduler.running, qt.HasLen, 0)
}

// A server that is published again under the same id with another start time is a
// new incarnation and has no requests.
func TestNewIncarnationHasNoRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 0)
	f.publish(routing.NewServer("s", "desk", "10.0.0.1:1", "a", 6).WithIncarnation(1, routing.NewRevision(0, 1)))
	f.granted(c, f.plainRequest("1"))
	f.publish(routing.NewServer("s", "desk", "10.0.0.1:1", "a", 6).WithIncarnation(2, routing.NewRevision(0, 2)))
	c.Assert(f.scheduler.pools["desk"].servers["s"].running, qt.HasLen, 0)
	f.scheduler.Ended(f.now, "1", OutcomeBroken)
	f.granted(c, f.plainRequest("2"))
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 0)
	f.publish(routing.NewServer("s", "desk", "10.0.0.1:1", "a", 6).WithDraining(true))
	refused, ok := f.scheduler.Submit(f.now, f.owner, f.plainRequest("1")).(Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(refused.Reason(), qt.Equals, ReasonNoServer)
	f.now = f.now.Add(time.Second)
	c.Assert(f.scheduler.Tick(f.now), qt.HasLen, 0)
}

// When the entry that schedules fails during a burst of long prompts, the next one
// must learn of the prefill in progress from the owners' reports.
func TestNextSchedulerKnowsPrefillInProgress(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 0)
	grant := f.granted(c, f.long("long", 182_000))
	c.Assert(len(grant.PrefillWorkers()) > 0, qt.IsTrue)
	next := newFleet(8, 0)
	next.scheduler.Reconcile(next.now, next.owner, []string{"llm"}, f.scheduler.Running(f.owner))
	for _, id := range append(next.scheduler.running["long"].prefillWorkers, grant.Server()) {
		c.Assert(next.scheduler.pools["llm"].servers[id].backlog(next.now) > maxSplitBacklog, qt.IsTrue)
	}
	next.scheduler.Ended(next.now, "long", OutcomeComplete)
	for _, s := range next.scheduler.pools["llm"].order {
		c.Assert([]int{s.workerFor, s.memory, s.decoding}, qt.DeepEquals, []int{0, 0, 0})
		c.Assert(s.backlog(next.now), qt.Equals, time.Duration(0))
	}
}

// A prompt that exceeds one engine's memory is spread: prefill workers hold what
// does not fit on the first engine, and all memory is free when the request ends.
func TestPromptLargerThanMemoryIsSpread(t *testing.T) {
	c := qt.New(t)
	f := newFleet(20, 0)
	grant := f.granted(c, f.prompt("huge", 700_000, 4*time.Second, time.Second))
	reserved := 0
	for _, worker := range grant.PrefillWorkers() {
		c.Assert(worker.ReservedTokens() < testEngine.Memory(), qt.IsTrue)
		reserved += worker.ReservedTokens()
	}
	c.Assert(reserved >= 700_000+1266-testEngine.Memory(), qt.IsTrue)
	total := 0
	for _, s := range f.scheduler.pools["llm"].order {
		c.Assert(s.memory <= testEngine.Memory(), qt.IsTrue)
		total += s.memory
	}
	c.Assert(total, qt.Equals, 700_000+1266)
	f.scheduler.Started(f.now, "huge")
	f.scheduler.Ended(f.now, "huge", OutcomeComplete)
	for _, s := range f.scheduler.pools["llm"].order {
		c.Assert(s.memory, qt.Equals, 0)
	}
}

// A scheduler that takes over counts the memory of a spread prompt on all its servers:
// otherwise it would place others where the prompt's workers hold its parts.
func TestAdoptedSpreadPromptCountsOnItsWorkers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(6, 0)
	request := NewRequest("huge", "llm").WithTokens(1_000_000, 1000)
	running := NewRunningRequest(request, "e00", []string{"e01", "e02", "e03"})
	f.scheduler.Adopt(f.now, f.owner, running)
	total := 0
	for _, s := range f.scheduler.pools["llm"].order {
		c.Assert(s.memory <= testEngine.Memory(), qt.IsTrue)
		total += s.memory
	}
	c.Assert(total, qt.Equals, 1_001_000)
	f.scheduler.Ended(f.now, "huge", OutcomeComplete)
	for _, s := range f.scheduler.pools["llm"].order {
		c.Assert(s.memory, qt.Equals, 0)
	}
}

// A prompt that does not fit in the whole fleet must be refused at once, both when it
// arrives and when servers leave while it waits.
func TestPromptLargerThanFleetMemoryIsRefused(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 0)
	refused, ok := f.scheduler.Submit(f.now, f.owner, f.long("huge", 900_000)).(Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(refused.Reason(), qt.Equals, ReasonTooLarge)

	f = newFleet(10, 0)
	for i := range 10 {
		f.granted(c, f.long(fmt.Sprint(i), 60_000))
	}
	c.Assert(f.scheduler.Submit(f.now, f.owner, f.long("huge", 900_000)), qt.Equals, Decision(Queued{}))
	f.publish(f.servers(2, 0)...)
	decisions := f.scheduler.Tick(f.now)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].(Refused).Reason(), qt.Equals, ReasonTooLarge)
}

// While a service has no usable server, its requests are refused at once, with the
// time after which one may have been published.
func TestRequestsAreRefusedAtOnceWithoutUsableServer(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 1)
	waiting := f.long("waiting", 60_000)
	f.granted(c, f.long("first", 60_000))
	f.scheduler.Submit(f.now, f.owner, waiting)
	servers := f.servers(1, 1)
	f.publish(servers[0].WithDraining(true), servers[1].WithDraining(true))
	for _, request := range []Request{f.long("long", 182_000), f.short("short", 2000), f.plainRequest("plain")} {
		refused, ok := f.scheduler.Submit(f.now, f.owner, request).(Refused)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%s", request.ID()))
		c.Assert(refused.Reason(), qt.Equals, ReasonNoServer)
		c.Assert(refused.RetryAfter(), qt.Equals, retryAfterNoServer)
	}
}

// Pattern: during a burst most servers lose some of their answers and are suspended.
// Requests that the others can't take in time must go to a suspended one, whose
// responses fail only for some, rather than wait until they are refused.
func TestSuspendedServersAreUsedInNeed(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4, 0)
	f.startShorts(8)
	for _, s := range f.scheduler.pools["llm"].order[1:] {
		s.recordOutcome(f.now, "e1", OutcomeBroken)
	}
	for i := range 16 { // all slots of the server without failures
		f.scheduler.Submit(f.now, f.owner, f.short(fmt.Sprint("fill-", i), 20))
	}
	request := f.short("next", 2000)
	f.scheduler.Submit(f.now, f.owner, request)
	granted := func() bool { return f.scheduler.running["next"] != nil }
	for !granted() && f.now.Before(request.Objective()) {
		f.now = f.now.Add(TickInterval)
		f.scheduler.Tick(f.now)
	}
	c.Assert(granted(), qt.IsTrue)

	// A server that stalled or has refused is left alone.
	for _, s := range f.scheduler.pools["llm"].order {
		s.recordOutcome(f.now, "e1", OutcomeStalled)
	}
	c.Assert(f.scheduler.pools["llm"].suspendedCandidates(f.now, request), qt.HasLen, 0)
}

// Pattern: all entries lose power in a burst and start again. The callers come back at the
// same moment, and a scheduler that has just started has placed nothing yet; that is no
// idleness in which a prompt may take eleven of fourteen servers for seconds.
func TestFreshSchedulerIsNotTakenForIdle(t *testing.T) {
	c := qt.New(t)
	f := newFleet(14, 0)
	short := func(i int) {
		id := fmt.Sprint("s", i)
		if _, ok := f.scheduler.Submit(f.now, f.owner, f.short(id, 4000)).(Granted); !ok {
			c.Fatalf("short prompt %d waits", i)
		}
		f.now = f.now.Add(5 * time.Millisecond)
		f.scheduler.Started(f.now, id)
		f.scheduler.Ended(f.now, id, OutcomeComplete)
	}
	for i := range 5 {
		short(i)
	}
	spread := f.prompt("spread", 434_966, 4*time.Second, time.Second)
	c.Assert(f.scheduler.Submit(f.now, f.owner, spread), qt.Equals, Queued{})
	for i := 5; i < 200; i++ {
		short(i)
		c.Assert(f.scheduler.Tick(f.now), qt.HasLen, 0)
	}

	// The scheduler of an idle fleet places it at once, and so does this one soon after.
	idle := newFleet(14, 0)
	idle.granted(c, idle.prompt("spread", 434_966, 4*time.Second, time.Second))
	var decisions []Decision
	for len(decisions) == 0 && f.now.Before(spread.Objective()) {
		f.now = f.now.Add(TickInterval)
		decisions = f.scheduler.Tick(f.now)
	}
	c.Assert(decisions, qt.HasLen, 1)
	_, granted := decisions[0].(Granted)
	c.Assert(granted, qt.IsTrue)
}

// A prompt that exceeds one engine's memory must wait during a burst of long prompts,
// since its prefill takes longer than several prompts that can meet their objectives.
func TestSpreadPromptWaitsForLowerLoad(t *testing.T) {
	c := qt.New(t)
	f := newFleet(23, 0)
	for i := range 12 {
		id := fmt.Sprint(i)
		if _, ok := f.scheduler.Submit(f.now, f.owner, f.long(id, 182_000)).(Granted); ok {
			f.now = f.now.Add(250 * time.Millisecond)
		}
	}
	huge := f.prompt("huge", 700_000, 4*time.Second, time.Second)
	_, queued := f.scheduler.Submit(f.now, f.owner, huge).(Queued)
	c.Assert(queued, qt.IsTrue)
	for i := range 12 {
		f.scheduler.Ended(f.now, fmt.Sprint(i), OutcomeComplete)
		f.scheduler.Withdraw(fmt.Sprint(i))
	}
	var decisions []Decision
	for len(decisions) == 0 && f.now.Before(huge.FirstTokenDeadline()) {
		f.now = f.now.Add(25 * time.Millisecond)
		decisions = f.scheduler.Tick(f.now)
	}
	c.Assert(decisions, qt.HasLen, 1)
	_, granted := decisions[0].(Granted)
	c.Assert(granted, qt.IsTrue)
}

// During a burst of short prompts a server that answers nothing must get few of them,
// although it seems to have completed its prefill.
func TestStalledServerGetsFewPrompts(t *testing.T) {
	c := qt.New(t)
	f := newFleet(6, 0)
	stalled := f.granted(c, f.short("first", 4000)).Server()
	placed := 0
	for i := range 100 {
		f.now = f.now.Add(10 * time.Millisecond)
		id := fmt.Sprint(i)
		grant := f.granted(c, f.short(id, 4000))
		if grant.Server() == stalled {
			placed++
			continue
		}
		f.scheduler.Started(f.now.Add(grant.TimeToFirstToken()), id)
		f.scheduler.Ended(f.now.Add(grant.TimeToFirstToken()), id, OutcomeComplete)
	}
	c.Assert(placed <= 10, qt.IsTrue, qt.Commentf("%d of 100 went to the stalled server", placed))
	// Once it answers, its backlog no longer counts as overdue.
	f.scheduler.Started(f.now, "first")
	for i := range 100 {
		f.scheduler.Started(f.now, fmt.Sprint(i))
	}
	for _, s := range f.scheduler.pools["llm"].order {
		c.Assert(s.firstExpected.IsZero(), qt.IsTrue)
	}
}

// BenchmarkTick measures a tick with 40 queued prompts for 78 and for 1000 busy engines.
func BenchmarkTick(b *testing.B) {
	for _, engines := range []int{78, 1000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) { benchmarkTick(b, engines) })
	}
}

func benchmarkTick(b *testing.B, engines int) {
	f := newFleet(engines, 0)
	for i := range 5 * engines {
		id := fmt.Sprint(i)
		request := f.short(id, 4000)
		if i%4 == 0 {
			request = f.long(id, 200_000)
		}
		f.scheduler.Submit(f.now, f.owner, request)
		if i%3 != 0 {
			f.scheduler.Started(f.now, id)
		}
	}
	for i := range 40 {
		f.scheduler.Submit(f.now, f.owner, f.long(fmt.Sprint("w", i), 200_000))
	}
	b.ReportMetric(float64(f.scheduler.Waiting()), "waiting")
	for b.Loop() {
		f.scheduler.Tick(f.now)
	}
}

// Guards against a second placement of a queued request whose owner was served by another
// scheduler meanwhile: the first one took its slot for good.
func TestAdoptedRequestLeavesTheQueue(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3, 0)
	f.scheduler.Hold("llm", f.now.Add(80*time.Millisecond))
	request := f.short("r", 4000).WithAccount("a")
	c.Assert(f.scheduler.Submit(f.now, f.owner, request), qt.Equals, Queued{})
	f.scheduler.Reconcile(f.now, f.owner, []string{"llm"}, []RunningRequest{NewRunningRequest(request, "e01", nil)})
	f.now = f.now.Add(80 * time.Millisecond)
	c.Assert(f.scheduler.Tick(f.now), qt.HasLen, 0)
	f.scheduler.Ended(f.now, "r", OutcomeComplete)
	for _, s := range f.scheduler.pools["llm"].order {
		c.Assert(s.running, qt.HasLen, 0)
		c.Assert(s.memory, qt.Equals, 0)
	}
}

// BenchmarkSubmit measures a submission with 500 queued prompts of 24 accounts for 85 busy
// engines, with a forecast.
func BenchmarkSubmit(b *testing.B) {
	f := newFleet(85, 0)
	n := 0
	submit := func() string {
		id := fmt.Sprint(n)
		request := f.prompt(id, 1000+n*7919%9000, 2*time.Second, 250*time.Millisecond)
		if n%10 == 0 {
			request = f.prompt(id, 45_000, 4*time.Second, 500*time.Millisecond)
		}
		f.scheduler.Submit(f.now, f.owner, request.WithAccount(fmt.Sprint(n%24*(n%3)/2)))
		n++
		return id
	}
	for f.scheduler.Waiting() < 500 {
		f.scheduler.Started(f.now, submit())
		f.now = f.now.Add(100 * time.Microsecond)
	}
	f.scheduler.Tick(f.now)
	f.scheduler.pools["llm"].observedFrom = f.now.Add(-minObservation)
	from := f.now
	for b.Loop() {
		if f.now = f.now.Add(time.Microsecond); f.now.Sub(from) > 200*time.Millisecond {
			f.now = from
		}
		id := submit()
		f.scheduler.Ended(f.now, id, OutcomeCancelled)
		f.scheduler.Withdraw(id)
	}
}
