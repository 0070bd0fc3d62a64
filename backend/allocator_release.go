package backend

import "time"

// Release ends an owner's slot with the outcome that the owner observed. If
// the allocator doesn't know the slot, it records that the stream may be
// cancelled.
func (a *Allocator) Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision {
	b := a.backend(server)
	if b == nil {
		return a.releaseLease(now, owner, id)
	}
	g, ok := b.grants[id]
	if !ok {
		b.noteReleased(now, id)
		return b.dueCancels(now)
	}
	if g.slot.owner != owner {
		return nil
	}
	a.endSlot(now, b, g, outcome)
	return append(b.dueCancels(now), a.grantQueued(now)...)
}

// Refused records, before the release of an owner's slot, that its server wants no more
// requests for a time, of which at most maxRetryAfter counts.
func (a *Allocator) Refused(now time.Time, owner Owner, server, id string, wait time.Duration) {
	b := a.backend(server)
	if b == nil {
		return
	}
	g, ok := b.grants[id]
	if !ok || g.slot.owner != owner || g.slot.incarnation != b.incarnation {
		return
	}
	if until := now.Add(min(wait, maxRetryAfter)); until.After(b.refusesUntil) {
		b.refusesUntil = until
	}
}

func (a *Allocator) endSlot(now time.Time, b *backendState, g *grant, outcome Outcome) {
	switch outcome {
	case OutcomeFinished:
		b.remove(now, g)
		a.recordFinished(now, b, g)
	case OutcomeRefused:
		b.remove(now, g)
		b.warmth.reset(now)
		b.suspectSince = now
	case OutcomeLeaving:
		b.remove(now, g)
		b.leavingSince = now
	case OutcomeCancelled:
		b.remove(now, g)
		b.learnOverdue(now, g)
	case OutcomeNotStarted:
		b.remove(now, g)
	default:
		g.markLost(now)
		b.recordFailure(now)
	}
}

// recordFinished updates the estimates and the warmth from a complete answer.
func (a *Allocator) recordFinished(now time.Time, b *backendState, g *grant) {
	elapsed := now.Sub(g.granted)
	a.queue(g.workload).observeHold(g.slot.cost.Class(), elapsed)
	if g.slot.incarnation != b.incarnation || !b.reported {
		return
	}
	slow := b.estimator.isSlow(g.expected, elapsed)
	b.estimator.learn(now, g.slot.cost, elapsed)
	if slow {
		b.warmth.recordSlow(now)
		return
	}
	b.warmth.recordFinished(now, g.granted, b.server.capacity)
}

// noteReleased records that the owner has ended an attempt for which there is
// no grant.
func (b *backendState) noteReleased(now time.Time, id string) {
	b.released[id] = now
	if u, shown := b.unclaimed[id]; shown {
		u.ended = true
	}
}

// learnOverdue updates the estimates from an attempt cancelled at its
// deadline, which would have taken longer still.
func (b *backendState) learnOverdue(now time.Time, g *grant) {
	elapsed := now.Sub(g.granted)
	late := !now.Before(g.slot.deadline)
	if late && g.slot.incarnation == b.incarnation && elapsed > b.estimator.serviceTime(now, g.slot.cost) {
		b.estimator.learn(now, g.slot.cost, elapsed)
	}
}

// recordFailure counts a failed attempt; after suspectAfterFailures of them
// the server gets nothing new until its next report.
func (b *backendState) recordFailure(now time.Time) {
	b.failures++
	if b.failures >= suspectAfterFailures {
		b.suspectSince = now
	}
}

// Withdraw removes a request that is no longer needed. A slot that it was
// granted is released as not started.
func (a *Allocator) Withdraw(now time.Time, owner Owner, id string) []Decision {
	for _, q := range a.queues {
		if cq, f, w := q.find(owner, id); w != nil {
			cq.remove(f, w)
			return a.grantQueued(now)
		}
	}
	for _, b := range a.backends {
		if g, ok := b.grants[id]; ok && g.slot.owner == owner {
			return a.Release(now, owner, b.server.id, id, OutcomeNotStarted)
		}
	}
	return a.releaseLease(now, owner, id)
}

// Adopt adds a slot that an earlier keeper of the server granted and that its
// owner still holds.
func (a *Allocator) Adopt(now time.Time, slot Slot) {
	b := a.backend(slot.server)
	if b == nil {
		return
	}
	if g, ok := b.grants[slot.id]; ok {
		g.lost = g.lost && g.slot.owner != slot.owner
		return
	}
	for _, retired := range b.retiredIncarnations {
		if slot.incarnation == retired {
			return
		}
	}
	b.add(now, Workload{service: b.server.service}, slot)
}

// RemoveOwner ends everything that an owner incarnation had: its requests are
// dropped and its streams cancelled. Their memory counts until a later report
// shows that the streams have ended.
func (a *Allocator) RemoveOwner(now time.Time, owner Owner) []Decision {
	for _, q := range a.queues {
		q.removeIf(func(r SlotRequest) bool { return r.owner == owner })
	}
	var out []Decision
	for _, b := range a.backends {
		for _, g := range b.grants {
			if g.slot.owner == owner {
				g.markLost(now)
			}
		}
		out = append(out, b.dueCancels(now)...)
	}
	out = append(out, a.removeLeases(now, owner)...)
	return append(out, a.grantQueued(now)...)
}
