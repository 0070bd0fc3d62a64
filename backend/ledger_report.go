package backend

import (
	"slices"
	"time"

	"greengagedock.example/registry"
)

// Report takes in what a kept server said of its own load. The report's lag
// must include its time on the way, so that it never looks newer than it is.
func (l *Allocator) Report(now time.Time, report Report) []Decision {
	b := l.book(report.server)
	if b == nil || !b.report(now, report) {
		return l.settle(now)
	}
	return append(b.orphans(now), l.settle(now)...)
}

// PollFailed notes that a poll of a server's report failed: it gets nothing
// new until the next report.
func (l *Allocator) PollFailed(now time.Time, server string) []Decision {
	if b := l.book(server); b != nil {
		b.doubtful = true
	}
	return l.settle(now)
}

// report takes in a report and tells whether it was newer than all before.
func (b *book) report(now time.Time, report Report) bool {
	taken := now.Add(-max(report.lag, 0))
	if b.known && !taken.After(b.taken) || !b.follows(now, taken, report.incarnation) {
		return false
	}
	if !b.known || b.incarnation != report.incarnation {
		b.restarted(now, report.incarnation)
	}
	b.taken, b.heard, b.doubtful, b.failures = taken, now, false, 0
	b.models, b.capacity = report.models, report.capacity
	if taken.After(b.suspect.Add(reportMargin)) {
		b.suspect = time.Time{}
	}
	b.noteState(now, taken, report.state)
	b.reconcile(now, taken, report)
	return true
}

// follows reports whether an incarnation may be the known one or its successor.
// Lags are stated to reportMargin only, so a report that names another one must
// be taken that much later; until then it makes the server suspect.
func (b *book) follows(now, taken time.Time, incarnation string) bool {
	if !b.known || b.incarnation == incarnation {
		return true
	}
	if slices.Contains(b.retired, incarnation) {
		return taken.After(b.taken.Add(reportLife))
	}
	if !taken.After(b.taken.Add(reportMargin)) {
		b.suspect = now
		return false
	}
	return true
}

// restarted starts the book of a new incarnation, which is cold.
func (b *book) restarted(now time.Time, incarnation string) {
	first := !b.known
	if b.known {
		b.retired = append(b.retired, b.incarnation)
		if len(b.retired) > maxRetired {
			b.retired = b.retired[1:]
		}
		for _, e := range b.sorted() {
			if e.slot.incarnation == b.incarnation {
				b.free(now, e)
			}
		}
	}
	b.incarnation, b.known = incarnation, true
	b.leaving, b.suspect = time.Time{}, time.Time{}
	b.warmth.cool(now)
	if first {
		b.inherit(now)
	}
	b.pace = pace{}
	b.unexplainedCalls = 0
	clear(b.unclaimed)
}

func (b *book) noteState(now, taken time.Time, state registry.State) {
	switch {
	case state == registry.StateLeaving:
		b.leaving = now
	case taken.After(b.leaving.Add(reportMargin)):
		b.leaving = time.Time{}
	}
}

// reconcile compares the entries with what the server says that it holds.
func (b *book) reconcile(now, taken time.Time, report Report) {
	shown := make(map[string]bool, len(report.held))
	before := b.unclaimed
	b.unclaimed = make(map[string]*unclaimed)
	for _, held := range report.held {
		shown[held.id] = true
		if e, ok := b.entries[held.id]; ok {
			e.tokens = max(e.tokens, held.tokens)
			continue
		}
		b.claim(now, taken, held, before[held.id])
	}
	ended := b.callsEnded(taken, report)
	for _, e := range b.sorted() {
		if shown[e.slot.id] {
			continue
		}
		elsewhere := e.slot.incarnation != b.incarnation && taken.After(e.granted.Add(reportMargin))
		gone := e.disproved(taken)
		if b.server.kind == registry.KindService && gone {
			gone = ended > 0
			ended--
		}
		if gone || elsewhere {
			b.free(now, e)
		}
	}
	b.unexplainedCalls = b.callsBeside(taken, report)
	b.unexplained = 0
	if len(report.held) == 0 {
		b.unexplained = max(report.used-b.explained(taken), 0)
	}
	for id, at := range b.released {
		if !shown[id] && taken.After(at.Add(reportMargin)) {
			delete(b.released, id)
		}
	}
}

// callsEnded returns how many entries of a plain service have ended by its
// report at least. It does not name what it works on; but of the entries that it
// had when the report was taken it works on no more than it says.
func (b *book) callsEnded(taken time.Time, report Report) int {
	had := 0
	for _, e := range b.entries {
		if taken.After(e.granted.Add(reportMargin)) {
			had++
		}
	}
	return max(had-report.running, 0)
}

// callsBeside returns how many requests a plain service works on beside the
// entries, and those released since the report was taken.
func (b *book) callsBeside(taken time.Time, report Report) int {
	if b.server.kind != registry.KindService {
		return 0
	}
	explained := len(b.entries) + len(b.unclaimed)
	for _, at := range b.released {
		if !taken.After(at.Add(reportMargin)) {
			explained++
		}
	}
	return max(report.running-explained, 0)
}

// claim notes a stream that no entry explains, unless the report is older
// than the stream's release.
func (b *book) claim(now, taken time.Time, held HeldMemory, before *unclaimed) {
	at, released := b.released[held.id]
	if released && !taken.After(at.Add(reportMargin)) {
		return
	}
	u := before
	if u == nil {
		u = &unclaimed{since: now, cancel: now}
	}
	u.tokens = held.tokens
	u.ended = u.ended || released
	b.unclaimed[held.id] = u
}

// explained returns the tokens of a report that names no streams which the
// entries, and those released since it was taken, account for.
func (b *book) explained(taken time.Time) int {
	sum := 0
	for _, e := range b.entries {
		sum += e.tokens
	}
	for _, at := range b.released {
		if !taken.After(at.Add(reportMargin)) {
			return int(^uint(0) >> 1)
		}
	}
	return sum
}
