package dispatch

import (
	"time"

	"greengagedock.example/routing"
)

const (
	// haltFirst is how long a server gets nothing after one failure; it doubles with each further one.
	haltFirst = 400 * time.Millisecond
	// haltMost bounds the doubling: a little over three heartbeats, after which the list drops a dead server.
	haltMost = 5 * time.Second
	// haltSilent is how long a server gets nothing after it fell silent.
	haltSilent = 2 * time.Second
	// failureWeight is the weight of the newest outcome in the mean of failures.
	failureWeight = 0.2
	// failureLimit is the mean of failures from which a server is halted.
	failureLimit = 0.4
	// failedCost is how much a server's own 5xx counts as a failure: some calls fail by nature.
	failedCost = 0.4
	// overdueSlack is how much later than expected an event may be without
	// notice: the time for which entries gather events, and a round trip.
	overdueSlack = 40 * time.Millisecond
	// pausePart is the part of the shortest pause objective on a server that one pass may take.
	pausePart = 0.8
	// coldShare is the part of a cold server's bearing that is given out: two
	// keepers in doubt and the entries on their own stay under it together.
	coldShare = 0.5
)

// server is what a book knows of one incarnation of a backend server.
type server struct {
	info   routing.Server
	engine *routing.EngineProfile
	usable bool
	// rank is the server's place in the entry's preference among equals.
	rank int

	holds   map[string]*hold
	helping int
	memory  int
	writers int
	context int
	// tolerance is the shortest pause that is on time for any request on the server, 0 if there is none.
	tolerance time.Duration
	// readyAt is when the prompts that were given to the server are read.
	readyAt time.Time
	// pending are the requests whose first event waits for the server, and
	// overdueFrom is when the first of these events was expected, zero without any.
	pending     map[*hold]bool
	overdueFrom time.Time

	coldUntil time.Time
	coldRate  float64
	coldSpent float64
	coldAt    time.Time

	haltedUntil time.Time
	failures    int
	// lost tells that the server was not reached or silent when it was last tried.
	lost        bool
	failureMean float64
}

// hold is a request on a server.
type hold struct {
	RunningRequest
	owner   Owner
	on      *server
	granted time.Time
	// memory is what the request takes on its server, and reserved what it takes on others.
	memory   int
	reserved []reservation
	// expect is when the first event is expected, zero if unknown.
	expect time.Time
	parts  []part
}

// reservation is memory that a request takes on a helper until it ends.
type reservation struct {
	server *server
	tokens int
}

// part is the reading that a request gave to a server.
type part struct {
	server *server
	cost   time.Duration
}

// backlog returns the time until all prompts on the server are read. What was
// expected by now and has not come counts as well: a server that answers nothing
// would else seem idle, and draw all that is gathered.
func (s *server) backlog(now time.Time) time.Duration {
	backlog := max(0, s.readyAt.Sub(now))
	if s.overdueFrom.IsZero() {
		return backlog
	}
	return backlog + max(0, now.Sub(s.overdueFrom)-overdueSlack)
}

// await notes that a request's first event waits for the server.
func (s *server) await(h *hold) {
	if s.pending == nil {
		s.pending = make(map[*hold]bool)
	}
	s.pending[h] = true
	if s.overdueFrom.IsZero() || h.expect.Before(s.overdueFrom) {
		s.overdueFrom = h.expect
	}
}

// settled notes that a request's first event came, or will not come.
func (s *server) settled(h *hold) {
	if !s.pending[h] {
		return
	}
	delete(s.pending, h)
	s.overdueFrom = time.Time{}
	for other := range s.pending {
		if s.overdueFrom.IsZero() || other.expect.Before(s.overdueFrom) {
			s.overdueFrom = other.expect
		}
	}
}

// readCost returns the time in which the server reads a share of a prompt.
func (s *server) readCost(prompt int, share float64) time.Duration {
	return s.engine.PrefillTime(prompt, share)
}

// stride returns the time of the steps that a pass takes besides its reading.
func (s *server) stride() time.Duration {
	if s.writers == 0 {
		return 0
	}
	return s.engine.DecodePassTime(s.writers, s.context)
}

// add enters a request on the server.
func (s *server) add(h *hold) {
	s.holds[h.id] = h
	s.memory += h.memory
	s.setTolerance()
}

// remove takes a request off the server.
func (s *server) remove(h *hold) {
	delete(s.holds, h.id)
	s.memory -= h.memory
	s.setTolerance()
}

// setTolerance finds the shortest pause that is on time for any request on the server.
func (s *server) setTolerance() {
	s.tolerance = 0
	for _, h := range s.holds {
		if h.pause > 0 && (s.tolerance == 0 || h.pause < s.tolerance) {
			s.tolerance = h.pause
		}
	}
}

// bears reports whether the server's answers stay on time while it reads so
// much more: a pass reads all that waits, and its events come at its end.
func (s *server) bears(now time.Time, cost time.Duration) bool {
	if s.tolerance == 0 {
		return true
	}
	pass := s.backlog(now) + cost + s.engine.DecodePassTime(len(s.holds), s.memory)
	return pass <= time.Duration(pausePart*float64(s.tolerance))
}

// slots returns how many requests the server runs at once.
func (s *server) slots() int {
	if s.engine != nil && s.engine.Slots() > 0 {
		return min(s.info.Slots(), s.engine.Slots())
	}
	return s.info.Slots()
}

// open reports whether the server may get another request now.
func (s *server) open(now time.Time) bool {
	if !s.usable || now.Before(s.haltedUntil) {
		return false
	}
	// After failures one request at a time shows whether the server is back.
	return s.failures == 0 || len(s.holds) == 0
}

// coldRoom reports whether a cold server's bearing allows a request now.
func (s *server) coldRoom(now time.Time, share float64) bool {
	if !now.Before(s.coldUntil) || s.coldRate <= 0 {
		return true
	}
	rate := s.coldRate * coldShare * share
	s.coldSpent = max(0, s.coldSpent-rate*now.Sub(s.coldAt).Seconds())
	s.coldAt = now
	return s.coldSpent < 1
}

// ended takes the outcome of a request on the server.
func (s *server) ended(now time.Time, outcome Outcome) {
	cost := 0.0
	switch outcome {
	case OutcomeCancelled, OutcomeRejected:
		if outcome == OutcomeRejected {
			s.halt(now, haltFirst/4)
		}
		return
	case OutcomeComplete:
		s.failures = 0
		s.lost = false
	case OutcomeServerError:
		s.failures = 0
		s.lost = false
		cost = failedCost
	case OutcomeReplaced:
		s.halt(now, haltMost)
		return
	case OutcomeUnreachable, OutcomeBroken, OutcomeStalled:
		cost = 1
		s.failures++
		s.lost = outcome != OutcomeBroken
		pause := min(haltMost, haltFirst<<min(s.failures-1, 4))
		if outcome == OutcomeStalled {
			pause = max(pause, haltSilent)
		}
		s.halt(now, pause)
	}
	s.failureMean += failureWeight * (cost - s.failureMean)
	if s.failureMean > failureLimit {
		s.failureMean = failureLimit / 2
		s.halt(now, haltMost)
	}
}

func (s *server) halt(now time.Time, pause time.Duration) {
	if until := now.Add(pause); until.After(s.haltedUntil) {
		s.haltedUntil = until
	}
}
