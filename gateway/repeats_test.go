package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/dispatch"
	"greengagedock.example/quarantine"
)

// crashingRepeat identifies a request at which servers end.
var crashingRepeat = quarantine.NewFingerprint("account", "GET", "h", "/bad", "", nil)

// crashRepeat has a server end at the request that servers don't survive, one that has not
// ended before, and returns the servers that have. None is added if the entry refuses the
// request.
func crashRepeat(c *control, now time.Time, ended []string) []string {
	request := c.crashingRequest(now, fmt.Sprint("bad-", now.UnixMilli())).WithParts().WithFingerprint(crashingRepeat).WithExclude(ended...)
	granted, ok := c.scheduler.Submit(now, c.owner, request).(dispatch.Granted)
	if !ok {
		return ended
	}
	c.scheduler.Ended(now, granted.Grant().ID(), dispatch.OutcomeBroken)
	return append(ended, granted.Grant().Server())
}

// Guards against BUDGET: each end of a server under a request that comes again is seen by
// another entry, which schedules since the one before it was killed.
func TestRepeatsAreKnownToTheNextScheduler(t *testing.T) {
	for _, entries := range []int{2, 8, 30} {
		c := qt.New(t)
		now := time.Unix(1000, 0)
		var all []*control
		for i := range entries {
			all = append(all, newSuspicionEntry(i+1, now))
		}
		var ended []string
		for i := range 4 * entries {
			scheduler, next := all[i%entries], all[(i+1)%entries]
			ended = crashRepeat(scheduler, now, ended)
			// The next scheduler heard of the end from one that is left.
			exchange(now, next, scheduler)
			now = now.Add(200 * time.Millisecond)
			serve(scheduler, now, fmt.Sprint("sound-", i))
		}
		c.Assert(ended, qt.HasLen, 3, qt.Commentf("%d entries", entries))
	}
}

// An entry that does not schedule knows the ends under its own requests, and tells the
// entry that takes over.
func TestRepeatsOfOtherEntriesAreLearned(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	scheduler, entry := newSuspicionEntry(1, now), newSuspicionEntry(2, now)
	entry.scheduler.SetPrimary(now, "llm", false)
	for i := range 3 {
		now = now.Add(200 * time.Millisecond)
		request := entry.crashingRequest(now, fmt.Sprint("r", i)).WithParts().WithFingerprint(crashingRepeat)
		entry.scheduler.Adopt(now, entry.owner, dispatch.NewRunningRequest(request, fmt.Sprint("s", i), nil))
		entry.scheduler.Ended(now, request.ID(), dispatch.OutcomeBroken)
	}
	c.Assert(entry.repeats().Refused(), qt.HasLen, 1)
	c.Assert(scheduler.repeats().Refused(), qt.HasLen, 0)
	exchange(now, scheduler, entry)
	c.Assert(crashRepeat(scheduler, now, nil), qt.HasLen, 0)

	// Entries that know the same send nothing.
	c.Assert(scheduler.answerHeartbeat(now, entry.newHeartbeat(now, heartbeatTarget{})).Repeats, qt.HasLen, 0)

	// A request that settles is served everywhere.
	now = now.Add(time.Minute)
	request := scheduler.crashingRequest(now, "probe").WithParts().WithFingerprint(crashingRepeat)
	granted, ok := scheduler.scheduler.Submit(now, scheduler.owner, request).(dispatch.Granted)
	c.Assert(ok, qt.IsTrue)
	scheduler.scheduler.Ended(now, granted.Grant().ID(), dispatch.OutcomeComplete)
	exchange(now, entry, scheduler)
	c.Assert(entry.repeats().Refused(), qt.HasLen, 0)
}

// What a scheduler must know of a request that comes again reaches it with each message.
func TestMessagesCarryRepeats(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	entry := newSuspicionEntry(1, now)
	request := entry.crashingRequest(now, "r").WithFingerprint(crashingRepeat)
	_, decoded := encodeRequest(entry.owner, request, now).decode(now)
	c.Assert(decoded.Fingerprint(), qt.Equals, crashingRepeat)

	repeat := quarantine.NewRepeat(crashingRepeat, quarantine.NewEnd("s1/5", now.Add(-3*time.Second), now.Add(-2*time.Second)), quarantine.NewEnd("s2/6", now.Add(-2*time.Second), now.Add(-time.Second))).
		WithProbes(1, now.Add(-time.Second)).WithAsked(now.Add(-3 * time.Second)).WithSettled(now.Add(-time.Minute))
	entry.repeats().Merge(now, []quarantine.Repeat{repeat})
	got := entry.encodeRepeats(now)[0].decode(now)
	c.Assert(got.Fingerprint(), qt.Equals, repeat.Fingerprint())
	c.Assert(got.Ends(), qt.CmpEquals(cmp.AllowUnexported(quarantine.End{})), repeat.Ends())
	c.Assert(got.Probes(), qt.Equals, 1)
	c.Assert(got.ProbedAt(), qt.Equals, repeat.ProbedAt())
	c.Assert(got.AskedAt(), qt.Equals, repeat.AskedAt())
	c.Assert(got.SettledAt(), qt.Equals, repeat.SettledAt())
}

// A refused request is logged once, and once it is no longer refused.
func TestRefusedRepeatIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	entry := newSuspicionEntry(1, now)
	var out strings.Builder
	entry.log = hclog.New(&hclog.LoggerOptions{Output: &out})
	var ended []string
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		ended = crashRepeat(entry, now, ended)
		entry.logRepeats()
	}
	c.Assert(strings.Count(out.String(), "request crashes servers"), qt.Equals, 1)
	now = now.Add(2 * time.Hour)
	entry.scheduler.Tick(now)
	entry.logRepeats()
	c.Assert(strings.Count(out.String(), "request no longer refused"), qt.Equals, 1)
}
