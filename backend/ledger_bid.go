package backend

import (
	"slices"
	"time"
)

const (
	// reserveDen is the part of a server's load that is kept for short prompts.
	reserveDen = 8
	// pressureNum and pressureDen give the part of a server's load that short
	// prompts leave to others when those wait.
	pressureNum, pressureDen = 3, 4
	// hotSpot is how much fuller than the mean a server may be and still be
	// preferred for a prefix that it caches.
	hotSpot = 0.25
	// prefixSaved is the part of a prompt that a cached prefix is expected to save.
	prefixSaved = 0.8
	// firstWeight is how much more the wait for the first token counts than the rest of the answer.
	firstWeight = 10
	// gatherPenalty is what keeps short prompts from a server that empties for a large one, in seconds.
	gatherPenalty = 10
)

// bid is a server's offer to a want.
type bid struct {
	book   *book
	reason string
	finish float64
	fill   float64
	cached bool
}

// bids returns the offer of every server that carries the work.
func (l *Allocator) bids(now time.Time, q *queue, want SlotRequest) []bid {
	var bids []bid
	mean := 0.0
	long := l.longSubset(now, want)
	for _, b := range l.serving(want.work) {
		bids = append(bids, b.bid(now, q, want, slices.Contains(long, b) || b == q.gather.book))
		mean += bids[len(bids)-1].fill
	}
	mean /= float64(max(len(bids), 1))
	cached := l.affinity.server(want)
	for i := range bids {
		if bids[i].book.server.id == cached && bids[i].fill <= mean+hotSpot {
			prefill, _ := bids[i].book.pace.at(now)
			bids[i].cached = true
			bids[i].finish -= prefixSaved * prefill * float64(want.cost.prompt)
		}
	}
	return bids
}

// bid returns the server's offer to the want.
func (b *book) bid(now time.Time, q *queue, want SlotRequest, long bool) bid {
	offer := bid{book: b, reason: b.room(now, q, want, long)}
	limit, counted := b.limit(), b.counted()
	offer.fill = max(fill(counted.requests, limit.requests), fill(counted.tokens, limit.tokens))
	wait := b.pace.ahead(now, want.cost.Class()).Seconds()
	service := b.pace.service(now, want.cost).Seconds()
	offer.finish = firstWeight*wait + service*(1+offer.fill)
	if offer.reason == "" && now.Add(seconds(wait+service)).After(want.deadline) {
		offer.reason = "would end late"
	}
	if q.gather.keeps(b, want) {
		offer.finish += gatherPenalty
	}
	return offer
}

func fill(used, limit int) float64 {
	if limit == 0 {
		return 0
	}
	return float64(used) / float64(limit)
}

// room returns why the server has no room for the want, empty if it has.
func (b *book) room(now time.Time, q *queue, want SlotRequest, long bool) string {
	if halted := b.halted(now); halted != "" {
		return halted
	}
	if slices.Contains(want.avoid, b.server.id) {
		return "avoided"
	}
	need, limit, counted := b.need(want.cost), b.limit(), b.counted()
	after := counted.Add(need)
	if !after.Within(limit) {
		return "full"
	}
	if b.server.bearing.warm.tokens == 0 {
		return ""
	}
	if want.cost.Class() == ClassShort {
		return b.shortRoom(q, need, limit)
	}
	if q.gather.keeps(b, want) {
		return "empties for a larger prompt"
	}
	if !reserved(need, after, limit) {
		return "rest kept for short prompts"
	}
	if want.cost.Class() == ClassLong {
		return b.longRoom(need, limit, long)
	}
	return ""
}

// shortRoom returns why short prompts may not take more while others wait.
func (b *book) shortRoom(q *queue, need, limit Load) string {
	pressed := q.gather.book == b || q.lane(ClassMedium).length > 0
	if pressed && limit.requests >= pressureDen && !b.class(ClassShort).Add(need).Within(limit.part(pressureNum, pressureDen)) {
		return "rest kept for longer prompts"
	}
	return ""
}

// longRoom returns why the server takes no further long prompt.
func (b *book) longRoom(need, limit Load, long bool) string {
	if !long {
		return "takes no long prompts now"
	}
	taken := b.class(ClassLong)
	if taken.requests > 0 && taken.tokens+need.tokens > limit.tokens*longShareNum/longShareDen {
		return "long prompts have their part"
	}
	return ""
}

// reserved reports whether the load leaves short prompts their part, which a
// prompt that never could leave it need not.
func reserved(need, after, limit Load) bool {
	rest := limit.Sub(limit.part(1, reserveDen))
	if need.tokens <= rest.tokens && after.tokens > rest.tokens {
		return false
	}
	return after.requests <= max(rest.requests, 1)
}
