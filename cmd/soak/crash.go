package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// crashingPartFault is the name of the fault that injectCrashingPart injects.
	crashingPartFault = "crashing_part"
	// crashingRequestFault is the name of the same fault with plain calls.
	crashingRequestFault = "crashing_request"
	// crashingPartShare and crashingRequestShare are the shares of the runs with all faults
	// that have either.
	crashingPartShare    = 0.5
	crashingRequestShare = 0.25
	// maxCrashDelay is the latest time of this fault after the start of the faults.
	maxCrashDelay = 2 * time.Second
	// serverRestartTime is the time from the end of a server to its next incarnation, and
	// silenceTime that to its removal from the store.
	serverRestartTime = 1500 * time.Millisecond
	silenceTime       = 2500 * time.Millisecond
	// popularParts is the number of parts that many prompts share.
	popularParts = 40
	// Of the requests with a part, or of one that comes again, maxLateSends may reach servers
	// later than crashSettleTime after the end of the server number maxUnknownCrashes or
	// maxRepeatCrashes.
	maxUnknownCrashes = 5
	maxRepeatCrashes  = 3
	crashSettleTime   = 3 * time.Second
	maxLateSends      = 3
	// soundTime is from that end until sound requests are served as before, at least
	// minSoundShare times as often. Fewer than minSoundRequests say nothing.
	soundTime        = 6 * time.Second
	minSoundShare    = 0.5
	minSoundRequests = 8
)

// crashingFault is that half of the requests of some callers have a part that ends
// servers, from a time on until the end of the run, or that half of their calls that may be
// repeated are one that does.
type crashingFault struct {
	start time.Time
	// part is the id of the part, or of the call if request is set.
	part    string
	request bool
	// companion is the popular part of all these requests, empty if it varies.
	companion string
}

// violation names the failure to refuse what ends servers.
func (c *crashingFault) violation() string {
	if c.request {
		return "crashing request not refused"
	}
	return "crashing part not refused"
}

// maxUnknown returns the number of ends after which entries must know what ends servers.
func (c *crashingFault) maxUnknown() int {
	if c.request {
		return maxRepeatCrashes
	}
	return maxUnknownCrashes
}

// injectCrash injects a crashing part or request, as the names of the faults say or, without
// names, as drawn, at a time drawn from the seed, unless ctx ends before. It returns a line
// about it. Its source is its own, so that the draws of the other faults don't depend on it.
func (f *fleet) injectCrash(ctx context.Context, names []string) string {
	random := rand.New(rand.NewPCG(f.seed, 2))
	request := slices.Contains(names, crashingRequestFault)
	if len(names) == 0 {
		draw := random.Float64()
		if draw >= crashingPartShare+crashingRequestShare {
			return ""
		}
		request = draw >= crashingPartShare
	}
	delay := time.Duration(random.Int64N(int64(maxCrashDelay)))
	fault := &crashingFault{part: fmt.Sprintf("c%07x", random.Uint32()>>4), request: request}
	if random.IntN(2) == 0 && !request {
		fault.companion = popularPart(random)
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ""
	}
	f.crashing.Add(fault.part)
	fault.start = time.Now()
	f.mu.Lock()
	f.crash = fault
	f.mu.Unlock()
	name := crashingPartFault
	if request {
		name = crashingRequestFault
	}
	return fmt.Sprintf("%.2fs %s %s, companion %q", delay.Seconds(), name, fault.part, fault.companion)
}

// crashFault returns the fault of a crashing part, nil before it starts.
func (f *fleet) crashFault() *crashingFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crash
}

// popularPart returns one of the parts that many prompts share, the first ones more often.
func popularPart(random *rand.Rand) string {
	return strconv.FormatInt(0xa000+int64(popularParts*random.Float64()*random.Float64()), 16)
}

// parts returns the parts of the prompt of a caller's next request, and whether one of
// them ends servers.
func (c *caller) parts() (parts []string, harmful bool) {
	parts = append(parts, popularPart(c.random))
	fault := c.fleet.crashFault()
	harmful = fault != nil && !fault.request && c.number%3 == 0 && c.random.IntN(2) == 0
	switch {
	case harmful && fault.companion != "":
		parts[0] = fault.companion
	case c.random.IntN(2) == 0:
		parts = append(parts, popularPart(c.random))
	}
	if harmful {
		parts = append(parts, fault.part)
	}
	return append(parts, strconv.FormatUint(c.random.Uint64()|1<<63, 16)), harmful
}

// crashingCall returns the path of a caller's next call, and whether it ends servers.
func (c *caller) crashingCall(path string) (string, bool) {
	fault := c.fleet.crashFault()
	if fault == nil || !fault.request || c.number%3 != 0 || c.random.IntN(2) == 0 {
		return path, false
	}
	return strings.TrimSuffix(path, "x") + fault.part, true
}

// serverEnded has a new incarnation follow a server that ended at a part.
func (f *fleet) serverEnded(s *backendServer) {
	f.mu.Lock()
	s.endedAt = time.Now()
	replaced := !s.drainedAt.IsZero()
	f.mu.Unlock()
	s.proxy.close()
	time.AfterFunc(silenceTime, func() {
		s.removed.Store(true)
		f.store.RemoveServer(s.ID())
	})
	if replaced {
		return
	}
	time.AfterFunc(serverRestartTime, func() {
		if err := f.addServer(s.servesPrompts); err != nil {
			f.checker.report("server not started: %v", err)
		}
	})
}

// undisturbedFrom returns the end of the last disturbance of any entry that began before a time.
func (f *fleet) undisturbedFrom(at time.Time) time.Time {
	var out time.Time
	for _, e := range f.entries {
		e.mu.Lock()
		for _, d := range e.disturbances {
			if d.from.Before(at) && d.to.After(out) {
				out = d.to
			}
		}
		e.mu.Unlock()
	}
	return out
}

// checkCrashingPart checks what followed a part that ends servers.
func (f *fleet) checkCrashingPart() {
	fault := f.crashFault()
	if fault == nil {
		return
	}
	var sends []time.Time
	ends := f.serverEnds()
	results := f.checker.all()
	for _, r := range results {
		if r.harmful {
			sends = append(sends, f.received(r.id)...)
		}
	}
	f.checkSends(fault, ends, sends)
	f.checkSoundRequests(fault, ends, results)
}

// checkSends checks when servers received requests with the part. Entries that were
// disturbed forget, or don't hear what others know: servers that ended before count only
// if no entry was disturbed since.
func (f *fleet) checkSends(fault *crashingFault, ends, sends []time.Time) {
	late := make(map[time.Time]int)
	for _, at := range sends {
		from := f.undisturbedFrom(at)
		if known := endNumber(fault.maxUnknown(), ends, from); !known.IsZero() && at.Sub(known) > crashSettleTime {
			late[from]++
		}
	}
	for from, n := range late {
		if n > maxLateSends {
			f.checker.report("%s: %d requests with %s reached servers %v after the end of %d from %.2fs on, %d ended in all",
				fault.violation(), n, fault.part, crashSettleTime, fault.maxUnknown(), max(0, from.Sub(fault.start).Seconds()), len(ends))
		}
	}
}

// serverEnds returns when servers ended at a part, in ascending order.
func (f *fleet) serverEnds() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []time.Time
	for _, s := range f.servers {
		if !s.endedAt.IsZero() {
			out = append(out, s.endedAt)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// endNumber returns the n-th of the ascending times from a time on, zero if there are fewer.
func endNumber(n int, ends []time.Time, from time.Time) time.Time {
	i, _ := slices.BinarySearchFunc(ends, from, time.Time.Compare)
	if i+n > len(ends) {
		return time.Time{}
	}
	return ends[i+n-1]
}

// checkSoundRequests checks that requests with the other parts are still served: those
// with the companion, or any. What was served before is that of all sound requests.
func (f *fleet) checkSoundRequests(fault *crashingFault, ends []time.Time, results []result) {
	known := endNumber(fault.maxUnknown(), ends, time.Time{})
	if known.IsZero() {
		return
	}
	var before, after, servedBefore, servedAfter int
	for _, r := range results {
		if r.kind != kindStream || r.harmful || !r.undisturbed || r.cut {
			continue
		}
		served := 0
		if r.served {
			served = 1
		}
		switch {
		case r.start.Add(r.duration).Before(fault.start):
			before++
			servedBefore += served
		case fault.companion != "" && !slices.Contains(r.parts, fault.companion):
		case r.start.Sub(known) > soundTime && f.undisturbedFrom(r.start).Before(r.start):
			after++
			servedAfter += served
		}
	}
	if after < minSoundRequests || before == 0 {
		return
	}
	if float64(servedAfter)/float64(after) < minSoundShare*float64(servedBefore)/float64(before) {
		f.checker.report("sound requests not served: %d of %d with parts beside %s (companion %q), %d of %d before", servedAfter, after, fault.part, fault.companion, servedBefore, before)
	}
}

// received returns when servers received a request that they did not refuse.
func (f *fleet) received(id string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []time.Time
	for _, s := range f.servers {
		for _, a := range s.Attempts(id) {
			if !a.Refused() {
				out = append(out, a.Received())
			}
		}
	}
	return out
}
