package backend

import "time"

// Release ends an owner's slot with the outcome that the owner saw. Of a slot
// that the ledger doesn't know, it keeps that the stream may be cancelled.
func (l *Allocator) Release(now time.Time, owner Owner, server, id string, outcome Outcome) []Decision {
	b := l.book(server)
	if b == nil {
		return l.releaseLease(now, owner, id)
	}
	e, ok := b.entries[id]
	if !ok {
		b.ended(now, id)
		return b.orphans(now)
	}
	if e.slot.owner != owner {
		return nil
	}
	l.end(now, b, e, outcome)
	return append(b.orphans(now), l.settle(now)...)
}

func (l *Allocator) end(now time.Time, b *book, e *entry, outcome Outcome) {
	switch outcome {
	case OutcomeFinished:
		b.free(now, e)
		l.finished(now, b, e)
	case OutcomeRefused:
		b.free(now, e)
		b.warmth.cool(now)
		b.suspect = now
	case OutcomeLeaving:
		b.free(now, e)
		b.leaving = now
	case OutcomeCancelled:
		b.free(now, e)
		b.overdue(now, e)
	case OutcomeNotStarted:
		b.free(now, e)
	default:
		e.lose(now)
		b.failed(now)
	}
}

// finished learns from a whole answer.
func (l *Allocator) finished(now time.Time, b *book, e *entry) {
	elapsed := now.Sub(e.granted)
	l.queue(e.work).held(e.slot.cost.Class(), elapsed)
	if e.slot.incarnation != b.incarnation || !b.known {
		return
	}
	slow := b.pace.slow(e.expected, elapsed)
	b.pace.learn(now, e.slot.cost, elapsed)
	if slow {
		b.warmth.slowed(now)
		return
	}
	b.warmth.finished(now, e.granted, b.server.bearing)
}

// ended notes that an attempt without an entry has ended for its owner.
func (b *book) ended(now time.Time, id string) {
	b.released[id] = now
	if u, shown := b.unclaimed[id]; shown {
		u.ended = true
	}
}

// overdue learns from an attempt that was cancelled at its deadline: it would
// have taken longer.
func (b *book) overdue(now time.Time, e *entry) {
	elapsed := now.Sub(e.granted)
	late := !now.Before(e.slot.deadline)
	if late && e.slot.incarnation == b.incarnation && elapsed > b.pace.service(now, e.slot.cost) {
		b.pace.learn(now, e.slot.cost, elapsed)
	}
}

// failed stops grants until the next report when failures gather.
func (b *book) failed(now time.Time) {
	b.failures++
	if b.failures >= coldAfterFailures {
		b.suspect = now
	}
}

// Withdraw ends a want that is no longer needed; a slot that it was granted
// counts as not started.
func (l *Allocator) Withdraw(now time.Time, owner Owner, id string) []Decision {
	for _, q := range l.queues {
		if lane, f, w := q.find(owner, id); w != nil {
			lane.remove(f, w)
			return l.settle(now)
		}
	}
	for _, b := range l.books {
		if e, ok := b.entries[id]; ok && e.slot.owner == owner {
			return l.Release(now, owner, b.server.id, id, OutcomeNotStarted)
		}
	}
	return l.releaseLease(now, owner, id)
}

// Adopt enters a slot of a kept server that its owner says it holds and an
// earlier keeper granted.
func (l *Allocator) Adopt(now time.Time, slot Slot) {
	b := l.book(slot.server)
	if b == nil {
		return
	}
	if e, ok := b.entries[slot.id]; ok {
		e.lost = e.lost && e.slot.owner != slot.owner
		return
	}
	for _, retired := range b.retired {
		if slot.incarnation == retired {
			return
		}
	}
	b.add(now, Workload{service: b.server.service}, slot)
}

// RemoveOwner ends all that an owner incarnation had: its wants are dropped and its
// streams cancelled, whose memory counts until a later report shows them gone.
func (l *Allocator) RemoveOwner(now time.Time, owner Owner) []Decision {
	for _, q := range l.queues {
		q.removeIf(func(w SlotRequest) bool { return w.owner == owner })
	}
	var out []Decision
	for _, b := range l.books {
		for _, e := range b.entries {
			if e.slot.owner == owner {
				e.lose(now)
			}
		}
		out = append(out, b.orphans(now)...)
	}
	out = append(out, l.forgetLeases(now, owner)...)
	return append(out, l.settle(now)...)
}
