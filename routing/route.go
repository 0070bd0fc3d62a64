package routing

import "time"

// Kind states whether a request may be sent more than once.
type Kind string

// The kinds of requests.
const (
	// KindIdempotent requests may run any number of times.
	KindIdempotent Kind = "idempotent"
	// KindNonIdempotent requests may run at most once.
	KindNonIdempotent Kind = "once"
	// KindStream requests are answered with a stream of events; they may run again if their route is resumable.
	KindStream Kind = "stream"
)

// Route states how the requests for a set of paths are handled.
type Route struct {
	name                   string
	host                   string
	prefix                 string
	kind                   Kind
	timeout                time.Duration
	objective              time.Duration
	tokenIntervalObjective time.Duration
	priority               int
	maxAttempts            int
	public                 bool
	resumable              bool
	targets                []Target
}

// NewRoute returns a route without targets that allows one attempt.
func NewRoute(name, host, prefix string, kind Kind) Route {
	return Route{name: name, host: host, prefix: prefix, kind: kind, maxAttempts: 1}
}

// WithTimes returns the route with its timeout and latency objectives.
func (r Route) WithTimes(timeout, objective, tokenIntervalObjective time.Duration) Route {
	r.timeout, r.objective, r.tokenIntervalObjective = timeout, objective, tokenIntervalObjective
	return r
}

// WithPriority returns the route with its priority; 0 is the most urgent.
func (r Route) WithPriority(priority int) Route {
	r.priority = priority
	return r
}

// WithMaxAttempts returns the route with the number of backend servers that may run one request, at least 1.
func (r Route) WithMaxAttempts(attempts int) Route {
	r.maxAttempts = max(1, attempts)
	return r
}

// WithPublic returns the route with whether callers may omit the key.
func (r Route) WithPublic(public bool) Route {
	r.public = public
	return r
}

// WithResumable returns the route with whether its streams may resume at another backend server.
func (r Route) WithResumable(resumable bool) Route {
	r.resumable = resumable
	return r
}

// WithTargets returns the route with the services that serve it.
func (r Route) WithTargets(targets ...Target) Route {
	r.targets = targets
	return r
}

// Name returns the route's name.
func (r Route) Name() string { return r.name }

// Host returns the value of the Host header that the route matches.
func (r Route) Host() string { return r.host }

// Prefix returns the path prefix that the route matches, with a slash at both ends.
func (r Route) Prefix() string { return r.prefix }

// Kind returns the kind of the route's requests.
func (r Route) Kind() Kind { return r.kind }

// Timeout returns the longest time from a request's arrival to the end of its answer.
func (r Route) Timeout() time.Duration { return r.timeout }

// Objective returns the latency objective of an answer, or of the first event of a stream.
func (r Route) Objective() time.Duration { return r.objective }

// TokenIntervalObjective returns the inter-token latency objective: the longest interval between two events of a stream.
func (r Route) TokenIntervalObjective() time.Duration { return r.tokenIntervalObjective }

// Priority returns the priority; 0 is the most urgent.
func (r Route) Priority() int { return r.priority }

// MaxAttempts returns the number of backend servers that may run one request.
func (r Route) MaxAttempts() int { return r.maxAttempts }

// Public reports whether callers may omit the key.
func (r Route) Public() bool { return r.public }

// Resumable reports whether a stream may resume at another backend server.
func (r Route) Resumable() bool { return r.resumable }

// Targets returns the services that serve the route, with their weights.
func (r Route) Targets() []Target { return r.targets }

// A caller disconnects when a stream has no event for minCallerTimeout, or for
// so many latency objectives or token interval objectives, whichever is longest,
// as the platform documents.
const (
	minCallerTimeout            = 2 * time.Second
	callerTimeoutObjectives     = 4
	callerTimeoutTokenIntervals = 8
)

// CallerTimeout returns how long a stream's caller waits for an event before it
// disconnects, given the stream's latency objective and token interval objective.
func CallerTimeout(objective, tokenInterval time.Duration) time.Duration {
	return max(minCallerTimeout, callerTimeoutObjectives*objective, callerTimeoutTokenIntervals*tokenInterval)
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.kind == KindIdempotent || r.kind == KindStream && r.resumable
}

// Target is a service and its weight among a route's targets.
type Target struct {
	service string
	weight  float64
}

// NewTarget returns a target; its weight is relative to those of the route's other targets.
func NewTarget(service string, weight float64) Target {
	return Target{service: service, weight: weight}
}

// Service returns the service's name.
func (t Target) Service() string { return t.service }

// Weight returns the target's weight.
func (t Target) Weight() float64 { return t.weight }

// Pick returns the service for a random number in [0, 1), or "" if the route has no targets.
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
