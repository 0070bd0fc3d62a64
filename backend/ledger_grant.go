package backend

import (
	"fmt"
	"slices"
	"time"
)

// settle grants what has room.
func (l *Allocator) settle(now time.Time) []Decision {
	var out []Decision
	for _, q := range l.queues {
		out = append(out, l.dispatch(now, q)...)
	}
	return out
}

// expire denies the waiting wants that can't be served in time any more.
func (l *Allocator) expire(now time.Time) []Decision {
	var out []Decision
	for _, q := range l.queues {
		out = append(out, l.expireQueue(now, q)...)
	}
	return out
}

func (l *Allocator) expireQueue(now time.Time, q *queue) []Decision {
	var out []Decision
	survey := l.survey(now, q.work)
	q.removeIf(func(want SlotRequest) bool {
		refusal := survey.refuse(now, want)
		if refusal != nil && refusal.reason == ReasonBusy {
			refusal = busy(l.wait(now, q, want))
		}
		if refusal != nil {
			out = append(out, denied(want, refusal))
		}
		return refusal != nil
	})
	return out
}

// dispatch grants slots to waiting wants, short prompts first.
func (l *Allocator) dispatch(now time.Time, q *queue) []Decision {
	var out []Decision
	if g := q.gather; g.book != nil && (g.want.gone || !g.book.could(now, g.want.want)) {
		q.gather = gathering{}
	}
	for _, class := range classes {
		for {
			granted := l.serve(now, q, class)
			if granted == nil {
				break
			}
			out = append(out, *granted)
		}
	}
	return out
}

// serve grants a slot to the next want of a class that has room. A want that
// waits for room holds up those behind it, one that waits for a server to be
// heard again does not.
func (l *Allocator) serve(now time.Time, q *queue, class Class) *Granted {
	lane := q.lane(class)
	if class == ClassLong && q.gather.book != nil {
		w := q.gather.want
		if granted := l.place(now, q, w.want); granted != nil {
			lane.serve(lane.flow(w.want.account), w)
			q.gather = gathering{}
			return granted
		}
	}
	if lane.length == 0 {
		return nil
	}
	survey := l.survey(now, q.work)
	for _, f := range lane.order() {
		w := f.head(now, survey)
		if w == nil {
			continue
		}
		if granted := l.place(now, q, w.want); granted != nil {
			lane.serve(f, w)
			return granted
		}
		if class != ClassLong {
			return nil
		}
		if q.gather.book == nil {
			q.gather = gathering{book: l.gather(now, w.want), want: w}
		}
	}
	return nil
}

// head returns the first want of a flow that some server could take once it has room.
func (f *flow) head(now time.Time, survey survey) *waiting {
	for _, w := range f.wants {
		if survey.inTime(now, w.want) {
			return w
		}
	}
	return nil
}

// could reports whether the server could take the want if it were idle, in time or not.
func (b *book) could(now time.Time, want SlotRequest) bool {
	fits := b.need(want.cost).Within(b.limit())
	return fits && b.halted(now) == "" && !slices.Contains(want.avoid, b.server.id)
}

// place grants the want a slot on the best server that has room, nil if none has.
func (l *Allocator) place(now time.Time, q *queue, want SlotRequest) *Granted {
	bids := l.bids(now, q, want)
	var best *bid
	for i := range bids {
		if bids[i].reason == "" && (best == nil || bids[i].finish < best.finish) {
			best = &bids[i]
		}
	}
	if best == nil {
		return nil
	}
	granted := l.grant(now, want, best)
	granted.runnersUp = runnersUp(bids, best)
	return granted
}

func (l *Allocator) grant(now time.Time, want SlotRequest, best *bid) *Granted {
	b := best.book
	startBy := now.Add(StartWindow)
	if startBy.After(want.deadline) {
		startBy = want.deadline
	}
	slot := NewSlot(want, l.keeper, b.server, b.incarnation, startBy)
	e := b.add(now, want.work, slot)
	e.expected = b.pace.ahead(now, want.cost.Class()) + b.pace.service(now, want.cost)
	b.pace.read(now, want.cost)
	l.queue(want.work).served.add(now, want.cost)
	l.affinity.sent(want, b.server.id)
	why := fmt.Sprintf("ends in %.2fs at fill %.2f", best.finish, best.fill)
	if best.cached {
		why += ", prefix cached"
	}
	return &Granted{slot: slot, why: why}
}

// runnersUp names the best of the servers that were not chosen.
func runnersUp(bids []bid, best *bid) []RunnerUp {
	var list []RunnerUp
	for i := range bids {
		b := &bids[i]
		if b == best || len(list) == maxRunnersUp {
			continue
		}
		reason := b.reason
		if reason == "" {
			reason = fmt.Sprintf("ends in %.2fs", b.finish)
		}
		list = append(list, RunnerUp{server: b.book.server.id, reason: reason})
	}
	return list
}
