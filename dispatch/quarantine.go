package dispatch

import (
	"time"

	"greengagedock.example/quarantine"
)

// SetPrimary sets whether this scheduler places a service's requests of all entries. Only
// then does it see all evidence about prompts that crash servers, may learn from it, and
// may let a request through after a quarantine.
func (sched *Scheduler) SetPrimary(now time.Time, service string, primary bool) {
	p := sched.pools[service]
	if p == nil || p.primary == primary {
		return
	}
	p.primary = primary
	p.fillLimits(now)
	if !primary {
		p.lostAt = now
		return
	}
	p.observedFrom = now
	if !p.inheritedAt.After(p.lostAt) {
		p.forgetEvidence()
	}
	p.lostAt, p.inheritedAt = time.Time{}, time.Time{}
}

// Primary reports whether this scheduler places a service's requests of all entries.
func (sched *Scheduler) Primary(service string) bool {
	p := sched.pools[service]
	return p != nil && p.primary
}

// HoldsLearned reports whether this scheduler holds what is to be told to the next one of a
// service: as the primary one, or because it was that or was told by another one a short
// time ago.
func (sched *Scheduler) HoldsLearned(service string) bool {
	p := sched.pools[service]
	return p != nil && (p.learns() || !p.inheritedAt.IsZero())
}

// learns reports whether this scheduler sees the evidence about prompts: as the primary one,
// and for a while afterwards, when the other entries have not all turned to the next one.
func (p *pool) learns() bool { return p.primary || !p.lostAt.IsZero() }

// expireEvidence forgets the evidence about prompts that is of no more use to this scheduler.
func (p *pool) expireEvidence(now time.Time) {
	if p.primary || p.lostAt.IsZero() && p.inheritedAt.IsZero() || now.Sub(later(p.lostAt, p.inheritedAt)) <= maxLearnedAge {
		return
	}
	p.forgetEvidence()
}

// forgetEvidence forgets the evidence about prompts.
func (p *pool) forgetEvidence() {
	p.quarantine.Forget()
	p.settling = nil
	p.lostAt, p.inheritedAt = time.Time{}, time.Time{}
}

// Suspicions returns the suspicions against parts of the prompts of a service.
func (sched *Scheduler) Suspicions(service string) []quarantine.Suspicion {
	if p := sched.pools[service]; p != nil {
		return p.quarantine.Suspicions()
	}
	return nil
}

// SuspicionsDigest returns a hash of the suspicions of a service, 0 if there are none.
func (sched *Scheduler) SuspicionsDigest(service string) uint64 {
	if p := sched.pools[service]; p != nil {
		return p.quarantine.Digest()
	}
	return 0
}

// MergeSuspicions adds what another scheduler suspects.
func (sched *Scheduler) MergeSuspicions(now time.Time, service string, suspicions []quarantine.Suspicion) {
	if p := sched.pools[service]; p != nil {
		p.quarantine.Merge(now, suspicions)
	}
}

// Repeats returns what is known of requests that may come again. The caller may ask it for
// changes and merge what other schedulers know.
func (sched *Scheduler) Repeats() *quarantine.Repeats { return &sched.repeats }

// refuseQuarantined refuses a request that crashes servers, or has parts that do. It
// returns nil for any other.
func (sched *Scheduler) refuseQuarantined(now time.Time, p *pool, request Request) Decision {
	if retryAfter, refused := sched.repeats.Check(now, request.fingerprint, p.primary); refused {
		return NewRefused(request.id, ReasonQuarantined, retryAfter)
	}
	if request.resumed {
		return nil // what already wrote events crashes no server as it begins to
	}
	if retryAfter, refused := p.quarantine.Check(now, request.parts, p.primary); refused {
		return NewRefused(request.id, ReasonQuarantined, retryAfter)
	}
	return nil
}

// recordRepeat records what the end of a request says about the same request. Each
// scheduler that knows of it does so, not only the primary one.
func (sched *Scheduler) recordRepeat(now time.Time, alloc *allocation, outcome Outcome) {
	switch {
	case outcome == OutcomeComplete, outcome == OutcomeServerError, alloc.hasSettled(now):
		sched.repeats.Settled(now, alloc.fingerprint)
	case outcome == OutcomeBroken:
		sched.repeats.Crashed(now, alloc.assigned.info.Incarnation().String(), alloc.granted, alloc.fingerprint)
	}
}

// hasSettled reports whether the answer of a running request has gone on for long enough.
func (alloc *allocation) hasSettled(now time.Time) bool {
	return alloc.started && now.Sub(alloc.startedAt) >= quarantine.SettleTime
}

// learnsFrom reports whether a request says anything about parts of prompts: one without
// such parts may, too.
func (p *pool) learnsFrom(alloc *allocation) bool {
	return len(alloc.parts) > 0 || p.service.Engine() != nil
}

// addSettling has a request settle once its answer has gone on for long enough.
func (sched *Scheduler) addSettling(alloc *allocation) {
	if p := sched.pools[alloc.service]; p != nil && p.learns() && p.learnsFrom(alloc) {
		p.settling = append(p.settling, alloc)
	}
}

// settle records the requests of a pool that have settled, and evaluates what is known.
func (sched *Scheduler) settle(now time.Time, p *pool) {
	n := 0
	for ; n < len(p.settling) && now.Sub(p.settling[n].startedAt) >= quarantine.SettleTime; n++ {
		if alloc := p.settling[n]; sched.running[alloc.id] == alloc {
			p.quarantine.Settled(now, alloc.parts)
		}
	}
	p.settling = p.settling[n:]
	if len(p.settling) == 0 {
		p.settling = nil // frees the array
	}
	if p.primary {
		p.quarantine.Evaluate(now)
	} else {
		p.quarantine.Expire(now)
	}
}

// recordEvidence records what the end of a request says about the parts of its prompt.
func (sched *Scheduler) recordEvidence(now time.Time, alloc *allocation, outcome Outcome) {
	p := sched.pools[alloc.service]
	if p == nil || !p.learns() || !p.learnsFrom(alloc) {
		return
	}
	settled := alloc.started && outcome == OutcomeComplete || alloc.hasSettled(now)
	switch {
	case settled:
		p.quarantine.Settled(now, alloc.parts)
	case outcome == OutcomeBroken:
		p.quarantine.Crashed(now, alloc.server, alloc.parts)
	}
}
