package backend

import "time"

const (
	// minComeBack is the least time after which a refused caller is asked to come back.
	minComeBack = 200 * time.Millisecond
	// maxComeBack is the greatest.
	maxComeBack = time.Minute
	// waitMargin is the number of times the expected wait that a want must have left.
	waitMargin = 2
	// haltedWait is the expected wait while no server may get anything new.
	haltedWait = 500 * time.Millisecond
)

// Request asks for a slot. The want is granted, denied or queued at once; one that
// is queued gets its final decision from a later call, before its deadline.
// Asking again for the same attempt repeats the decision.
func (l *Allocator) Request(now time.Time, want SlotRequest) []Decision {
	if want.work.IsGroupLease() {
		return l.askLease(now, want)
	}
	if again, known := l.again(now, want); known {
		return again
	}
	if refusal := l.refuse(now, want); refusal != nil {
		return append([]Decision{denied(want, refusal)}, l.settle(now)...)
	}
	q := l.queue(want.work)
	q.demand.add(now, want.cost)
	lane := q.lane(want.cost.Class())
	w := &waiting{want: want, since: now}
	lane.push(w)
	out := l.settle(now)
	if _, f, waits := q.find(want.owner, want.id); waits != nil {
		out = append(out, l.admit(now, q, lane, f, w)...)
	}
	return out
}

// again returns the decision of an attempt that has asked before.
func (l *Allocator) again(now time.Time, want SlotRequest) ([]Decision, bool) {
	for _, b := range l.books {
		e, granted := b.entries[want.id]
		if granted && e.slot.owner == want.owner && !e.lost && now.Before(e.slot.startBy) {
			return []Decision{Granted{slot: e.slot, why: "asked again"}}, true
		}
		if _, released := b.released[want.id]; granted || released {
			return nil, true
		}
	}
	q := l.queue(want.work)
	if _, _, w := q.find(want.owner, want.id); w != nil {
		return []Decision{l.queued(now, q, w)}, true
	}
	return nil, false
}

// refuse returns why the want is refused before it could wait, nil if it may.
func (l *Allocator) refuse(now time.Time, want SlotRequest) *Refusal {
	if !now.Before(want.deadline) {
		return NewRefusal(ReasonDeadline, 0)
	}
	return l.survey(now, want.work).refuse(now, want)
}

// admit keeps a want that could not be granted at once waiting if it is
// expected to end in time, else denies it.
func (l *Allocator) admit(now time.Time, q *queue, lane *lane, f *flow, w *waiting) []Decision {
	wait := l.wait(now, q, w.want)
	if late := wait*waitMargin + l.survey(now, w.want.work).service(w.want) - w.want.deadline.Sub(now); late > 0 {
		lane.remove(f, w)
		return []Decision{denied(w.want, busy(late))}
	}
	out := []Decision{Queued{want: w.want.id, owner: w.want.owner, wait: wait}}
	if lane.length <= maxQueuedWants {
		return out
	}
	return append(out, l.overflow(now, q, lane))
}

// overflow denies the last want of the account that waits with the most tokens.
func (l *Allocator) overflow(now time.Time, q *queue, lane *lane) Decision {
	f := lane.longest()
	last := f.wants[len(f.wants)-1]
	lane.remove(f, last)
	return denied(last.want, busy(l.wait(now, q, last.want)))
}

// wait returns how long the want is expected to wait behind its class and those before it.
func (l *Allocator) wait(now time.Time, q *queue, want SlotRequest) time.Duration {
	class := want.cost.Class()
	rate := l.rate(now, q.work, class)
	if rate.requests == 0 {
		return haltedWait
	}
	ahead := q.lane(class).ahead(want.account, want.cost)
	drain := 0.0
	if served := q.served.rate(now, class); served > 0 {
		drain = float64(ahead.tokens) / served
	}
	for i := range class.index() {
		ahead = ahead.Add(q.lanes[i].load())
	}
	hold := q.hold[class.index()]
	if hold == 0 {
		hold = l.survey(now, want.work).service(want).Seconds()
	}
	turns := float64(ahead.requests) / float64(rate.requests)
	if rate.tokens > 0 {
		turns = max(turns, float64(ahead.tokens)/float64(rate.tokens))
	}
	return seconds(max(turns*hold, drain))
}

// rate returns the load of a class that all servers of the work together bear at once.
func (l *Allocator) rate(now time.Time, work Workload, class Class) Load {
	var sum Load
	count := 0
	for _, b := range l.serving(work) {
		if b.halted(now) == "" {
			sum = sum.Add(b.limit())
			count++
		}
	}
	if class == ClassLong && count > 0 {
		sum = sum.part(l.queue(work).longServers(count), count)
	}
	return sum
}

func (l *Allocator) queued(now time.Time, q *queue, w *waiting) Decision {
	return Queued{want: w.want.id, owner: w.want.owner, wait: l.wait(now, q, w.want)}
}

func denied(want SlotRequest, refusal *Refusal) Decision {
	return Denied{want: want.id, owner: want.owner, refusal: refusal}
}

// busy returns the refusal of a want that would end late by that much.
func busy(late time.Duration) *Refusal {
	return NewRefusal(ReasonBusy, min(max(late, minComeBack), maxComeBack))
}
