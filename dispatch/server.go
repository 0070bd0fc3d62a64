package dispatch

import (
	"time"

	"greengagedock.example/routing"
)

const (
	// minSuspension is how long a server gets no requests after one failure; the time doubles with each further failure.
	minSuspension = 400 * time.Millisecond
	// maxSuspension bounds the doubling. It is a little over three heartbeats, after
	// which a dead server is dropped from the published list.
	maxSuspension = 5 * time.Second
	// stallSuspension is how long a server gets no requests after it stalled.
	stallSuspension = 2 * time.Second
	// failureWeight is the weight of the newest outcome in the moving average of failures.
	failureWeight = 0.2
	// maxFailureRate is the moving average of failures above which a server is suspended.
	maxFailureRate = 0.4
	// serverErrorCost is the weight of a server's own 5xx as a failure: some requests fail on any server.
	serverErrorCost = 0.4
	// overdueSlack is how late an event may be without counting as backlog: the time
	// for which entries batch events, and a round trip.
	overdueSlack = 40 * time.Millisecond
	// maxPassFraction is the fraction of a server's shortest token interval objective that one pass may take.
	maxPassFraction = 0.8
	// maxFailuresInNeed is the number of consecutive failures up to which a suspended
	// server is used by requests that get no other.
	maxFailuresInNeed = 2
	// coldCapacityFraction is the fraction of a cold server's capacity that a scheduler
	// uses: two entries that both act as the scheduler for a while, and entries that
	// schedule on their own, then stay within the capacity together.
	coldCapacityFraction = 0.5
)

// server is the scheduler's state of one incarnation of a backend server.
type server struct {
	info   routing.Server
	engine *routing.EngineProfile
	usable bool
	// preference is the server's rank in the entry's preference among equals.
	preference int

	running map[string]*allocation
	// workerFor is the number of requests on other servers that this server prefills parts for.
	workerFor     int
	memory        int
	decoding      int
	contextTokens int
	// tokenInterval is the shortest token interval objective of the requests on the
	// server, 0 if there is none.
	tokenInterval time.Duration
	// prefillDoneAt is when the prefill assigned to the server is expected to be done.
	prefillDoneAt time.Time
	// pending holds the requests that wait for the server before their first event.
	// firstExpected is the earliest time at which one of these events was expected,
	// zero if there is none.
	pending       map[*allocation]bool
	firstExpected time.Time

	coldUntil time.Time
	coldRate  float64
	cold      leakyBucket
	limit     rateLimit

	suspendedUntil      time.Time
	consecutiveFailures int
	// unresponsive is set if the server was unreachable or stalled at the last attempt.
	unresponsive bool
	// refusesUntil is when the server wants the next request, as it has stated.
	refusesUntil time.Time
	// refusedUntil is when a server that is full, or whose address another one has,
	// may be asked again.
	refusedUntil time.Time
	failureRate  float64
	// outcomeAt is when the last outcome was recorded that says something about the server.
	outcomeAt time.Time
	// blamers holds the entries that reported the consecutive failures.
	blamers map[string]bool
	// observed is what the loads that the server states show.
	observed observation
	speed    speed
	reach    reach
}

// allocation is a running request with what it takes on its servers.
type allocation struct {
	RunningRequest
	owner    Owner
	assigned *server
	granted  time.Time
	// adopted is set if another scheduler placed the request, at an unknown time before granted.
	adopted bool
	// memory is the number of tokens that the request takes on its server, and
	// reservations what it takes on others.
	memory       int
	reservations []reservation
	// earliestRun is for how long the request runs in the earliest case, zero until it is needed.
	earliestRun time.Duration
	// expected is when the first event is expected, zero if unknown.
	expected time.Time
	// startedAt is when the first event is known to have arrived, zero before.
	startedAt    time.Time
	prefillParts []prefillPart
	// charged is the cost for which the account was charged.
	charged    time.Duration
	speedBasis speedBasis
}

// reservation is memory that a request takes on a prefill worker until it ends.
type reservation struct {
	server *server
	tokens int
}

// prefillPart is the part of a request's prefill that is assigned to a server.
type prefillPart struct {
	server *server
	cost   time.Duration
}

// backlog returns the time until the server has prefilled all its prompts. The time
// by which events are overdue counts as well: a server that answers nothing would
// otherwise seem idle and get all the requests that are packed on one server.
func (s *server) backlog(now time.Time) time.Duration {
	backlog := max(0, s.prefillDoneAt.Sub(now)) + s.unseenBacklog(now)
	if s.firstExpected.IsZero() {
		return backlog
	}
	return backlog + max(0, now.Sub(s.firstExpected)-overdueSlack)
}

// addPending records that a request's first event depends on the server.
func (s *server) addPending(alloc *allocation) {
	if s.pending == nil {
		s.pending = make(map[*allocation]bool)
	}
	s.pending[alloc] = true
	if s.firstExpected.IsZero() || alloc.expected.Before(s.firstExpected) {
		s.firstExpected = alloc.expected
	}
}

// removePending records that a request's first event arrived or is no longer expected.
func (s *server) removePending(alloc *allocation) {
	if !s.pending[alloc] {
		return
	}
	delete(s.pending, alloc)
	s.firstExpected = time.Time{}
	for other := range s.pending {
		if s.firstExpected.IsZero() || other.expected.Before(s.firstExpected) {
			s.firstExpected = other.expected
		}
	}
}

// prefillTime returns the time in which the server prefills a share of a prompt.
func (s *server) prefillTime(prompt int, share float64) time.Duration {
	return s.scaled(s.engine.PrefillTime(prompt, share))
}

// decodePassTime returns the time that the decode steps of a pass take in addition to its prefill.
func (s *server) decodePassTime() time.Duration {
	if s.decoding == 0 {
		return 0
	}
	return s.scaled(s.engine.DecodePassTime(s.decoding, s.contextTokens))
}

// add adds a request to the server.
func (s *server) add(alloc *allocation) {
	s.running[alloc.id] = alloc
	s.memory += alloc.memory
	s.updateTokenInterval()
}

// remove removes a request from the server.
func (s *server) remove(alloc *allocation) {
	delete(s.running, alloc.id)
	s.memory -= alloc.memory
	s.updateTokenInterval()
}

// updateTokenInterval updates the shortest token interval objective of the requests on the server.
func (s *server) updateTokenInterval() {
	s.tokenInterval = 0
	for _, alloc := range s.running {
		if alloc.maxTokenInterval > 0 && (s.tokenInterval == 0 || alloc.maxTokenInterval < s.tokenInterval) {
			s.tokenInterval = alloc.maxTokenInterval
		}
	}
}

// canPrefill reports whether the requests on the server still meet their token
// interval objectives while it does so much additional prefill: a pass prefills
// everything that is queued, and sends its events at its end.
func (s *server) canPrefill(now time.Time, cost time.Duration) bool {
	if s.tokenInterval == 0 {
		return true
	}
	pass := s.backlog(now) + cost + s.scaled(s.engine.DecodePassTime(len(s.running), s.memory))
	return pass <= time.Duration(maxPassFraction*float64(s.tokenInterval))
}

// slots returns the number of requests that the server runs concurrently.
func (s *server) slots() int {
	if s.engine != nil && s.engine.Slots() > 0 {
		return min(s.info.Slots(), s.engine.Slots())
	}
	return s.info.Slots()
}

// accepts reports whether the server is not known to reject a request that is sent now.
func (s *server) accepts(now time.Time) bool {
	return s.usable && !now.Before(s.refusedUntil) && !now.Before(s.refusesUntil)
}

// available reports whether the server may get another request now.
func (s *server) available(now time.Time) bool {
	if now.Before(s.suspendedUntil) || !s.accepts(now) {
		return false
	}
	// After failures the server gets one request at a time as a probe.
	return s.consecutiveFailures == 0 || len(s.running) == 0
}

// availableInNeed reports whether a request that gets no other server may use this
// one although it is suspended: it responds, and only some of its responses fail.
func (s *server) availableInNeed(now time.Time) bool {
	return s.accepts(now) && !s.unresponsive && s.consecutiveFailures <= maxFailuresInNeed
}

// admitsCold reports whether the server's capacity allows a request now; it is
// limited, by a leaky bucket, only while the server is cold.
func (s *server) admitsCold(now time.Time, share float64) bool {
	if !now.Before(s.coldUntil) || s.coldRate <= 0 {
		return true
	}
	return s.cold.admits(now, s.coldRate*coldCapacityFraction*share)
}

// recordOutcome updates the server's failure state with the outcome of a request, as an entry
// reports it.
func (s *server) recordOutcome(now time.Time, entry string, outcome Outcome) {
	cost := 0.0
	switch outcome {
	case OutcomeCancelled, OutcomeWithdrawn, OutcomePathLost, OutcomeRejected:
		if outcome == OutcomeRejected {
			s.outcomeAt = now
			s.refusedUntil = later(s.refusedUntil, now.Add(minSuspension/4))
		}
		return
	case OutcomeComplete:
		s.responded(now, entry)
		s.consecutiveFailures = 0
		s.unresponsive = false
		s.blamers = nil
	case OutcomeServerError:
		s.responded(now, entry)
		s.consecutiveFailures = 0
		s.unresponsive = false
		s.blamers = nil
		cost = serverErrorCost
	case OutcomeReplaced:
		s.outcomeAt = now
		s.refusedUntil = later(s.refusedUntil, now.Add(maxSuspension))
		return
	case OutcomeUnreachable, OutcomeBroken, OutcomeStalled:
		if s.reach.blamedAlone(now, entry) {
			if outcome != OutcomeBroken {
				return
			}
			cost = 1
			break
		}
		cost = 1
		s.consecutiveFailures++
		if s.blamers == nil {
			s.blamers = make(map[string]bool)
		}
		s.blamers[entry] = true
		s.unresponsive = outcome != OutcomeBroken
		duration := min(maxSuspension, minSuspension<<min(s.consecutiveFailures-1, 4))
		if outcome == OutcomeStalled {
			duration = max(duration, stallSuspension)
		}
		s.suspend(now, duration)
	}
	s.outcomeAt = now
	s.failureRate += failureWeight * (cost - s.failureRate)
	if s.failureRate > maxFailureRate {
		s.failureRate = maxFailureRate / 2
		s.suspend(now, maxSuspension)
	}
}

func (s *server) suspend(now time.Time, duration time.Duration) {
	s.suspendedUntil = later(s.suspendedUntil, now.Add(duration))
}

// forgive ends the suspension of a server whose consecutive failures were all reported by
// entries that turn out to have lost the way to it, or to all servers.
func (s *server) forgive(now time.Time, cutOff map[string]bool) {
	if len(s.blamers) == 0 {
		return
	}
	for entry := range s.blamers {
		if !cutOff[entry] && !s.reach.avoids(now, entry) {
			return
		}
	}
	s.absolve()
	s.failureRate = 0
}
