package dispatch

import (
	"time"

	"greengagedock.example/quarantine"
)

// Decision is the scheduler's response to a request: Granted, Queued or Refused.
type Decision interface {
	decision()
}

// Granted is the decision that a request gets a slot.
type Granted struct {
	grant Grant
}

// NewGranted returns the decision that gives a grant.
func NewGranted(grant Grant) Granted { return Granted{grant: grant} }

// Grant returns the grant.
func (g Granted) Grant() Grant { return g.grant }

// Queued is the decision that a request waits for a slot.
type Queued struct{}

// Refused is the decision that a request gets no slot; it has not run.
type Refused struct {
	id         string
	reason     Reason
	retryAfter time.Duration
	// explanation is what the decision depended on, empty if there is nothing to tell.
	explanation string
}

// NewRefused returns the decision that refuses a request; the caller may retry after the given delay.
func NewRefused(id string, reason Reason, retryAfter time.Duration) Refused {
	return Refused{id: id, reason: reason, retryAfter: retryAfter}
}

// WithExplanation returns the refusal with what it depended on.
func (r Refused) WithExplanation(explanation string) Refused {
	r.explanation = explanation
	return r
}

// Explanation returns what the refusal depended on, empty if there is nothing to tell.
func (r Refused) Explanation() string { return r.explanation }

// ID returns the id of the request.
func (r Refused) ID() string { return r.id }

// Reason returns why the request was refused.
func (r Refused) Reason() Reason { return r.reason }

// RetryAfter returns the delay after which the caller may retry.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

func (Granted) decision() {}
func (Queued) decision()  {}
func (Refused) decision() {}

// Reason states why a request was refused.
type Reason string

// The reasons.
const (
	// ReasonNoServer means that no server of the service may be used.
	ReasonNoServer Reason = "no_server"
	// ReasonServersRefuse means that all servers have stated that they want no requests for a time.
	ReasonServersRefuse Reason = "servers_refuse"
	// ReasonServersLimited means that the rate limits that all servers have stated leave no room in time.
	ReasonServersLimited Reason = "servers_limited"
	// ReasonBusy means that no slot becomes free in time.
	ReasonBusy Reason = "busy"
	// ReasonNoRoom means that even in the earliest case no slot becomes free before the caller leaves.
	ReasonNoRoom Reason = "no_room"
	// ReasonPastDeadline means that the deadline has passed, or that the request can't be served in time.
	ReasonPastDeadline Reason = "too_late"
	// ReasonQuarantined means that the same request, or ones with the same part of a prompt, crash servers.
	ReasonQuarantined Reason = "quarantined"
	// ReasonStopping means that the entry stops before it could finish the request.
	ReasonStopping Reason = "stopping"
	// ReasonTooLarge means that no server has enough memory.
	ReasonTooLarge Reason = "too_large"
)

// PrefillWorker is a server that prefills a part of a prompt for another server,
// and may hold some of the prompt in its memory.
type PrefillWorker struct {
	server         string
	address        string
	reservedTokens int
}

// NewPrefillWorker returns a prefill worker at an IP and port; reservedTokens is the memory to reserve there, 0 for none.
func NewPrefillWorker(server, address string, reservedTokens int) PrefillWorker {
	return PrefillWorker{server: server, address: address, reservedTokens: reservedTokens}
}

// ReservedTokens returns the memory to reserve at the worker in tokens, 0 for none.
func (w PrefillWorker) ReservedTokens() int { return w.reservedTokens }

// Server returns the server's id.
func (w PrefillWorker) Server() string { return w.server }

// Address returns the server's IP and port.
func (w PrefillWorker) Address() string { return w.address }

// Grant is a slot on a backend server.
type Grant struct {
	id               string
	server           string
	address          string
	prefillWorkers   []PrefillWorker
	timeToFirstToken time.Duration
	waited           time.Duration
	explanation      string
}

// NewGrant returns a grant for the request with the given id.
func NewGrant(id, server, address string, prefillWorkers []PrefillWorker, timeToFirstToken time.Duration) Grant {
	return Grant{id: id, server: server, address: address, prefillWorkers: prefillWorkers, timeToFirstToken: timeToFirstToken}
}

// WithExplanation returns the grant with the time that the request was queued and
// the reason for the choice of the server.
func (g Grant) WithExplanation(waited time.Duration, explanation string) Grant {
	g.waited, g.explanation = waited, explanation
	return g
}

// ID returns the id of the request.
func (g Grant) ID() string { return g.id }

// Server returns the id of the server's incarnation.
func (g Grant) Server() string { return g.server }

// Address returns the server's IP and port.
func (g Grant) Address() string { return g.address }

// PrefillWorkers returns the servers that prefill parts of the prompt.
func (g Grant) PrefillWorkers() []PrefillWorker { return g.prefillWorkers }

// Servers returns the ids of the server and of the prefill workers.
func (g Grant) Servers() []string {
	out := []string{g.server}
	for _, worker := range g.prefillWorkers {
		out = append(out, worker.server)
	}
	return out
}

// TimeToFirstToken returns the expected time from the grant to the first event.
func (g Grant) TimeToFirstToken() time.Duration { return g.timeToFirstToken }

// Waited returns the time from the request's arrival to the grant.
func (g Grant) Waited() time.Duration { return g.waited }

// Explanation returns the reason for the choice of the server.
func (g Grant) Explanation() string { return g.explanation }

// Outcome is the result of a request at its server.
type Outcome string

// The outcomes.
const (
	// OutcomeComplete means that the complete answer arrived.
	OutcomeComplete Outcome = "whole"
	// OutcomeCancelled means that the entry cancelled the request, since the caller disconnected or the time ran out.
	OutcomeCancelled Outcome = "left"
	// OutcomeRejected means that the server rejected the request without running it.
	OutcomeRejected Outcome = "full"
	// OutcomeReplaced means that another incarnation has the server's address.
	OutcomeReplaced Outcome = "gone"
	// OutcomeWithdrawn means that the request was not sent, since a server of its
	// placement takes no more requests.
	OutcomeWithdrawn Outcome = "withdrawn"
	// OutcomeUnreachable means that the server could not be reached.
	OutcomeUnreachable Outcome = "unsent"
	// OutcomeBroken means that the answer was cut off or malformed.
	OutcomeBroken Outcome = "broken"
	// OutcomeStalled means that the server sent nothing for too long.
	OutcomeStalled Outcome = "silent"
	// OutcomePathLost means that the answer is not complete because the entry has lost the
	// way to the server, which is not at fault.
	OutcomePathLost Outcome = "path_lost"
	// OutcomeServerError means that the server answered with an error of its own.
	OutcomeServerError Outcome = "failed"
)

// RunningRequest is a request on a server, as its owner reports it.
type RunningRequest struct {
	id               string
	service          string
	server           string
	prefillWorkers   []string
	prompt           int
	answer           int
	maxTokenInterval time.Duration
	started          bool
	parts            []quarantine.Part
	fingerprint      quarantine.Fingerprint
	account          string
}

// NewRunningRequest returns the running request of a request on a server and its
// prefill workers, before its first event.
func NewRunningRequest(request Request, server string, prefillWorkers []string) RunningRequest {
	running := RestoreRunningRequest(request.id, request.service, server, prefillWorkers, request.prompt, request.answer, request.maxTokenInterval, false)
	running.parts, running.fingerprint, running.account = request.parts, request.fingerprint, request.account
	return running
}

// RestoreRunningRequest returns a running request with the values that its owner reports.
func RestoreRunningRequest(id, service, server string, prefillWorkers []string, prompt, answer int, maxTokenInterval time.Duration, started bool) RunningRequest {
	return RunningRequest{id: id, service: service, server: server, prefillWorkers: prefillWorkers, prompt: prompt, answer: answer, maxTokenInterval: maxTokenInterval, started: started}
}

// WithAccount returns the running request with the name of its client account.
func (r RunningRequest) WithAccount(account string) RunningRequest {
	r.account = account
	return r
}

// Account returns the name of the client account, empty for none.
func (r RunningRequest) Account() string { return r.account }

// Parts returns the parts of the prompt that others may share.
func (r RunningRequest) Parts() []quarantine.Part { return r.parts }

// ID returns the id of the request.
func (r RunningRequest) ID() string { return r.id }

// Service returns the service's name.
func (r RunningRequest) Service() string { return r.service }

// Server returns the server's id.
func (r RunningRequest) Server() string { return r.server }

// PrefillWorkers returns the ids of the servers that prefill parts of the prompt.
func (r RunningRequest) PrefillWorkers() []string { return r.prefillWorkers }

// Prompt returns the length of the prompt in tokens.
func (r RunningRequest) Prompt() int { return r.prompt }

// Answer returns the expected length of the answer in tokens.
func (r RunningRequest) Answer() int { return r.answer }

// MaxTokenInterval returns the longest interval between two events that meets the
// objective, 0 without such an objective.
func (r RunningRequest) MaxTokenInterval() time.Duration { return r.maxTokenInterval }

// Started reports whether the first event has arrived.
func (r RunningRequest) Started() bool { return r.started }
