package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A server that refused a request for a time gets nothing for that time, whatever its reports
// say; it does again afterwards, or when it has started anew. Callers that could only be
// served there are told when to return.
func TestRefusingServerGetsNothingForItsTime(t *testing.T) {
	for _, test := range []struct {
		name           string
		wait, free     time.Duration
		owner          Owner
		newIncarnation bool
		refusesAtOnce  bool
	}{
		{"a time", 3 * time.Second, 3 * time.Second, testOwner, false, true},
		{"longer than counts", time.Hour, maxRetryAfter, testOwner, false, true},
		{"not the owner of the slot", 3 * time.Second, 0, NewOwner("entry-2", 1), false, false},
		{"started anew", 3 * time.Second, 500 * time.Millisecond, testOwner, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			a := testAllocator("s1")
			a.Request(testStart, testRequest("1", 1_000, testStart))
			a.Refused(testStart, test.owner, "s1", "1", test.wait)
			a.Release(testStart, testOwner, "s1", "1", OutcomeNotStarted)
			b := a.backend("s1")
			c.Assert(b.suspendedReason(testStart) == "refuses requests", qt.Equals, test.refusesAtOnce)
			if test.refusesAtOnce {
				late := NewSlotRequest("late", testOwner, "account-1", testWorkload, NewCost(1_000, 100), testStart.Add(2*time.Second))
				decisions := a.Request(testStart, late)
				c.Assert(decisions, qt.HasLen, 1)
				denied, ok := decisions[0].(Denied)
				c.Assert(ok, qt.IsTrue)
				c.Assert(denied.Refusal().RetryAfter() >= time.Second, qt.IsTrue)
			}
			incarnation := "a"
			for at := 500 * time.Millisecond; at <= test.free; at += 500 * time.Millisecond {
				now := testStart.Add(at)
				if test.newIncarnation {
					incarnation = "b"
				}
				a.Report(now, testReport("s1", incarnation))
				c.Assert(b.suspendedReason(now) == "", qt.Equals, at >= test.free, qt.Commentf("%v", at))
			}
		})
	}
}
