package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// maxHelpers is how many servers a model engine lets read parts of one prompt.
	maxHelpers = 16
	// leastPart is the fewest tokens that are worth a helper.
	leastPart = 1024
	// freeBacklog is the reading that a server may still have before it when a
	// prompt is given to several: engines read what they have side by side, so
	// what waits is kept in the book, which knows the order.
	freeBacklog = 100 * time.Millisecond
	// hurryAfter is the part of the objective after which a want takes a place
	// that is on time though it misses the target.
	hurryAfter = 0.12
	// onTimePart is the part of the time left to the objective that the expected time may take.
	onTimePart = 0.9
	// firstTarget is the part of the time left to the objective in which a
	// prompt is to be read; more helpers are taken to meet it.
	firstTarget = 0.4
	// firstPart is the part of the time left to a want's first event that the
	// expected time may take: expectations are short by up to a pass.
	firstPart = 0.8
)

// helperCounts are the numbers of helpers that are tried, in order.
var helperCounts = []int{0, 1, 2, 3, 5, 7, 10, 13, maxHelpers}

// decide returns the decision on a want, nil to let it wait. With alone the
// want may take no helpers, since others wait for them.
func (b *Scheduler) decide(now time.Time, p *pool, owner Owner, want Request, alone bool) Decision {
	if !now.Before(want.deadline) {
		return NewRefused(want.id, ReasonPastDeadline, p.comeBack(now))
	}
	open := p.open(now, want)
	if len(open) == 0 {
		return p.wait(now, want, ReasonNoServer)
	}
	var choice placement
	if p.service.Engine() == nil {
		choice = choosePlain(open, want)
	} else {
		choice = p.chooseEngine(now, open, want, alone)
	}
	if choice.server == nil {
		return p.wait(now, want, ReasonBusy)
	}
	return NewGranted(b.place(now, p, owner, want, choice))
}

// open returns the servers that may get a request, those that were excluded if
// there are no others, and those that failed but can be reached if there are
// none at all. The result is not to be changed: a look at what waits uses it again.
func (p *pool) open(now time.Time, want Request) []*server {
	if len(want.exclude) == 0 && p.opened != nil {
		return p.opened
	}
	out := p.look(now, want)
	if len(want.exclude) == 0 && p.ticking {
		p.opened = out
	}
	return out
}

// look finds what open returns.
func (p *pool) look(now time.Time, want Request) []*server {
	out := make([]*server, 0, len(p.order))
	var excluded, failed []*server
	for _, s := range p.order {
		if !s.usable || !s.coldRoom(now, p.share) {
			continue
		}
		if !s.open(now) {
			if !s.lost {
				failed = append(failed, s)
			}
			continue
		}
		if slices.Contains(want.exclude, s.info.ID()) {
			excluded = append(excluded, s)
			continue
		}
		out = append(out, s)
	}
	switch {
	case len(out) > 0:
		return out
	case len(excluded) > 0:
		return excluded
	default:
		return failed
	}
}

// placement is a server for a request with its helpers, and the expected time to the first event.
type placement struct {
	server  *server
	helpers []*server
	first   time.Duration
	// reserve is the memory to reserve on each helper, nil for none.
	reserve []int
	// borne tells that answers on all these servers stay on time.
	borne bool
	why   string
}

// choosePlain returns the least loaded server of a plain service, one in the
// failure domain of the entry among equals.
func choosePlain(open []*server, want Request) placement {
	var best *server
	var bestScore float64
	for _, s := range open {
		if len(s.holds) >= s.slots() {
			continue
		}
		score := float64(len(s.holds))/float64(s.slots()) + s.failureMean
		if s.info.Domain() != want.domain {
			score += 0.3
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return placement{server: best, why: "least loaded"}
}

// chooseEngine returns where a prompt is read and its answer written. Answers
// that bear pauses alike are gathered on few servers: a pass takes as long with
// one writer as with many, and what others read delays all of them.
func (p *pool) chooseEngine(now time.Time, open []*server, want Request, alone bool) placement {
	if want.prompt+want.answer > p.service.Engine().Memory() {
		return p.chooseSpread(now, open, want)
	}
	target, acceptable := want.targets(now)
	whole := p.reading(want)
	least := time.Duration(float64(whole) / (1 + maxHelpers))
	firsts := slices.DeleteFunc(slices.Clone(open), func(s *server) bool {
		if len(s.holds) >= s.slots() || s.memory+want.prompt+want.answer > s.engine.Memory() {
			return true
		}
		// What can't be borne or in time with all helpers need not be looked at closely.
		cost := least
		if alone || s.backlog(now) > freeBacklog {
			cost = whole
		}
		return s.backlog(now)+cost+s.stride() > max(target, acceptable) || !s.bears(now, cost)
	})
	if len(firsts) == 0 {
		return placement{}
	}
	preferred := newOrder(firsts, func(a, b *server) int {
		return cmp.Or(affinity(a, want)-affinity(b, want), len(b.holds)-len(a.holds), cmp.Compare(a.backlog(now), b.backlog(now)))
	})
	readers := p.readers(now, open)
	var best placement
	for s := preferred.next(); s != nil; s = preferred.next() {
		for _, count := range helperCounts {
			if count > 0 && (alone || s.backlog(now) > freeBacklog || want.prompt/(count+1) < leastPart) {
				break
			}
			choice, ok := withHelpers(now, s, readers, want.prompt, count)
			if !ok {
				break
			}
			if !choice.borne {
				continue
			}
			if choice.first <= target {
				choice.why = "gathered"
				return choice
			}
			if choice.first <= acceptable && (best.server == nil || choice.first < best.first) {
				best = choice
				best.why = "soonest"
			}
		}
	}
	return best
}

// targets returns the expected time to the first event that a placement is to
// meet, and that which is acceptable once the want has waited a little.
func (w Request) targets(now time.Time) (target, acceptable time.Duration) {
	left := w.objective.Sub(now)
	target = time.Duration(firstTarget * float64(left))
	if left <= 0 {
		late := time.Duration(firstPart * float64(w.firstBy.Sub(now)))
		return 0, late
	}
	whole := w.objective.Sub(w.arrived)
	if now.Sub(w.arrived) >= time.Duration(hurryAfter*float64(whole)) {
		acceptable = time.Duration(onTimePart * float64(left))
	}
	return target, acceptable
}

// affinity returns 0 for a server whose answers bear the same pauses, 1 for an
// empty one and 2 for others.
func affinity(s *server, want Request) int {
	switch s.tolerance {
	case want.pause:
		return 0
	case 0:
		return 1
	default:
		return 2
	}
}

// readers returns as many servers as may help one prompt: those without answers
// first, the quickest first. An engine reads parts for others before its own prompts, so
// one that still reads a prompt of its own does not help.
func (p *pool) readers(now time.Time, open []*server) []*server {
	readers := slices.DeleteFunc(slices.Clone(open), func(s *server) bool {
		return s.helping >= s.slots() || now.Before(s.coldUntil) || s.writers < len(s.holds) || s.backlog(now) > freeBacklog
	})
	quickest := newOrder(readers, func(a, b *server) int {
		if (len(a.holds) > 0) != (len(b.holds) > 0) {
			if len(a.holds) > 0 {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.backlog(now), b.backlog(now))
	})
	return quickest.first(maxHelpers + 1)
}

// withHelpers returns the placement on a server with so many helpers, and
// false if there are not so many.
func withHelpers(now time.Time, s *server, readers []*server, prompt, count int) (placement, bool) {
	share := 1 / float64(1+count)
	cost := s.readCost(prompt, share)
	choice := placement{server: s, first: s.backlog(now) + cost + s.stride(), borne: s.bears(now, cost)}
	if count > 0 {
		choice.helpers = make([]*server, 0, count)
	}
	for _, r := range readers {
		if len(choice.helpers) == count {
			break
		}
		if r == s {
			continue
		}
		choice.helpers = append(choice.helpers, r)
		choice.first = max(choice.first, r.backlog(now)+cost+r.stride())
		choice.borne = choice.borne && r.bears(now, cost)
	}
	return choice, len(choice.helpers) == count
}

// place enters a request on its servers.
func (b *Scheduler) place(now time.Time, p *pool, owner Owner, want Request, choice placement) Grant {
	s := choice.server
	p.opened = nil
	var helperIDs []string
	var helpers []PrefillWorker
	var reserved []reservation
	spread := 0
	for i, helper := range choice.helpers {
		tokens := 0
		if choice.reserve != nil && choice.reserve[i] > 0 {
			tokens = choice.reserve[i]
			reserved = append(reserved, reservation{server: helper, tokens: tokens})
			helper.memory += tokens
			spread += tokens
		}
		helperIDs = append(helperIDs, helper.info.ID())
		helpers = append(helpers, NewPrefillWorker(helper.info.ID(), helper.info.Address(), tokens))
	}
	h := &hold{
		RunningRequest: NewRunningRequest(want, s.info.ID(), helperIDs),
		owner:          owner,
		on:             s,
		granted:        now,

		memory:   want.prompt + want.answer - spread,
		reserved: reserved,
	}
	if s.engine != nil {
		h.expect = now.Add(choice.first)
		p.kindOf(want).place(now, want.prompt)
		p.given = p.lately(now) + p.reading(want)
		p.givenAt = now
		share := 1 / float64(1+len(choice.helpers))
		for _, participant := range append([]*server{s}, choice.helpers...) {
			participant.give(now, h, participant.readCost(want.prompt, share))
			participant.await(h)
		}
	}
	if now.Before(s.coldUntil) {
		s.coldSpent++
	}
	b.holds[want.id] = h
	s.add(h)
	why := fmt.Sprintf("%s of %d, writers %d, backlog %dms", choice.why, len(p.order), s.writers, s.backlog(now).Milliseconds())
	return NewGrant(want.id, s.info.ID(), s.info.Address(), helpers, choice.first).WithExplanation(now.Sub(want.arrived), why)
}
