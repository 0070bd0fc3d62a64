package dispatch

import (
	"cmp"
	"slices"
	"time"

	"greengagedock.example/quarantine"
	"greengagedock.example/routing"
)

// maxLearnedAge is how long after another scheduler told what it learned this one may take
// over and use it: a lame-duck period and the time until entries notice that the scheduler
// stopped.
const maxLearnedAge = 5 * time.Second

// Learned is what the scheduler of a service has learned and its successor can't see in
// what is running. Its zero value says nothing. A part of the scheduler adds a field with
// an accessor and a WithX method, a line in Scheduler.Learned, and one in
// Scheduler.MergeLearned. To merge a field gives the same in any order, and nothing more
// the second time.
type Learned struct {
	service  string
	evidence quarantine.Evidence
	repeats  []quarantine.Repeat
	servers  []LearnedServer
	// unsettled holds the requests that run and whose parts may yet crash their servers.
	unsettled []UnsettledRequest
}

// NewLearned returns an empty value for a service.
func NewLearned(service string) Learned { return Learned{service: service} }

// WithEvidence returns the value with the evidence about parts of prompts.
func (l Learned) WithEvidence(evidence quarantine.Evidence) Learned {
	l.evidence = evidence
	return l
}

// WithRepeats returns the value with what is known of requests that may come again.
func (l Learned) WithRepeats(repeats []quarantine.Repeat) Learned {
	l.repeats = repeats
	return l
}

// WithServers returns the value with what is known of servers.
func (l Learned) WithServers(servers []LearnedServer) Learned {
	l.servers = servers
	return l
}

// WithUnsettled returns the value with running requests whose parts may yet crash their
// servers.
func (l Learned) WithUnsettled(requests []UnsettledRequest) Learned {
	l.unsettled = requests
	return l
}

// Service returns the name of the service.
func (l Learned) Service() string { return l.service }

// Evidence returns the evidence about parts of prompts.
func (l Learned) Evidence() quarantine.Evidence { return l.evidence }

// Repeats returns what is known of requests that may come again, to any service.
func (l Learned) Repeats() []quarantine.Repeat { return l.repeats }

// Servers returns what is known of servers, ordered by id.
func (l Learned) Servers() []LearnedServer { return l.servers }

// Unsettled returns the running requests whose parts may yet crash their servers, ordered
// by id.
func (l Learned) Unsettled() []UnsettledRequest { return l.unsettled }

// IsEmpty reports whether the value says nothing.
func (l Learned) IsEmpty() bool {
	return l.evidence.IsEmpty() && len(l.repeats)+len(l.servers)+len(l.unsettled) == 0
}

// LearnedServer is what is known of one incarnation of a backend server.
type LearnedServer struct {
	incarnation routing.Incarnation
	failures    Failures
	limitLevel  float64
	limitAt     time.Time
}

// NewLearnedServer returns an empty value for a server.
func NewLearnedServer(incarnation routing.Incarnation) LearnedServer {
	return LearnedServer{incarnation: incarnation}
}

// WithFailures returns the value with the server's failures.
func (l LearnedServer) WithFailures(failures Failures) LearnedServer {
	l.failures = failures
	return l
}

// WithLimitLevel returns the value with the level of the server's rate limit at a time: the
// number of requests that it has yet to absorb.
func (l LearnedServer) WithLimitLevel(level float64, at time.Time) LearnedServer {
	l.limitLevel, l.limitAt = level, at
	return l
}

// Incarnation returns the incarnation of the server.
func (l LearnedServer) Incarnation() routing.Incarnation { return l.incarnation }

// Failures returns the server's failures.
func (l LearnedServer) Failures() Failures { return l.failures }

// LimitLevel returns the level of the server's rate limit and the time of that, zero if
// nothing is known of it.
func (l LearnedServer) LimitLevel() (level float64, at time.Time) { return l.limitLevel, l.limitAt }

// Learned returns what this scheduler has learned of a service.
func (sched *Scheduler) Learned(now time.Time, service string) Learned {
	p := sched.pools[service]
	if p == nil {
		return NewLearned(service)
	}
	return NewLearned(service).
		WithEvidence(p.quarantine.Evidence(now)).
		WithRepeats(sched.repeats.Known()).
		WithServers(p.learnedServers(now)).
		WithUnsettled(sched.unsettledRequests(now, p))
}

// MergeLearned adds what another scheduler of a service has learned. Evidence below the
// threshold is taken over only from a scheduler that this one follows or is about to follow:
// one that worked beside it for long has not seen what speaks for the parts of prompts.
func (sched *Scheduler) MergeLearned(now time.Time, learned Learned) {
	p := sched.pools[learned.service]
	if p == nil {
		return
	}
	sched.repeats.Merge(now, learned.repeats)
	if p.primary && now.Sub(p.observedFrom) > maxLearnedAge {
		p.quarantine.Merge(now, learned.evidence.Suspicions())
	} else {
		p.inheritedAt = now
		p.quarantine.MergeEvidence(now, learned.evidence)
		sched.mergeUnsettled(now, p, learned.unsettled)
	}
	sched.mergeServers(now, p, learned.servers)
}

// learnedServers returns what is known of the servers of a service.
func (p *pool) learnedServers(now time.Time) []LearnedServer {
	var out []LearnedServer
	for _, s := range p.order {
		learned := NewLearnedServer(s.info.Incarnation()).WithFailures(s.failures())
		// A scheduler that was succeeded counts little of what the server gets.
		if l := &s.limit; l.perSecond > 0 && p.lostAt.IsZero() && (p.primary || l.inherited(now)) {
			if level := l.bucket.levelAt(now, l.perSecond); level == 0 || !l.guessed {
				learned = learned.WithLimitLevel(level, now)
			}
		}
		if !learned.failures.at.IsZero() || !learned.limitAt.IsZero() {
			out = append(out, learned)
		}
	}
	slices.SortFunc(out, func(a, b LearnedServer) int { return cmp.Compare(a.incarnation.ID(), b.incarnation.ID()) })
	return out
}

// mergeServers adds what another scheduler knows of the servers of a service.
func (sched *Scheduler) mergeServers(now time.Time, p *pool, servers []LearnedServer) {
	for _, learned := range servers {
		s := p.servers[learned.incarnation.ID()]
		if s == nil || s.info.Incarnation() != learned.incarnation {
			continue
		}
		s.mergeFailures(learned.failures)
		s.forgive(now, sched.cutOff)
		if s.limit.perSecond > 0 && !learned.limitAt.IsZero() {
			s.limit.merge(now, learned.limitLevel, learned.limitAt, p.rateLimitShare)
		}
	}
	p.cachedCandidates = nil
}
