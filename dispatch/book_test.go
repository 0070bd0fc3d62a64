package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/routing"
)

// testEngine has the figures of an engine that reads 154 tokens in a
// millisecond and writes 34 tokens in a pass.
var testEngine = routing.NewEngineProfile(16, 405_000).
	WithDecode(1310*time.Microsecond, time.Microsecond, 2*time.Microsecond, 34).
	WithPrefill(time.Second/154_000, 162*time.Microsecond, 2048).
	WithMeanAnswer(1266)

// fleet is a book with servers of one engine service, "llm", and one plain service, "desk".
type fleet struct {
	book  *Scheduler
	now   time.Time
	owner Owner
}

func newFleet(engines, plain int) *fleet {
	f := &fleet{book: NewScheduler("entry-1"), now: time.Unix(1000, 0), owner: NewOwner("entry-1", 1)}
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
	f.book.SetView(f.now, routing.NewView(1, table, byID, nil))
}

// prompt returns a want of a kind with the given objective and pause.
func (f *fleet) prompt(id string, tokens int, objective, pause time.Duration) Request {
	return NewRequest(id, "llm").WithTokens(tokens, 1266).WithMaxTokenInterval(pause).
		WithTimes(f.now, f.now.Add(objective), f.now.Add(15*time.Second)).
		WithFirstTokenDeadline(f.now.Add(max(2*time.Second, 4*objective, 8*pause)))
}

func (f *fleet) short(id string, tokens int) Request {
	return f.prompt(id, tokens, 300*time.Millisecond, 250*time.Millisecond)
}

func (f *fleet) long(id string, tokens int) Request {
	return f.prompt(id, tokens, 3*time.Second, time.Second)
}

func (f *fleet) call(id string) Request {
	return NewRequest(id, "desk").WithTimes(f.now, f.now.Add(300*time.Millisecond), f.now.Add(time.Second)).WithFirstTokenDeadline(f.now.Add(time.Second))
}

// granted asks and returns the grant, failing the test without one.
func (f *fleet) granted(c *qt.C, want Request) Grant {
	c.Helper()
	decision, ok := f.book.Submit(f.now, f.owner, want).(Granted)
	c.Assert(ok, qt.IsTrue, qt.Commentf("want %s not granted", want.ID()))
	return decision.Grant()
}

// Pattern: short prompts alone. Their answers are gathered on one server, since
// a pass takes as long with one writer as with many.
func TestShortAnswersAreGathered(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4, 0)
	used := make(map[string]int)
	for i := range 16 {
		id := fmt.Sprint(i)
		used[f.granted(c, f.short(id, 2000)).Server()]++
		f.now = f.now.Add(50 * time.Millisecond)
		f.book.Started(f.now, id)
	}
	c.Assert(used, qt.HasLen, 1)
	f.granted(c, f.short("one more", 2000))
	c.Assert(f.book.holds["one more"].server, qt.Not(qt.Equals), f.book.holds["0"].server)
}

// Pattern: a long prompt beside short answers. It is not read where they are
// written: a pass would pause them for longer than is on time.
func TestLongPromptIsReadAwayFromShortAnswers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(6, 0)
	short := f.granted(c, f.short("short", 2000))
	f.now = f.now.Add(100 * time.Millisecond)
	f.book.Started(f.now, "short")
	grant := f.granted(c, f.long("long", 182_000))
	c.Assert(grant.Server(), qt.Not(qt.Equals), short.Server())
	for _, helper := range grant.PrefillWorkers() {
		c.Assert(helper.Server(), qt.Not(qt.Equals), short.Server())
	}
}

// Pattern: one long prompt on an idle fleet. It is split so that its first
// event is on time, which one server alone can't do.
func TestLongPromptIsSplitToMeetItsObjective(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, 0)
	alone := testEngine.PrefillTime(182_000, 1)
	c.Assert(alone > 3*time.Second, qt.IsTrue)
	grant := f.granted(c, f.long("long", 182_000))
	c.Assert(len(grant.PrefillWorkers()) >= 2, qt.IsTrue)
	c.Assert(grant.TimeToFirstToken() <= 3*time.Second/2, qt.IsTrue, qt.Commentf("first after %v", grant.TimeToFirstToken()))
}

// Pattern: a burst of long prompts. What does not fit waits in the book, not in
// the engines, which read all that they have side by side.
func TestBurstOfLongPromptsWaitsInTheBook(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 0)
	for i := range 10 {
		f.book.Submit(f.now, f.owner, f.long(fmt.Sprint(i), 182_000))
	}
	c.Assert(f.book.Waiting() > 0, qt.IsTrue)
	for _, s := range f.book.pools["llm"].order {
		c.Assert(s.backlog(f.now) < 3*time.Second, qt.IsTrue, qt.Commentf("%s has %v to read", s.info.ID(), s.backlog(f.now)))
	}
}

// Pattern: a server that still reads a prompt of its own gets no part of
// another's, which it would read first.
func TestReaderOfItsOwnPromptDoesNotHelp(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 0)
	first := f.granted(c, f.long("first", 100_000))
	second := f.granted(c, f.long("second", 100_000))
	for _, helper := range second.PrefillWorkers() {
		c.Assert(helper.Server(), qt.Not(qt.Equals), first.Server())
	}
}

// Pattern: more long prompts than the fleet reads. Those that can still be on
// time go before those that can't, and each ends granted or refused while its
// caller is there.
func TestOverloadRefusesBeforeCallersLeave(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3, 0)
	began := f.now
	const count = 40
	ended := make(map[string]bool)
	for i := range count {
		id := fmt.Sprint(i)
		if _, queued := f.book.Submit(f.now, f.owner, f.long(id, 182_000)).(Queued); !queued {
			ended[id] = true
		}
	}
	for f.now.Sub(began) < 12*time.Second {
		f.now = f.now.Add(25 * time.Millisecond)
		for _, decision := range f.book.Tick(f.now) {
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
	c.Assert(f.book.Waiting(), qt.Equals, 0)
}

// Pattern: all entries restart at once, and each places by itself until it
// hears the others. They do not all fill the same server.
func TestEntriesOnTheirOwnSpread(t *testing.T) {
	c := qt.New(t)
	used := make(map[string]int)
	for i := range 8 {
		f := newFleet(0, 0)
		f.book = NewScheduler(fmt.Sprint("entry-", i))
		f.publish(f.servers(23, 0)...)
		for j := range 4 {
			used[f.granted(c, f.short(fmt.Sprint(j), 1000)).Server()]++
		}
	}
	for server, count := range used {
		c.Assert(count <= 16, qt.IsTrue, qt.Commentf("%s got %d", server, count))
	}
}

// Pattern: every server of a small service broke off an answer. Calls are still
// placed, since such a server can be reached.
func TestServersThatBrokeOffAreUsedWhenThereAreNoOthers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 2)
	for i := range 2 {
		id := fmt.Sprint(i)
		f.granted(c, f.call(id))
		f.book.Ended(f.now, id, OutcomeBroken)
	}
	f.granted(c, f.call("next"))
}

func TestReleaseGivesAllBack(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 2)
	for i := range 30 {
		f.book.Submit(f.now, f.owner, f.long(fmt.Sprint("l", i), 150_000))
		f.book.Submit(f.now, f.owner, f.call(fmt.Sprint("c", i)))
	}
	for i := range 30 {
		if i%2 == 0 {
			f.book.Started(f.now, fmt.Sprint("l", i))
		}
		f.book.Ended(f.now, fmt.Sprint("l", i), OutcomeComplete)
		f.book.Ended(f.now, fmt.Sprint("c", i), OutcomeComplete)
		f.book.Withdraw(fmt.Sprint("l", i))
		f.book.Withdraw(fmt.Sprint("c", i))
	}
	c.Assert(f.book.holds, qt.HasLen, 0)
	for _, p := range f.book.pools {
		for _, s := range p.order {
			c.Assert(s.holds, qt.HasLen, 0)
			c.Assert([]int{s.helping, s.memory, s.writers, s.context}, qt.DeepEquals, []int{0, 0, 0, 0})
		}
	}
}

// A cold server gets no more in any second than the bearing allows, whoever asks.
func TestColdServerIsSpared(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 0)
	f.publish(routing.NewServer("cold", "llm", "10.0.0.1:1", "a", 16).WithCold(10*time.Second).WithIncarnation(5, 9))
	var times []time.Time
	for i := range 400 {
		id := fmt.Sprint(i)
		if _, ok := f.book.Submit(f.now, f.owner, f.short(id, 10)).(Granted); ok {
			times = append(times, f.now)
			f.book.Ended(f.now, id, OutcomeComplete)
		}
		f.book.Withdraw(id)
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
		c.Assert(within <= 26, qt.IsTrue, qt.Commentf("%d in a second", within))
	}
}

func TestServerThatFailsIsSpared(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 2)
	first := f.granted(c, f.call("1"))
	f.book.Ended(f.now, "1", OutcomeStalled)
	for i := range 6 {
		c.Assert(f.granted(c, f.call(fmt.Sprint("n", i))).Server(), qt.Not(qt.Equals), first.Server())
	}
}

// Events of an owner may be lost: its declarations correct the book.
func TestDeclareCorrectsTheBook(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 0)
	f.granted(c, f.short("lost", 1000))
	kept := f.granted(c, f.short("kept", 1000))
	f.now = f.now.Add(undeclaredGrace + time.Millisecond)
	f.book.Reconcile(f.now, f.owner, []string{"llm"}, []RunningRequest{
		RestoreRunningRequest("kept", "llm", kept.Server(), nil, 1000, 1266, 0, true),
		RestoreRunningRequest("unknown", "llm", "e01", nil, 500, 1266, 0, false),
	})
	c.Assert(f.book.holds["lost"], qt.IsNil)
	c.Assert(f.book.holds["kept"].started, qt.IsTrue)
	c.Assert(f.book.holds["unknown"], qt.IsNotNil)
	f.book.ReleaseEntry(f.now, "entry-1", 0)
	c.Assert(f.book.holds, qt.HasLen, 0)
}

// A server published anew under its id is another incarnation and holds nothing.
func TestNewIncarnationHoldsNothing(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 0)
	f.publish(routing.NewServer("s", "desk", "10.0.0.1:1", "a", 6).WithIncarnation(1, 1))
	f.granted(c, f.call("1"))
	f.publish(routing.NewServer("s", "desk", "10.0.0.1:1", "a", 6).WithIncarnation(2, 2))
	c.Assert(f.book.pools["desk"].servers["s"].holds, qt.HasLen, 0)
	f.book.Ended(f.now, "1", OutcomeBroken)
	f.granted(c, f.call("2"))
}

func TestLeavingServerGetsNothing(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 0)
	f.publish(routing.NewServer("s", "desk", "10.0.0.1:1", "a", 6).WithDraining(true))
	_, queued := f.book.Submit(f.now, f.owner, f.call("1")).(Queued)
	c.Assert(queued, qt.IsTrue)
	f.now = f.now.Add(time.Second)
	decisions := f.book.Tick(f.now)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].(Refused).Reason(), qt.Equals, ReasonPastDeadline)
}

// Pattern: the entry that places requests ends in a burst of long prompts. The
// next one knows of the reading under way by what the others declare.
func TestReadingUnderWayIsKnownToTheNextPlacer(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 0)
	grant := f.granted(c, f.long("long", 182_000))
	c.Assert(len(grant.PrefillWorkers()) > 0, qt.IsTrue)
	next := newFleet(8, 0)
	next.book.Reconcile(next.now, next.owner, []string{"llm"}, f.book.Running(f.owner))
	for _, id := range append(next.book.holds["long"].helpers, grant.Server()) {
		c.Assert(next.book.pools["llm"].servers[id].backlog(next.now) > freeBacklog, qt.IsTrue)
	}
	next.book.Ended(next.now, "long", OutcomeComplete)
	for _, s := range next.book.pools["llm"].order {
		c.Assert([]int{s.helping, s.memory, s.writers}, qt.DeepEquals, []int{0, 0, 0})
		c.Assert(s.backlog(next.now), qt.Equals, time.Duration(0))
	}
}

// Pattern: a prompt larger than one engine's memory. Helpers hold what the
// first has no room for, and all of it is free when it ends.
func TestPromptOverOneMemoryIsSpread(t *testing.T) {
	c := qt.New(t)
	f := newFleet(20, 0)
	grant := f.granted(c, f.prompt("huge", 700_000, 4*time.Second, time.Second))
	reserved := 0
	for _, helper := range grant.PrefillWorkers() {
		c.Assert(helper.ReservedTokens() < testEngine.Memory(), qt.IsTrue)
		reserved += helper.ReservedTokens()
	}
	c.Assert(reserved >= 700_000+1266-testEngine.Memory(), qt.IsTrue)
	total := 0
	for _, s := range f.book.pools["llm"].order {
		c.Assert(s.memory <= testEngine.Memory(), qt.IsTrue)
		total += s.memory
	}
	c.Assert(total, qt.Equals, 700_000+1266)
	f.book.Started(f.now, "huge")
	f.book.Ended(f.now, "huge", OutcomeComplete)
	for _, s := range f.book.pools["llm"].order {
		c.Assert(s.memory, qt.Equals, 0)
	}
}

// Pattern: no fleet has room for the prompt. Its caller is told so in time.
func TestPromptOverAllMemoryIsRefused(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 0)
	_, queued := f.book.Submit(f.now, f.owner, f.long("huge", 900_000)).(Queued)
	c.Assert(queued, qt.IsTrue)
	f.now = f.now.Add(12 * time.Second)
	decisions := f.book.Tick(f.now)
	c.Assert(decisions, qt.HasLen, 1)
	_, refused := decisions[0].(Refused)
	c.Assert(refused, qt.IsTrue)
}

// Pattern: a prompt over one memory in a burst of long ones. It waits for a
// lighter load, since it reads for longer than several that can be on time.
func TestSpreadPromptWaitsForALighterLoad(t *testing.T) {
	c := qt.New(t)
	f := newFleet(23, 0)
	for i := range 12 {
		id := fmt.Sprint(i)
		if _, ok := f.book.Submit(f.now, f.owner, f.long(id, 182_000)).(Granted); ok {
			f.now = f.now.Add(250 * time.Millisecond)
		}
	}
	huge := f.prompt("huge", 700_000, 4*time.Second, time.Second)
	_, queued := f.book.Submit(f.now, f.owner, huge).(Queued)
	c.Assert(queued, qt.IsTrue)
	for i := range 12 {
		f.book.Ended(f.now, fmt.Sprint(i), OutcomeComplete)
		f.book.Withdraw(fmt.Sprint(i))
	}
	var decisions []Decision
	for len(decisions) == 0 && f.now.Before(huge.FirstTokenDeadline()) {
		f.now = f.now.Add(25 * time.Millisecond)
		decisions = f.book.Tick(f.now)
	}
	c.Assert(decisions, qt.HasLen, 1)
	_, granted := decisions[0].(Granted)
	c.Assert(granted, qt.IsTrue)
}

// BenchmarkTick measures a look at 40 prompts that wait for 78 busy engines.
// Pattern: a burst of short prompts while one server answers nothing. It draws
// few of them, although it seems to have read what it was given.
func TestMuteServerDrawsFewPrompts(t *testing.T) {
	c := qt.New(t)
	f := newFleet(6, 0)
	mute := f.granted(c, f.short("first", 4000)).Server()
	drawn := 0
	for i := range 100 {
		f.now = f.now.Add(10 * time.Millisecond)
		id := fmt.Sprint(i)
		grant := f.granted(c, f.short(id, 4000))
		if grant.Server() == mute {
			drawn++
			continue
		}
		f.book.Started(f.now.Add(grant.TimeToFirstToken()), id)
		f.book.Ended(f.now.Add(grant.TimeToFirstToken()), id, OutcomeComplete)
	}
	c.Assert(drawn <= 10, qt.IsTrue, qt.Commentf("%d of 100 went to the mute server", drawn))
	// Once it answers it is as good as any.
	f.book.Started(f.now, "first")
	for i := range 100 {
		f.book.Started(f.now, fmt.Sprint(i))
	}
	for _, s := range f.book.pools["llm"].order {
		c.Assert(s.overdueFrom.IsZero(), qt.IsTrue)
	}
}

func BenchmarkTick(b *testing.B) {
	for _, engines := range []int{78, 1000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) { benchmarkTick(b, engines) })
	}
}

func benchmarkTick(b *testing.B, engines int) {
	f := newFleet(engines, 0)
	for i := range 5 * engines {
		id := fmt.Sprint(i)
		want := f.short(id, 4000)
		if i%4 == 0 {
			want = f.long(id, 200_000)
		}
		f.book.Submit(f.now, f.owner, want)
		if i%3 != 0 {
			f.book.Started(f.now, id)
		}
	}
	for i := range 40 {
		f.book.Submit(f.now, f.owner, f.long(fmt.Sprint("w", i), 200_000))
	}
	b.ReportMetric(float64(f.book.Waiting()), "waiting")
	for b.Loop() {
		f.book.Tick(f.now)
	}
}
