package backend

import (
	"slices"
	"time"

	"greengagedock.example/registry"
)

// Report processes a load report of a server. The report's lag must include
// its time in transit, so that it never looks newer than it is.
func (a *Allocator) Report(now time.Time, report Report) []Decision {
	b := a.backend(report.server)
	if b == nil || !b.report(now, report) {
		return a.grantQueued(now)
	}
	return append(b.dueCancels(now), a.grantQueued(now)...)
}

// PollFailed records that polling a server's report failed: the server gets
// nothing new until its next report.
func (a *Allocator) PollFailed(now time.Time, server string) []Decision {
	if b := a.backend(server); b != nil {
		b.pollFailed = true
	}
	return a.grantQueued(now)
}

// report processes a report and reports whether it was newer than all before.
func (b *backendState) report(now time.Time, report Report) bool {
	taken := now.Add(-max(report.lag, 0))
	if b.reported && !taken.After(b.reportTaken) || !b.acceptsIncarnation(now, taken, report.incarnation) {
		return false
	}
	if !b.reported || b.incarnation != report.incarnation {
		b.startIncarnation(now, report.incarnation)
	}
	b.reportTaken, b.reportReceived, b.pollFailed, b.failures = taken, now, false, 0
	b.models, b.capacityTokens = report.models, report.capacity
	if taken.After(b.suspectSince.Add(reportMargin)) {
		b.suspectSince = time.Time{}
	}
	b.updateState(now, taken, report.state)
	b.reconcile(now, taken, report)
	return true
}

// acceptsIncarnation reports whether a report of this incarnation may be
// processed: it is the current one or a later one. Lags are exact only to
// reportMargin, so a report of another incarnation must have been taken that
// much after the last one; until such a report arrives, the server is
// suspect.
func (b *backendState) acceptsIncarnation(now, taken time.Time, incarnation string) bool {
	if !b.reported || b.incarnation == incarnation {
		return true
	}
	if slices.Contains(b.retiredIncarnations, incarnation) {
		return taken.After(b.reportTaken.Add(maxReportAge))
	}
	if !taken.After(b.reportTaken.Add(reportMargin)) {
		b.suspectSince = now
		return false
	}
	return true
}

// startIncarnation resets the state for a new incarnation, which is cold.
func (b *backendState) startIncarnation(now time.Time, incarnation string) {
	firstReport := !b.reported
	if b.reported {
		b.retiredIncarnations = append(b.retiredIncarnations, b.incarnation)
		if len(b.retiredIncarnations) > maxRetiredIncarnations {
			b.retiredIncarnations = b.retiredIncarnations[1:]
		}
		for _, g := range b.sortedGrants() {
			if g.slot.incarnation == b.incarnation {
				b.remove(now, g)
			}
		}
	}
	b.incarnation, b.reported = incarnation, true
	b.leavingSince, b.suspectSince, b.refusesUntil = time.Time{}, time.Time{}, time.Time{}
	b.warmth.reset(now)
	if firstReport {
		b.applyInherited(now)
	}
	b.estimator = estimator{}
	b.unexplainedCalls = 0
	clear(b.unclaimed)
}

func (b *backendState) updateState(now, taken time.Time, state registry.State) {
	switch {
	case state == registry.StateLeaving:
		b.leavingSince = now
	case taken.After(b.leavingSince.Add(reportMargin)):
		b.leavingSince = time.Time{}
	}
}

// reconcile compares the grants with the streams that the server reports.
func (b *backendState) reconcile(now, taken time.Time, report Report) {
	reported := make(map[string]bool, len(report.held))
	previous := b.unclaimed
	b.unclaimed = make(map[string]*unclaimedStream)
	for _, held := range report.held {
		reported[held.id] = true
		if g, ok := b.grants[held.id]; ok {
			g.tokens = max(g.tokens, held.tokens)
			continue
		}
		b.noteUnclaimed(now, taken, held, previous[held.id])
	}
	ended := b.endedCalls(taken, report)
	for _, g := range b.sortedGrants() {
		if reported[g.slot.id] {
			continue
		}
		otherIncarnation := g.slot.incarnation != b.incarnation && taken.After(g.granted.Add(reportMargin))
		gone := g.goneBy(taken)
		if b.server.kind == registry.KindService && gone {
			gone = ended > 0
			ended--
		}
		if gone || otherIncarnation {
			b.remove(now, g)
		}
	}
	b.unexplainedCalls = b.extraCalls(taken, report)
	b.unexplainedTokens = 0
	if len(report.held) == 0 {
		b.unexplainedTokens = max(report.used-b.explainedTokens(taken), 0)
	}
	for id, at := range b.released {
		if !reported[id] && taken.After(at.Add(reportMargin)) {
			delete(b.released, id)
		}
	}
}

// endedCalls returns a lower bound on the number of grants of a plain service
// that have ended by its report. Such a service reports only how many
// requests it runs; of the grants made before the report was taken, no more
// than that many can still run.
func (b *backendState) endedCalls(taken time.Time, report Report) int {
	earlier := 0
	for _, g := range b.grants {
		if taken.After(g.granted.Add(reportMargin)) {
			earlier++
		}
	}
	return max(earlier-report.running, 0)
}

// extraCalls returns how many requests a plain service runs beyond the grants
// and those released since the report was taken.
func (b *backendState) extraCalls(taken time.Time, report Report) int {
	if b.server.kind != registry.KindService {
		return 0
	}
	explained := len(b.grants) + len(b.unclaimed)
	for _, at := range b.released {
		if !taken.After(at.Add(reportMargin)) {
			explained++
		}
	}
	return max(report.running-explained, 0)
}

// noteUnclaimed records a stream without a grant, unless the report is older
// than the stream's release.
func (b *backendState) noteUnclaimed(now, taken time.Time, held HeldMemory, previous *unclaimedStream) {
	at, released := b.released[held.id]
	if released && !taken.After(at.Add(reportMargin)) {
		return
	}
	u := previous
	if u == nil {
		u = &unclaimedStream{since: now, nextCancel: now}
	}
	u.tokens = held.tokens
	u.ended = u.ended || released
	b.unclaimed[held.id] = u
}

// explainedTokens returns how many used tokens of a report without streams
// the grants account for. It is unlimited while a release newer than the
// report may account for any of them.
func (b *backendState) explainedTokens(taken time.Time) int {
	sum := 0
	for _, g := range b.grants {
		sum += g.tokens
	}
	for _, at := range b.released {
		if !taken.After(at.Add(reportMargin)) {
			return int(^uint(0) >> 1)
		}
	}
	return sum
}
