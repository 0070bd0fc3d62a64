package gateway

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"greengagedock.example/dispatch"
	"greengagedock.example/mesh"
)

// replacedFleet is a fleet whose entries are replaced one by one, in virtual time.
type replacedFleet struct {
	c       *qt.C
	now     time.Time
	entries []*control
	starts  int
	// ended holds the servers that ended.
	ended []string
	// told is set if entries tell others what they learned.
	told bool
}

func newReplacedFleet(c *qt.C, entries int, told bool) *replacedFleet {
	f := &replacedFleet{c: c, now: time.Unix(1000, 0), told: told}
	for i := range entries {
		f.entries = append(f.entries, nil)
		f.start(i)
	}
	f.run(10 * time.Second)
	return f
}

// start starts an entry anew, which knows nothing.
func (f *replacedFleet) start(i int) {
	f.starts++
	entry := newNoticeEntry(i+1, f.now)
	entry.members.self.Incarnation = uint64(f.starts)
	entry.members.self.CPUCores = 1
	entry.owner = dispatch.NewOwner(entry.settings.ID(), uint64(f.starts))
	entry.tell = func(h handover) {
		if f.told {
			f.deliver(h)
		}
	}
	entry.setState(memberReady)
	f.entries[i] = entry
}

// run has the entries exchange heartbeats for a time.
func (f *replacedFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(heartbeatInterval) {
		for _, from := range f.entries {
			from.members.self.Heartbeats++
			for _, to := range f.entries {
				if from != to {
					exchange(f.now, from, to)
				}
			}
			from.tick(f.now)
		}
	}
}

// deliver makes a call, as it is encoded.
func (f *replacedFleet) deliver(call handover) {
	encoded, err := msgpack.Marshal(call.message)
	f.c.Assert(err, qt.IsNil)
	var message learnedMessage
	f.c.Assert(msgpack.Unmarshal(encoded, &message), qt.IsNil)
	for _, to := range f.entries {
		if to.members.self.ID == call.to.ID {
			to.applyLearned(f.now, message)
		}
	}
}

// tellNext has a stopping entry tell the next one, once some are gone.
func (f *replacedFleet) tellNext(entry *control, gone ...*control) {
	ids := map[string]bool{entry.members.self.ID: true}
	for _, other := range gone {
		ids[other.members.self.ID] = true
	}
	for _, call := range entry.stopHandovers(f.now, ids, nil) {
		f.deliver(call)
	}
}

// crash has further servers end under an entry's requests with the crashing part, while
// another request goes well.
func (f *replacedFleet) crash(entry *control, n int) {
	serve(entry, f.now, "sound")
	for range n {
		f.now = f.now.Add(200 * time.Millisecond)
		request := entry.crashingRequest(f.now, "bad").WithExclude(f.ended...)
		granted, ok := entry.scheduler.Submit(f.now, entry.owner, request).(dispatch.Granted)
		f.c.Assert(ok, qt.IsTrue)
		f.ended = append(f.ended, granted.Grant().Server())
		entry.scheduler.Ended(f.now, "bad", dispatch.OutcomeBroken)
		entry.scheduler.Tick(f.now)
	}
}

// stop has an entry stop as planned and start anew, so that others know of it.
func (f *replacedFleet) stop(i int) {
	leaving := f.entries[i]
	if f.told {
		f.tellNext(leaving)
	}
	leaving.setState(memberLeaving)
	f.run(lameDuckPeriod)
	if f.told {
		f.tellNext(leaving)
	}
	f.start(i)
	f.run(2 * heartbeatInterval)
}

// scheduler returns the number of the entry that schedules.
func (f *replacedFleet) scheduler() int {
	for i, entry := range f.entries {
		if entry.members.scheduler(f.now, "llm") == nil {
			return i
		}
	}
	f.c.Fatal("no scheduler")
	return 0
}

// Guards against the fault that a scheduler which stops as planned loses what it learns:
// while entries are replaced one after the other, each scheduler sees fewer ends than it
// takes, and the last one knows the part all the same.
func TestRollingReplacementKeepsEvidence(t *testing.T) {
	for _, told := range []bool{true, false} {
		c := qt.New(t)
		f := newReplacedFleet(c, 4, told)
		for n := range 3 {
			i := f.scheduler()
			f.crash(f.entries[i], 1)
			f.stop(i)
			if n == 0 {
				f.run(2 * settledRounds * heartbeatInterval) // the fresh entry schedules again
			}
		}
		for i := range f.entries {
			f.stop(i)
		}
		c.Assert(refusesPart(f.entries[f.scheduler()], f.now), qt.Equals, told)
	}
}

// An entry that was told and stops before it schedules, or is told as it stops, passes on
// what it was told.
func TestHandoverIsPassedOn(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		c := qt.New(t)
		f := newReplacedFleet(c, 4, true)
		first := f.entries[f.scheduler()]
		f.crash(first, 2)
		calls := first.stopHandovers(f.now, map[string]bool{first.members.self.ID: true}, nil)
		c.Assert(calls, qt.HasLen, 1)
		second := f.entries[slices.IndexFunc(f.entries, func(e *control) bool { return e.members.self.ID == calls[0].to.ID })]
		if leaving {
			second.setState(memberLeaving)
			f.deliver(calls[0])
		} else {
			f.deliver(calls[0])
			f.tellNext(second, first)
			second.setState(memberLeaving)
		}
		first.setState(memberLeaving)
		f.run(2 * heartbeatInterval)
		third := f.entries[f.scheduler()]
		c.Assert(third != first && third != second, qt.IsTrue)
		f.crash(third, 1)
		c.Assert(refusesPart(third, f.now), qt.IsTrue, qt.Commentf("leaving: %v", leaving))
	}
}

// callerFunc answers calls of other entries.
type callerFunc func(address, kind string, call any) error

// Call implements entryCaller.
func (f callerFunc) Call(_ context.Context, address, kind string, call, _ any) error {
	return f(address, kind, call)
}

// A stopping entry tells another one if the next one can't be reached, and none if that is
// of a version that does not know the call.
func TestHandoverToUnreachableAndOlderEntries(t *testing.T) {
	for _, failure := range []error{mesh.ErrUnreachable, mesh.ErrRefused} {
		c := qt.New(t)
		f := newReplacedFleet(c, 4, true)
		first := f.entries[f.scheduler()]
		f.crash(first, 2)
		var addresses []string
		first.caller = callerFunc(func(address, kind string, _ any) error {
			c.Check(kind, qt.Equals, callLearned)
			addresses = append(addresses, address)
			if len(addresses) == 1 {
				return failure
			}
			return nil
		})
		stop := make(chan struct{})
		c.Cleanup(func() { close(stop) })
		for _, known := range first.members.byID {
			known.lastHeard = first.timers.Now() // from here on in real time
		}
		go first.run(stop)
		first.handOver(context.Background())
		want := map[error]int{mesh.ErrUnreachable: 2, mesh.ErrRefused: 1}[failure]
		c.Assert(addresses, qt.HasLen, want, qt.Commentf("%v", failure))
		c.Assert(first.handovers.values(), qt.DeepEquals, map[string]int64{"sent": int64(want - 1), "failed": 1, "merged": 0})
	}
}

// Fields that a version does not know are skipped, and what it can't read of one part does
// not keep it from the others.
func TestLearnedMessageSkipsUnknownFields(t *testing.T) {
	c := qt.New(t)
	encoded, err := msgpack.Marshal(map[string]any{
		"From": "e9", "Later": []int{1}, "Services": []map[string]any{
			{"Service": "llm", "Speeds": map[string]float64{"s1": 2}, "Servers": []map[string]any{{"Server": "s1", "Consecutive": 2, "Speed": 2.5}}},
		},
	})
	c.Assert(err, qt.IsNil)
	var message learnedMessage
	c.Assert(msgpack.Unmarshal(encoded, &message), qt.IsNil)
	c.Assert(message, qt.DeepEquals, learnedMessage{From: "e9", Services: []learnedServiceMessage{
		{Service: "llm", Servers: []learnedServerMessage{{Server: "s1", Consecutive: 2}}},
	}})
	c.Assert(message.Services[0].decode(time.Unix(1000, 0)).Service(), qt.Equals, "llm")
}
