package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"greengagedock.example/platform/platformtest"
)

const (
	// meanStatementInterval is the mean time between the starts of two of these faults.
	meanStatementInterval = 900 * time.Millisecond
	// limitSettle is the time after a server first stated a rate limit from which requests
	// count, in any limitWindow.
	limitSettle = 3 * time.Second
	limitWindow = 4 * time.Second
	// toldBefore is how long before a request its entry must have got an answer with the
	// limit for the request to count.
	toldBefore = 500 * time.Millisecond
	// leavingGrace is how long after a server first answered that it leaves it may still
	// get requests.
	leavingGrace = 2 * time.Second
	// maxInSpite is the number of requests that may reach a server that refuses requests
	// for a time, later than half a second after its refusal.
	maxInSpite = 2
	// maxEndlessBytes is what a server may send of an answer without end before its
	// connection is closed: the buffers of the connection and the proxy, and some reads.
	maxEndlessBytes = 24 << 20
)

// statementFaults are faults in which servers state something about themselves, or answer
// what is no answer. They are drawn from a source of their own, so that the draws of the
// other faults don't depend on them.
var statementFaults = []fault{
	{"server_limit", limitServer},
	{"server_leaving", leaveServer},
	{"server_refusing", refuseRequests},
	{"server_promise", func(ctx context.Context, f *fleet) string { return spoilAnswers(ctx, f, platformtest.SpoilPromise) }},
	{"server_endless", func(ctx context.Context, f *fleet) string { return spoilAnswers(ctx, f, platformtest.SpoilEndless) }},
	{"store_restore", restoreStore},
}

// statement is what a server states until the end of the run.
type statement struct {
	server *backendServer
	// perSecond is its rate limit, 0 for a server that leaves.
	perSecond float64
	leaving   bool
}

// drawStatementServer returns a server that states nothing yet, nil if there is none.
func (f *fleet) drawStatementServer() *backendServer {
	servers := slices.DeleteFunc(f.active(), func(s *backendServer) bool { return s.stating.Load() })
	if len(servers) == 0 {
		return nil
	}
	drawn := servers[f.statementRandom.IntN(len(servers))]
	drawn.stating.Store(true)
	return drawn
}

func (f *fleet) statementDuration(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(f.statementRandom.Int64N(int64(upper-lower)))
}

func (f *fleet) addStatement(s statement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statements = append(f.statements, s)
}

// limitServer has a server state a rate limit until the end of the run.
func limitServer(_ context.Context, f *fleet) string {
	s := f.drawStatementServer()
	if s == nil {
		return "none"
	}
	if err := f.addServer(s.servesPrompts); err != nil {
		return err.Error()
	}
	perSecond := float64(1+f.statementRandom.IntN(8)) / 2
	s.limited.SetLimit(fmt.Sprint(perSecond))
	f.addStatement(statement{server: s, perSecond: perSecond})
	return fmt.Sprint(s.ID(), " ", perSecond)
}

// leaveServer has a server answer that it leaves, which the store does not know, and a new
// one follow it.
func leaveServer(_ context.Context, f *fleet) string {
	s := f.drawStatementServer()
	if s == nil {
		return "none"
	}
	if err := f.addServer(s.servesPrompts); err != nil {
		return err.Error()
	}
	s.availability.Leave()
	f.addStatement(statement{server: s, leaving: true})
	return s.ID()
}

// refuseRequests has a server refuse requests for a time.
func refuseRequests(ctx context.Context, f *fleet) string {
	s := f.drawStatementServer()
	if s == nil {
		return "none"
	}
	d := f.statementDuration(800*time.Millisecond, 2500*time.Millisecond)
	from := time.Now()
	s.availability.Refuse(d)
	runAfter(ctx, d+time.Second, func() {
		if n := s.availability.InSpite(); n > maxInSpite && f.entriesUndisturbed(from, time.Now()) {
			f.checker.report("request to a refusing server: %s got %d in the %v that it refused", s.ID(), n, d)
		}
		s.stating.Store(false)
	})
	return fmt.Sprint(s.ID(), " for ", d)
}

func spoilAnswers(ctx context.Context, f *fleet, by platformtest.Spoiling) string {
	s := f.drawStatementServer()
	if s == nil {
		return "none"
	}
	d := f.statementDuration(500*time.Millisecond, 2*time.Second)
	s.SetSpoiling(by)
	runAfter(ctx, d, func() {
		s.SetSpoiling(platformtest.SpoilNone)
		s.stating.Store(false)
	})
	return fmt.Sprint(s.ID(), " for ", d)
}

// restoreStore puts the store back to a copy some time old, after which the operator and
// the servers write again.
func restoreStore(ctx context.Context, f *fleet) string {
	age := f.statementDuration(500*time.Millisecond, 2500*time.Millisecond)
	rewrite := f.statementDuration(100*time.Millisecond, time.Second)
	earlier := f.store.Copy()
	f.markStoreDisturbed(age + rewrite)
	runAfter(ctx, age, func() {
		f.store.Restore(earlier)
		time.Sleep(rewrite)
		f.publishAgain()
	})
	return fmt.Sprintf("%v old, written again after %v", age, rewrite)
}

// publishAgain writes what the operator and the servers have in the store.
func (f *fleet) publishAgain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.PublishConfig(f.version)
	for _, s := range f.servers {
		if s.removed.Load() {
			f.store.RemoveServer(s.ID())
			continue
		}
		f.store.PublishServer(s.ID(), s.proxy.address(), s.servesPrompts, !s.drainedAt.IsZero(), s.ColdLeft(), s.startMs)
	}
}

// entriesUndisturbed reports whether no fault affected any entry between two times.
func (f *fleet) entriesUndisturbed(from, to time.Time) bool {
	return !slices.ContainsFunc(f.entries, func(e *entry) bool { return !e.undisturbed(from, to) })
}

// injectStatements injects statement faults with the given names, all without names, until
// ctx ends, and returns a line for each.
func (f *fleet) injectStatements(ctx context.Context, names []string) []string {
	selected := slices.DeleteFunc(slices.Clone(statementFaults), func(s fault) bool {
		return len(names) > 0 && !slices.Contains(names, s.name)
	})
	var injected []string
	start := time.Now()
	for len(selected) > 0 {
		select {
		case <-time.After(time.Duration(f.statementRandom.ExpFloat64() * float64(meanStatementInterval))):
		case <-ctx.Done():
			return injected
		}
		drawn := selected[f.statementRandom.IntN(len(selected))]
		injected = append(injected, fmt.Sprintf("%.2fs %s %s", time.Since(start).Seconds(), drawn.name, drawn.inject(ctx, f)))
	}
	return injected
}

// newStatementRandom returns the source of the statement faults of a run.
func newStatementRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 3)) }

// arrival is a request that reached a server through an entry.
type arrival struct {
	at    time.Time
	entry *entry
}

// checkStatements checks what reached servers that stated a rate limit or that they leave,
// and how much servers could send of answers without end. Requests through entries that
// were disturbed meanwhile don't count, nor do those through entries that have forgotten
// what a server stated.
func (f *fleet) checkStatements() {
	arrivals := f.undisturbedArrivals()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.statements {
		reached := arrivals[s.server.ID()]
		switch {
		case s.leaving:
			told := s.server.availability.ToldAt()
			if late := f.boundArrivals(reached, told, leavingGrace); len(late) > 0 {
				f.checker.report("request to a leaving server: %s got one %v after it answered so", s.server.ID(), late[len(late)-1].Sub(told))
			}
		case s.perSecond > 0:
			told := s.server.limited.StatedAt()
			times := slices.DeleteFunc(f.boundArrivals(reached, told, toldBefore), func(at time.Time) bool { return at.Sub(told) < limitSettle })
			allowed := platformtest.AllowedUnderLimit(s.perSecond, limitWindow.Seconds())
			if n := platformtest.MostWithin(limitWindow, times); n > allowed {
				f.checker.report("rate limit exceeded: %s with %v a second got %d requests in %v, allowed %d", s.server.ID(), s.perSecond, n, limitWindow, allowed)
			}
		}
	}
	for _, s := range f.servers {
		if n := s.LongestEndless(); n > maxEndlessBytes {
			f.checker.report("answer without end not ended: %s could send %d bytes", s.ID(), n)
		}
	}
}

// boundArrivals returns the times of the arrivals at a server that are bound by what it
// first stated at told: their entry got an answer with the statement so long before, and was
// not disturbed since, or no entry was.
func (f *fleet) boundArrivals(arrivals []arrival, told time.Time, before time.Duration) []time.Time {
	var out []time.Time
	if told.IsZero() {
		return nil
	}
	for _, a := range arrivals {
		knows := slices.ContainsFunc(arrivals, func(earlier arrival) bool {
			return earlier.entry == a.entry && !earlier.at.Before(told) && a.at.Sub(earlier.at) > before && a.entry.undisturbed(earlier.at, a.at)
		})
		if knows || a.at.Sub(told) > before && f.entriesUndisturbed(told, a.at) {
			out = append(out, a.at)
		}
	}
	return out
}

// undisturbedArrivals returns the requests that reached each server through entries that
// were not disturbed while the request was open, in the order of their arrival.
func (f *fleet) undisturbedArrivals() map[string][]arrival {
	entries := make(map[string]*entry)
	for _, e := range f.entries {
		entries[e.name] = e
	}
	out := make(map[string][]arrival)
	for _, r := range f.checker.all() {
		if !r.undisturbed {
			continue
		}
		f.mu.Lock()
		for _, s := range f.servers {
			for _, a := range s.Attempts(r.id) {
				out[s.ID()] = append(out[s.ID()], arrival{a.Received(), entries[r.entry]})
			}
		}
		f.mu.Unlock()
	}
	for _, reached := range out {
		slices.SortFunc(reached, func(a, b arrival) int { return a.at.Compare(b.at) })
	}
	return out
}

// isStatementFault reports whether a name is that of a statement fault.
func isStatementFault(name string) bool {
	return slices.ContainsFunc(statementFaults, func(s fault) bool { return s.name == name })
}
