package routing

import "time"

// Kind says what may be repeated of a request.
type Kind string

// The kinds of requests.
const (
	// KindIdempotent may run any number of times.
	KindIdempotent Kind = "idempotent"
	// KindNonIdempotent may run at most once.
	KindNonIdempotent Kind = "once"
	// KindStream is answered with events; it may run again if its route is resumable.
	KindStream Kind = "stream"
)

// Route is a set of paths and what becomes of the requests for them.
type Route struct {
	name           string
	host           string
	prefix         string
	kind           Kind
	timeout        time.Duration
	objective      time.Duration
	pauseObjective time.Duration
	rank           int
	maxSends       int
	public         bool
	resumable      bool
	targets        []Target
}

// NewRoute returns a route without targets that allows one send.
func NewRoute(name, host, prefix string, kind Kind) Route {
	return Route{name: name, host: host, prefix: prefix, kind: kind, maxSends: 1}
}

// WithTimes returns the route with its timeout and objectives.
func (r Route) WithTimes(timeout, objective, pauseObjective time.Duration) Route {
	r.timeout, r.objective, r.pauseObjective = timeout, objective, pauseObjective
	return r
}

// WithPriority returns the route with its urgency, 0 first.
func (r Route) WithPriority(rank int) Route {
	r.rank = rank
	return r
}

// WithMaxAttempts returns the route with the number of backend servers that one request may be run on.
func (r Route) WithMaxAttempts(sends int) Route {
	r.maxSends = max(1, sends)
	return r
}

// WithPublic returns the route with whether callers need no key.
func (r Route) WithPublic(public bool) Route {
	r.public = public
	return r
}

// WithResumable returns the route with whether its streams may go on elsewhere.
func (r Route) WithResumable(resumable bool) Route {
	r.resumable = resumable
	return r
}

// WithTargets returns the route with the services that carry it.
func (r Route) WithTargets(targets ...Target) Route {
	r.targets = targets
	return r
}

// Name returns the route's name.
func (r Route) Name() string { return r.name }

// Host returns the host that callers name.
func (r Route) Host() string { return r.host }

// Prefix returns the beginning of the paths that the route takes, with a slash at both ends.
func (r Route) Prefix() string { return r.prefix }

// Kind returns what may be repeated.
func (r Route) Kind() Kind { return r.kind }

// Timeout returns the longest time that a request is kept waiting.
func (r Route) Timeout() time.Duration { return r.timeout }

// Objective returns the time within which an answer, or its first event, is on time.
func (r Route) Objective() time.Duration { return r.objective }

// TokenIntervalObjective returns the longest pause between two events that is on time.
func (r Route) TokenIntervalObjective() time.Duration { return r.pauseObjective }

// Priority returns the urgency, 0 first.
func (r Route) Priority() int { return r.rank }

// MaxAttempts returns how many backend servers one request may be run on.
func (r Route) MaxAttempts() int { return r.maxSends }

// Public returns whether callers need no key.
func (r Route) Public() bool { return r.public }

// Resumable returns whether a stream may go on at another backend server.
func (r Route) Resumable() bool { return r.resumable }

// Targets returns the services that carry the route, by weight.
func (r Route) Targets() []Target { return r.targets }

// A caller leaves a stream after a gap of leastPatience, or of so many
// objectives or pause objectives, whichever is longest (the platform's pages).
const (
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	pausePatience     = 8
)

// CallerTimeout returns the longest gap without an event that a stream's caller
// bears, by the stream's objective and pause objective.
func CallerTimeout(objective, pause time.Duration) time.Duration {
	return max(leastPatience, objectivePatience*objective, pausePatience*pause)
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.kind == KindIdempotent || r.kind == KindStream && r.resumable
}

// Target is a service and its share of a route's requests.
type Target struct {
	service string
	weight  float64
}

// NewTarget returns a target with its weight, which counts relative to the others'.
func NewTarget(service string, weight float64) Target {
	return Target{service: service, weight: weight}
}

// Service returns the service's name.
func (t Target) Service() string { return t.service }

// Weight returns the target's weight.
func (t Target) Weight() float64 { return t.weight }

// Pick returns the service for a draw from 0 up to 1, empty without targets.
func (r Route) Pick(draw float64) string {
	var total float64
	for _, target := range r.targets {
		total += target.weight
	}
	left := draw * total
	for _, target := range r.targets {
		left -= target.weight
		if left < 0 {
			return target.service
		}
	}
	if len(r.targets) == 0 {
		return ""
	}
	return r.targets[len(r.targets)-1].service
}
