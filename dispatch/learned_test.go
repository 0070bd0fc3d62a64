package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/quarantine"
)

// badPart is a part at which servers end.
const badPart quarantine.Part = 0xbad

// succession returns the fleets of a scheduler and of the one that follows it.
func succession() (first, second *fleet) {
	first, second = newFleet(12, 0), newFleet(12, 0)
	second.scheduler = NewScheduler("entry-2")
	second.publish(second.servers(12, 0)...)
	second.scheduler.SetPrimary(second.now, "llm", false)
	return first, second
}

// handOver has the second scheduler follow the first one.
func handOver(first, second *fleet) {
	second.now = first.now
	learned := first.scheduler.Learned(first.now, "llm")
	second.scheduler.MergeLearned(second.now, learned)
	second.scheduler.Tick(second.now)
	second.scheduler.SetPrimary(second.now, "llm", true)
	first.scheduler.SetPrimary(first.now, "llm", false)
	second.scheduler.MergeLearned(second.now, learned) // the second time changes nothing
}

// crashWith has further servers end under requests with the bad part, while others go well.
func (f *fleet) crashWith(c *qt.C, n int) {
	for i := range n {
		var others []string
		for j := range 12 {
			if j != len(f.scheduler.Learned(f.now, "llm").Evidence().Moments()) {
				others = append(others, fmt.Sprintf("e%02d", j))
			}
		}
		f.now = f.now.Add(200 * time.Millisecond)
		sound, bad := fmt.Sprint("sound", f.now.UnixMilli()), fmt.Sprint("bad", f.now.UnixMilli())
		f.granted(c, f.short(sound, 1000).WithParts(7))
		f.scheduler.Started(f.now, sound)
		f.scheduler.Ended(f.now, sound, OutcomeComplete)
		f.granted(c, f.short(bad, 1000).WithParts(badPart, quarantine.Part(100+i)).WithExclude(others...))
		f.scheduler.Ended(f.now, bad, OutcomeBroken)
		f.scheduler.Tick(f.now)
	}
}

// refuses reports whether the scheduler refuses requests with the bad part.
func (f *fleet) refuses() bool {
	refused, ok := f.scheduler.Submit(f.now, f.owner, f.short("check", 1000).WithParts(badPart)).(Refused)
	f.scheduler.Withdraw("check")
	f.scheduler.Ended(f.now, "check", OutcomeCancelled)
	return ok && refused.Reason() == ReasonQuarantined
}

// Guards against the fault that a scheduler which follows one that learned of a crashing
// part starts anew.
func TestHandoverKeepsEvidence(t *testing.T) {
	c := qt.New(t)
	first, second := succession()
	first.crashWith(c, 2)
	c.Assert(first.refuses(), qt.IsFalse)
	handOver(first, second)
	second.crashWith(c, 1)
	c.Assert(second.refuses(), qt.IsTrue)
}

// A request that the first scheduler placed crashes its server under the second one, also
// if its owner has not reported it: its parts are known.
func TestHandoverKeepsPartsOfRunningRequests(t *testing.T) {
	for _, reported := range []bool{true, false} {
		c := qt.New(t)
		first, second := succession()
		first.crashWith(c, 2)
		grant := first.granted(c, first.short("runs", 1000).WithParts(badPart))
		handOver(first, second)
		if reported {
			second.scheduler.Reconcile(second.now, second.owner, []string{"llm"}, []RunningRequest{
				RestoreRunningRequest("runs", "llm", grant.Server(), nil, 1000, 1266, 0, false),
			})
		}
		second.now = second.now.Add(100 * time.Millisecond)
		second.scheduler.Ended(second.now, "runs", OutcomeBroken)
		second.scheduler.Tick(second.now)
		c.Assert(second.refuses(), qt.IsTrue, qt.Commentf("reported: %v", reported))
	}
}

// A scheduler that ceases to see all requests and does so again forgets what it saw before,
// unless the one between has told it the rest.
func TestEvidenceOfAnInterruptedScheduler(t *testing.T) {
	for _, told := range []bool{true, false} {
		c := qt.New(t)
		first, second := succession()
		first.crashWith(c, 2)
		handOver(first, second)
		if told {
			handOver(second, first)
		} else {
			first.scheduler.SetPrimary(first.now, "llm", true)
		}
		first.crashWith(c, 1)
		c.Assert(first.refuses(), qt.Equals, told)
	}
}

// A scheduler that does not follow after all forgets the evidence: it does not see what
// speaks for the parts. One that has worked beside the sender for long takes none.
func TestHandoverThatIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	first, second := succession()
	first.crashWith(c, 2)
	second.now = first.now
	second.scheduler.MergeLearned(second.now, first.scheduler.Learned(first.now, "llm"))
	second.now = second.now.Add(maxLearnedAge + time.Second)
	second.scheduler.Tick(second.now)
	second.scheduler.SetPrimary(second.now, "llm", true)
	second.crashWith(c, 1)
	c.Assert(second.refuses(), qt.IsFalse)

	second.now = second.now.Add(maxLearnedAge + time.Second)
	second.scheduler.MergeLearned(second.now, first.scheduler.Learned(first.now, "llm"))
	second.crashWith(c, 1)
	c.Assert(second.refuses(), qt.IsFalse)
}

// Guards against sound requests that are refused: a part that settled shortly before the
// handover is not blamed for the ends of servers shortly after it.
func TestHandoverKeepsWhatSpeaksForParts(t *testing.T) {
	c := qt.New(t)
	first, second := succession()
	first.granted(c, first.short("sound", 1000).WithParts(badPart))
	first.scheduler.Started(first.now, "sound")
	first.scheduler.Ended(first.now, "sound", OutcomeComplete)
	handOver(first, second)
	second.crashWith(c, 4)
	c.Assert(second.refuses(), qt.IsFalse)
}

// A request that was refused because it crashes servers is refused by the next scheduler.
func TestHandoverKeepsRepeats(t *testing.T) {
	c := qt.New(t)
	first, second := succession()
	again := quarantine.Fingerprint{1}
	for i := range 3 {
		id := fmt.Sprint("again", i)
		first.now = first.now.Add(minSuspension / 4)
		first.granted(c, first.short(id, 1000).WithFingerprint(again))
		first.now = first.now.Add(minSuspension / 4) // so that each end is another server's
		first.scheduler.Ended(first.now, id, OutcomeBroken)
	}
	handOver(first, second)
	refused, ok := second.scheduler.Submit(second.now, second.owner, second.short("again", 1000).WithFingerprint(again)).(Refused)
	c.Assert(ok && refused.Reason() == ReasonQuarantined, qt.IsTrue)
}

// A server that was suspended stays so for as long, and no longer if it is known to have
// answered since.
func TestHandoverKeepsSuspensions(t *testing.T) {
	c := qt.New(t)
	first, second := succession()
	grant := first.granted(c, first.short("stalls", 1000))
	first.scheduler.Ended(first.now, "stalls", OutcomeStalled)
	handOver(first, second)
	s := second.scheduler.pools["llm"].servers[grant.Server()]
	c.Assert(s.available(second.now), qt.IsFalse)
	c.Assert(s.consecutiveFailures, qt.Equals, 1)
	c.Assert(s.available(second.now.Add(stallSuspension)), qt.IsTrue)

	before := second.scheduler.Learned(second.now, "llm")
	second.now = second.now.Add(stallSuspension)
	s.recordOutcome(second.now, "entry-1", OutcomeComplete)
	second.scheduler.MergeLearned(second.now, before)
	c.Assert(s.consecutiveFailures, qt.Equals, 0)
}

// Guards against LIMIT across a planned stop: a server's limit is as full for the next
// scheduler as it was, neither empty nor, with a pause in its use, full.
func TestHandoverKeepsRateLimits(t *testing.T) {
	c := qt.New(t)
	first, second := succession()
	for _, f := range []*fleet{first, second} {
		f.limit("e00", 2)
		f.limit("e01", 2)
	}
	first.now = first.now.Add(5 * time.Second) // both are empty
	s := first.scheduler.pools["llm"].servers["e00"]
	c.Assert(s.limit.bucket.admits(first.now, 2), qt.IsTrue)
	s.limit.countSend()
	handOver(first, second)
	level := func(id string) float64 {
		l := second.scheduler.pools["llm"].servers[id].limit
		return l.bucket.levelAt(second.now, l.perSecond)
	}
	c.Assert(level("e00") > 0.9, qt.IsTrue, qt.Commentf("%v", level("e00")))
	c.Assert(level("e00") < fullLevel, qt.IsTrue, qt.Commentf("%v", level("e00")))
	c.Assert(level("e01"), qt.Equals, 0.0)
}
