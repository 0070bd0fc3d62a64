package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"greengagedock.example/flagtest"
	"greengagedock.example/routing"
)

// The terms of a server's rate limit: what reaches it in any limitWindow, from limitSettle
// after it was first stated.
const (
	limitWindow = 4 * time.Second
	limitSettle = 3 * time.Second
)

// allowedSends returns how many sends may reach a server in limitWindow.
func allowedSends(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds() + 5) }

// mostSends returns the largest number of sends within limitWindow, of those from a time on.
func mostSends(sends []time.Time, from time.Time) int {
	most, first := 0, 0
	for i, at := range sends {
		for first < i && (at.Sub(sends[first]) > limitWindow || sends[first].Before(from)) {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// limit has a server state a rate limit, 0 for none.
func (f *fleet) limit(id string, perSecond float64) {
	server := routing.NewIncarnation(id, 0)
	limit := routing.NoRateLimit(f.now)
	if perSecond > 0 {
		limit = routing.NewRateLimit(perSecond, f.now)
	}
	f.notices.Add(f.now, routing.NewLimiting(server, limit))
	f.scheduler.SetRateLimit(f.now, server, limit)
}

// Guards against LIMIT under a load that is packed on few servers: the one that is
// preferred gets no more than it takes, what it does not take goes elsewhere at once, and
// it is used as far as it allows.
func TestLimitedServerGetsWhatItTakes(t *testing.T) {
	c := qt.New(t)
	for _, limit := range []float64{0.5, 2, 2.3, 10} {
		f := newFleet(4, 0)
		f.limit("e00", limit)
		var sends []time.Time
		start := f.now
		for i := 0; f.now.Before(start.Add(30 * time.Second)); i++ {
			id := fmt.Sprint("r", i)
			// The others are excluded by every third request, as after failed sends.
			request := f.short(id, 2000)
			if i%3 == 0 {
				request = request.WithExclude("e01", "e02", "e03")
			}
			grant := f.granted(c, request)
			c.Assert(grant.PrefillWorkers(), qt.HasLen, 0)
			if grant.Server() == "e00" {
				sends = append(sends, f.now)
			}
			f.scheduler.Started(f.now, id)
			f.scheduler.Ended(f.now, id, OutcomeComplete)
			f.now = f.now.Add(20 * time.Millisecond)
		}
		c.Assert(mostSends(sends, start) <= allowedSends(limit), qt.IsTrue, qt.Commentf("limit %v: %d", limit, mostSends(sends, start)))
		c.Assert(float64(len(sends)) >= 0.9*limit*30-1, qt.IsTrue, qt.Commentf("limit %v: %d", limit, len(sends)))
	}
}

// Guards against LIMIT on each way on which a request gets a server: as the only one left,
// suspended in need, at its end, after a view was published, and as a prefill worker.
func TestRateLimitHoldsOnEveryPath(t *testing.T) {
	c := qt.New(t)
	f := newFleet(5, 2)
	start := f.now
	f.limit("e00", 2)
	f.limit("p00", 2)
	sends := make(map[string][]time.Time)
	for i := 0; f.now.Before(start.Add(20 * time.Second)); i++ {
		requests := []Request{
			f.long(fmt.Sprint("l", i), 120_000),
			f.short(fmt.Sprint("s", i), 1000).WithExclude("e01", "e02", "e03", "e04"),
			f.plainRequest(fmt.Sprint("p", i)).WithExclude("p01"),
			f.plainRequest(fmt.Sprint("q", i)),
		}
		for _, request := range requests {
			granted, ok := f.scheduler.Submit(f.now, f.owner, request).(Granted)
			if !ok {
				f.scheduler.Withdraw(request.ID())
				continue
			}
			if len(granted.Grant().PrefillWorkers()) > 0 {
				for _, worker := range granted.Grant().PrefillWorkers() {
					c.Assert(worker.Server(), qt.Not(qt.Equals), "e00")
				}
			}
			sends[granted.Grant().Server()] = append(sends[granted.Grant().Server()], f.now)
			outcome := []Outcome{OutcomeComplete, OutcomeBroken, OutcomeServerError, OutcomeRejected, OutcomeUnreachable}[i%5]
			f.scheduler.Ended(f.now, request.ID(), outcome)
		}
		if i%10 == 0 {
			f.scheduler.SetView(f.now, f.view)
		}
		f.now = f.now.Add(30 * time.Millisecond)
		f.scheduler.Tick(f.now)
	}
	for _, id := range []string{"e00", "p00"} {
		c.Assert(len(sends[id]) > 0, qt.IsTrue)
		c.Assert(mostSends(sends[id], start) <= allowedSends(2), qt.IsTrue, qt.Commentf("%s: %d", id, mostSends(sends[id], start)))
	}
}

// A prompt that exceeds the memory of one engine takes servers with a rate limit only if
// the others can't hold it, and each of them counts it.
func TestSpreadPromptSparesLimitedServers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(6, 0)
	f.limit("e00", 1)
	f.now = f.now.Add(2 * time.Second)
	grant := f.granted(c, f.prompt("r1", 600_000, 10*time.Second, time.Second))
	c.Assert(grant.Servers(), qt.Not(qt.Contains), "e00")

	f = newFleet(4, 0)
	for i := range 4 {
		f.limit(fmt.Sprintf("e%02d", i), 1)
	}
	f.now = f.now.Add(2 * time.Second)
	grant = f.granted(c, f.prompt("r1", 600_000, 10*time.Second, time.Second))
	c.Assert(len(grant.Servers()) > 1, qt.IsTrue)
	for _, id := range grant.Servers() {
		c.Assert(f.scheduler.pools["llm"].servers[id].limit.bucket.level, qt.Equals, 1.0)
	}
}

// Guards against LIMIT while the scheduler changes: the next one has not counted what the
// earlier one sent.
func TestRateLimitHoldsWhileSchedulersChange(t *testing.T) {
	c := qt.New(t)
	const limit = 2.0
	f := newFleet(0, 2)
	start := f.now
	schedulers := []*Scheduler{NewScheduler("entry-1"), NewScheduler("entry-2"), NewScheduler("entry-3")}
	f.limit("p00", limit)
	f.now = f.now.Add(time.Minute) // their buckets are empty by then
	for _, s := range schedulers {
		s.SetView(f.now, f.view)
		s.SetRateLimitShare("desk", 0.5)
		s.SetPrimary(f.now, "desk", false)
	}
	var sends []time.Time
	for i := range 2000 {
		primary := i / 150 % 3 // for three seconds
		if i%150 == 0 {
			for j, s := range schedulers {
				s.SetPrimary(f.now, "desk", j == primary)
				s.SetRateLimitShare("desk", map[bool]float64{true: 1, false: 0.5}[j == primary])
			}
		}
		id := fmt.Sprint("r", i)
		granted, ok := schedulers[primary].Submit(f.now, f.owner, f.plainRequest(id)).(Granted)
		c.Assert(ok, qt.IsTrue)
		if granted.Grant().Server() == "p00" {
			sends = append(sends, f.now)
		}
		schedulers[primary].Ended(f.now, id, OutcomeComplete)
		f.now = f.now.Add(20 * time.Millisecond)
	}
	c.Assert(mostSends(sends, start) <= allowedSends(limit), qt.IsTrue, qt.Commentf("%d", mostSends(sends, start)))
	c.Assert(len(sends) > 40, qt.IsTrue, qt.Commentf("%d", len(sends)))
}

// Guards against LIMIT while entries schedule on their own, as in a partition or after all
// of them were killed: together they stay within the limit, few or many of them.
func TestRateLimitHoldsForEntriesThatScheduleAlone(t *testing.T) {
	c := qt.New(t)
	for _, entries := range []int{2, 8, 75, 300} {
		for _, limit := range []float64{0.25, 2, 20} {
			f := newFleet(0, 2)
			f.limit("p00", limit)
			var schedulers []*Scheduler
			for i := range entries {
				s := NewScheduler(fmt.Sprint("entry-", i))
				s.SetView(f.now, f.view)
				s.SetRateLimitShare("desk", 0)
				if i < 2 {
					s.SetRateLimitShare("desk", 0.5)
				}
				s.SetPrimary(f.now, "desk", false)
				schedulers = append(schedulers, s)
			}
			start := f.now
			var sends []time.Time
			for i := 0; f.now.Before(start.Add(40 * time.Second)); i++ {
				for j, s := range schedulers {
					id := fmt.Sprint("r", i, "-", j)
					if granted, ok := s.Submit(f.now, f.owner, f.plainRequest(id)).(Granted); ok && granted.Grant().Server() == "p00" {
						sends = append(sends, f.now)
					}
					s.Ended(f.now, id, OutcomeComplete)
				}
				f.now = f.now.Add(50 * time.Millisecond)
				if i%200 == 199 {
					f.now = f.now.Add(12 * time.Second) // a pause in which buckets drain
				}
			}
			comment := qt.Commentf("%d entries, limit %v: %d", entries, limit, mostSends(sends, start))
			c.Assert(mostSends(sends, start) <= allowedSends(limit), qt.IsTrue, comment)
			c.Assert(len(sends) > 0, qt.IsTrue, comment)
		}
	}
}

// Guards against callers that are held though the rate limits of all servers leave no room:
// they are refused at once, also those that wait when the limit falls, and may return at
// the rate at which they can be served.
func TestCallersAreRefusedOverAllRateLimits(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 2)
	f.limit("p00", 2)
	f.limit("p01", 3)
	f.now = f.now.Add(time.Second)
	f.granted(c, f.plainRequest("r1"))
	f.granted(c, f.plainRequest("r2"))
	c.Assert(f.scheduler.Submit(f.now, f.owner, f.plainRequest("soon1")), qt.Equals, Queued{})
	c.Assert(f.scheduler.Submit(f.now, f.owner, f.plainRequest("soon2")), qt.Equals, Queued{})
	var last time.Duration
	for i := range 60 {
		refused, ok := f.scheduler.Submit(f.now, f.owner, f.plainRequest(fmt.Sprint("x", i))).(Refused)
		c.Assert(ok, qt.IsTrue)
		c.Assert(refused.Reason(), qt.Equals, ReasonServersLimited)
		c.Assert(refused.RetryAfter()-last >= 190*time.Millisecond, qt.IsTrue, qt.Commentf("%v after %v", refused.RetryAfter(), last)) // five a second
		last = refused.RetryAfter()
	}
	c.Assert(last <= 14*time.Second, qt.IsTrue, qt.Commentf("%v", last))

	// A request that waits for a slot is refused once the limit falls, and one of a lower
	// priority when others come.
	f = newFleet(1, 0)
	f.limit("e00", 4)
	f.now = f.now.Add(time.Second)
	f.granted(c, f.short("r1", 1000))
	for i := range 4 {
		c.Assert(f.scheduler.Submit(f.now, f.owner, f.short(fmt.Sprint("w", i), 1000).WithPriority(3)), qt.Equals, Queued{})
	}
	f.limit("e00", 1)
	decisions := f.scheduler.Tick(f.now)
	c.Assert(decisions, qt.HasLen, 2)
	for _, d := range decisions {
		c.Assert(d.(Refused).Reason(), qt.Equals, ReasonServersLimited)
	}
	c.Assert(f.scheduler.Submit(f.now, f.owner, f.short("urgent", 1000).WithPriority(1)), qt.Equals, Queued{})
	decisions = f.scheduler.Tick(f.now)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].(Refused).ID(), qt.Not(qt.Equals), "urgent")
}

// Guards against callers that are refused although a server without a rate limit may take
// them soon: one that is suspended after a failure, or full.
func TestSuspendedServerWithoutLimitIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	for _, outcome := range []Outcome{OutcomeUnreachable, OutcomeBroken, OutcomeRejected} {
		f := newFleet(2, 0)
		f.limit("e00", 0.5)
		f.scheduler.Ended(f.now, f.granted(c, f.short("r1", 1000)).ID(), outcome)
		request := f.short("r2", 1000).WithExclude("e01")
		decisions := []Decision{f.scheduler.Submit(f.now, f.owner, request)}
		if _, queued := decisions[0].(Queued); queued {
			for decisions = nil; decisions == nil; {
				f.now = f.now.Add(TickInterval)
				decisions = f.scheduler.Tick(f.now)
			}
		}
		granted, ok := decisions[0].(Granted)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%s", outcome))
		c.Assert(granted.Grant().Server(), qt.Equals, "e01", qt.Commentf("%s", outcome))
	}
}

// Guards against queued requests that wait in vain: those that arrive later do not take
// the little that the rate limits of all servers leave.
func TestQueuedRequestsGoFirstUnderRateLimits(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	f.limit("e00", 2)
	f.now = f.now.Add(time.Second)
	f.granted(c, f.short("r1", 1000))
	c.Assert(f.scheduler.Submit(f.now, f.owner, f.short("first", 1000)), qt.Equals, Queued{})
	for i := range 100 {
		f.now = f.now.Add(5 * time.Millisecond)
		if _, ok := f.scheduler.Submit(f.now, f.owner, f.short(fmt.Sprint("later", i), 1000)).(Granted); ok {
			c.Fatalf("request %d overtook", i)
		}
		if decisions := f.scheduler.Tick(f.now); len(decisions) > 0 {
			if granted, ok := decisions[0].(Granted); ok {
				c.Assert(granted.Grant().ID(), qt.Equals, "first")
				return
			}
		}
	}
	c.Fatal("the first one was not placed")
}

// Guards against LIMIT, and against a server that stays limited: a limit ends when the
// server states none, with its incarnation, and one near nothing lets a request through
// now and then, whose answer may end it.
func TestRateLimitEnds(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 1)
	f.limit("p00", 0.001)
	passed := 0
	for i := range 200 {
		id := fmt.Sprint("r", i)
		if _, ok := f.scheduler.Submit(f.now, f.owner, f.plainRequest(id)).(Granted); ok {
			passed++
		}
		f.scheduler.Withdraw(id)
		f.scheduler.Ended(f.now, id, OutcomeComplete)
		f.now = f.now.Add(100 * time.Millisecond)
	}
	c.Assert(passed >= 4 && passed <= 6, qt.IsTrue, qt.Commentf("%d in 20 s", passed))
	f.limit("p00", 0)
	for i := range 5 {
		f.granted(c, f.plainRequest(fmt.Sprint("free", i)))
	}

	f.limit("p00", 0.001)
	f.publish(f.servers(0, 1)[0].WithIncarnation(7, routing.NewRevision(0, 3)))
	for i := range 5 {
		f.granted(c, f.plainRequest(fmt.Sprint("later", i)))
	}
	f.limit("p00", 0.001) // of the incarnation that has ended
	f.granted(c, f.plainRequest("last"))
}

// Guards against LIMIT: whatever happens in whatever order, no server with a rate limit
// gets more than it allows, and a request that is refused for that could not be served.
func TestRateLimitsInAnyOrder(t *testing.T) {
	flagtest.SetDefault(t, "rapid.seed", "1")
	flagtest.SetDefault(t, "rapid.checks", "200")
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(3, 2)
		ids := []string{"e00", "e01", "e02", "p00", "p01"}
		limits := make(map[string]float64)
		limitedAt := make(map[string]time.Time)
		sends := make(map[string][]time.Time)
		waiting := make(map[string]bool)
		record := func(d Decision) {
			switch d := d.(type) {
			case Granted:
				delete(waiting, d.Grant().ID())
				for _, id := range d.Grant().Servers() {
					sends[id] = append(sends[id], f.now)
					if limit := limits[id]; limit > 0 {
						if most := mostSends(sends[id], limitedAt[id]); most > allowedSends(limit) {
							t.Fatalf("%s with limit %v: %d sends", id, limit, most)
						}
					}
				}
			case Refused:
				delete(waiting, d.ID())
				if d.Reason() == ReasonServersLimited && (d.RetryAfter() <= 0 || d.RetryAfter() > maxRefusedRetryAfter) {
					t.Fatalf("retry after %v", d.RetryAfter())
				}
			case Queued:
			}
		}
		var open []string
		for step := range rapid.IntRange(50, 300).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "server")
			switch rapid.SampledFrom([]string{"submit", "submit", "submit", "submit", "end", "end", "limit", "unlimit", "primary", "wait", "wait"}).Draw(t, "event") {
			case "submit":
				request := f.plainRequest(fmt.Sprint("r", step))
				if id[0] == 'e' {
					request = f.long(request.ID(), rapid.SampledFrom([]int{1000, 60_000, 500_000}).Draw(t, "prompt"))
				}
				waiting[request.ID()] = true
				record(f.scheduler.Submit(f.now, f.owner, request.WithExclude(id)))
				open = append(open, request.ID())
			case "end":
				if len(open) > 0 {
					f.scheduler.Ended(f.now, open[0], rapid.SampledFrom([]Outcome{OutcomeComplete, OutcomeBroken, OutcomeRejected, OutcomeStalled, OutcomeUnreachable}).Draw(t, "outcome"))
					open = open[1:]
				}
			case "limit":
				limit := float64(rapid.IntRange(1, 20).Draw(t, "limit")) / 2
				if limits[id] != limit {
					limits[id], limitedAt[id] = limit, f.now
				}
				f.limit(id, limit)
			case "unlimit":
				delete(limits, id)
				f.limit(id, 0)
			case "primary":
				f.scheduler.SetPrimary(f.now, "llm", rapid.Bool().Draw(t, "llm"))
				f.scheduler.SetPrimary(f.now, "desk", rapid.Bool().Draw(t, "desk"))
			case "wait":
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				for _, d := range f.scheduler.Tick(f.now) {
					record(d)
				}
			}
		}
	})
}
