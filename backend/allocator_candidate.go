package backend

import (
	"slices"
	"time"
)

const (
	// shortReserveDen is the divisor of the share of a server's capacity that
	// is reserved for short prompts.
	shortReserveDen = 8
	// shortShareNum and shortShareDen give the share of a server's capacity
	// that short prompts may use while medium ones wait or the server is
	// reserved for a long one.
	shortShareNum, shortShareDen = 3, 4
	// maxAffinityImbalance is how far a server's utilization may exceed the
	// mean for the server still to be preferred for a prefix that it caches.
	maxAffinityImbalance = 0.25
	// cachedPrefixSaving is the share of the prefill time that a cached
	// prefix is expected to save.
	cachedPrefixSaving = 0.8
	// firstTokenWeight is the weight of the wait before prefill, which delays
	// the first token, relative to that of the service time.
	firstTokenWeight = 10
	// reservationPenalty is added to the score of a server that is reserved
	// for a larger prompt, in seconds, to keep short prompts off it.
	reservationPenalty = 10
)

// candidate is a server considered for a slot request. The server with the
// lowest score wins; the score is a weighted completion time in seconds. A
// server with a rejectReason can't be chosen.
type candidate struct {
	backend      *backendState
	rejectReason string
	score        float64
	utilization  float64
	prefixCached bool
}

// candidates returns every server that carries the workload, rejected ones
// included.
func (a *Allocator) candidates(now time.Time, q *queue, request SlotRequest) []candidate {
	var candidates []candidate
	mean := 0.0
	longServers := a.longServers(now, request)
	for _, b := range a.serving(request.workload) {
		candidates = append(candidates, b.candidate(now, q, request, slices.Contains(longServers, b) || b == q.reservation.backend))
		mean += candidates[len(candidates)-1].utilization
	}
	mean /= float64(max(len(candidates), 1))
	cached := a.affinity.server(request)
	for i := range candidates {
		if candidates[i].backend.server.id == cached && candidates[i].utilization <= mean+maxAffinityImbalance {
			prefill, _ := candidates[i].backend.estimator.tokenTimes(now)
			candidates[i].prefixCached = true
			candidates[i].score -= cachedPrefixSaving * prefill * float64(request.cost.prompt)
		}
	}
	return candidates
}

// candidate rates the server for the request; takesLong says whether the
// server takes long prompts now.
func (b *backendState) candidate(now time.Time, q *queue, request SlotRequest, takesLong bool) candidate {
	c := candidate{backend: b, rejectReason: b.rejectReason(now, q, request, takesLong)}
	limit, load := b.limit(), b.countedLoad()
	c.utilization = max(utilization(load.requests, limit.requests), utilization(load.tokens, limit.tokens))
	wait := b.estimator.backlogTime(now, request.cost.Class()).Seconds()
	service := b.estimator.serviceTime(now, request.cost).Seconds()
	c.score = firstTokenWeight*wait + service*(1+c.utilization)
	if c.rejectReason == "" && now.Add(seconds(wait+service)).After(request.deadline) {
		c.rejectReason = "would end late"
	}
	if q.reservation.blocks(b, request) {
		c.score += reservationPenalty
	}
	return c
}

func utilization(used, limit int) float64 {
	if limit == 0 {
		return 0
	}
	return float64(used) / float64(limit)
}

// rejectReason returns why the server can't take the request now, empty if it
// can.
func (b *backendState) rejectReason(now time.Time, q *queue, request SlotRequest, takesLong bool) string {
	if suspended := b.suspendedReason(now); suspended != "" {
		return suspended
	}
	if slices.Contains(request.avoid, b.server.id) {
		return "avoided"
	}
	need, limit, load := b.need(request.cost), b.limit(), b.countedLoad()
	after := load.Add(need)
	if !after.Within(limit) {
		return "full"
	}
	if b.server.capacity.warm.tokens == 0 {
		return ""
	}
	if request.cost.Class() == ClassShort {
		return b.shortRejectReason(q, need, limit)
	}
	if q.reservation.blocks(b, request) {
		return "empties for a larger prompt"
	}
	if !leavesReserve(need, after, limit) {
		return "rest kept for short prompts"
	}
	if request.cost.Class() == ClassLong {
		return b.longRejectReason(need, limit, takesLong)
	}
	return ""
}

// shortRejectReason returns why the server takes no further short prompt
// while longer ones wait, empty if it does.
func (b *backendState) shortRejectReason(q *queue, need, limit Load) string {
	reserved := q.reservation.backend == b || q.classQueue(ClassMedium).length > 0
	if reserved && limit.requests >= shortShareDen && !b.classLoad(ClassShort).Add(need).Within(limit.part(shortShareNum, shortShareDen)) {
		return "rest kept for longer prompts"
	}
	return ""
}

// longRejectReason returns why the server takes no further long prompt, empty
// if it does.
func (b *backendState) longRejectReason(need, limit Load, takesLong bool) string {
	if !takesLong {
		return "takes no long prompts now"
	}
	taken := b.classLoad(ClassLong)
	if taken.requests > 0 && taken.tokens+need.tokens > limit.tokens*longShareNum/longShareDen {
		return "long prompts have their part"
	}
	return ""
}

// leavesReserve reports whether the load leaves the reserve for short prompts
// free. A prompt that exceeds the rest of the server even when alone is
// exempt.
func leavesReserve(need, after, limit Load) bool {
	rest := limit.Sub(limit.part(1, shortReserveDen))
	if need.tokens <= rest.tokens && after.tokens > rest.tokens {
		return false
	}
	return after.requests <= max(rest.requests, 1)
}
