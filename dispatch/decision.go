package dispatch

import "time"

// Decision is the answer to a want: Granted, Queued or Refused.
type Decision interface {
	decision()
}

// Granted tells where a request goes.
type Granted struct {
	grant Grant
}

// NewGranted returns the decision that grants a place.
func NewGranted(grant Grant) Granted { return Granted{grant: grant} }

// Grant returns the place.
func (g Granted) Grant() Grant { return g.grant }

// Queued tells that a want waits.
type Queued struct{}

// Refused tells that a request can't be served; it has not run.
type Refused struct {
	id       string
	reason   Reason
	comeBack time.Duration
}

// NewRefused returns the decision that refuses a want, with when to try again.
func NewRefused(id string, reason Reason, comeBack time.Duration) Refused {
	return Refused{id: id, reason: reason, comeBack: comeBack}
}

// ID returns the id of the want.
func (r Refused) ID() string { return r.id }

// Reason returns why the want was refused.
func (r Refused) Reason() Reason { return r.reason }

// RetryAfter returns when to try again.
func (r Refused) RetryAfter() time.Duration { return r.comeBack }

func (Granted) decision() {}
func (Queued) decision()  {}
func (Refused) decision() {}

// Reason says why a want was refused.
type Reason string

// The reasons.
const (
	// ReasonNoServer: no server of the service may be used.
	ReasonNoServer Reason = "no_server"
	// ReasonBusy: the servers' places are taken for too long.
	ReasonBusy Reason = "busy"
	// ReasonPastDeadline: the answer would not end in time.
	ReasonPastDeadline Reason = "too_late"
	// ReasonTooLarge: no server has the memory.
	ReasonTooLarge Reason = "too_large"
)

// PrefillWorker is a server that reads a part of a prompt, and may hold some of it.
type PrefillWorker struct {
	server  string
	address string
	tokens  int
}

// NewPrefillWorker returns a helper at an IP and port; tokens is the memory to reserve there, 0 for none.
func NewPrefillWorker(server, address string, tokens int) PrefillWorker {
	return PrefillWorker{server: server, address: address, tokens: tokens}
}

// ReservedTokens returns the memory to reserve at the helper, 0 for none.
func (h PrefillWorker) ReservedTokens() int { return h.tokens }

// Server returns the server's id.
func (h PrefillWorker) Server() string { return h.server }

// Address returns the server's IP and port.
func (h PrefillWorker) Address() string { return h.address }

// Grant is a place on a backend server.
type Grant struct {
	id      string
	server  string
	address string
	helpers []PrefillWorker
	first   time.Duration
	waited  time.Duration
	why     string
}

// NewGrant returns a grant for the want of that id.
func NewGrant(id, server, address string, helpers []PrefillWorker, first time.Duration) Grant {
	return Grant{id: id, server: server, address: address, helpers: helpers, first: first}
}

// WithExplanation returns the grant with how long its want waited and what decided it.
func (g Grant) WithExplanation(waited time.Duration, why string) Grant {
	g.waited, g.why = waited, why
	return g
}

// ID returns the id of the want.
func (g Grant) ID() string { return g.id }

// Server returns the id of the server's incarnation.
func (g Grant) Server() string { return g.server }

// Address returns the server's IP and port.
func (g Grant) Address() string { return g.address }

// PrefillWorkers returns the servers that read parts of the prompt.
func (g Grant) PrefillWorkers() []PrefillWorker { return g.helpers }

// TimeToFirstToken returns the expected time from the grant to the first event.
func (g Grant) TimeToFirstToken() time.Duration { return g.first }

// Waited returns how long the want waited for the grant.
func (g Grant) Waited() time.Duration { return g.waited }

// Explanation returns what decided the grant.
func (g Grant) Explanation() string { return g.why }

// Outcome says how a request ended at its server.
type Outcome string

// The outcomes.
const (
	// OutcomeComplete: the whole answer came.
	OutcomeComplete Outcome = "whole"
	// OutcomeCancelled: the entry ended it, as the caller left or time ran out.
	OutcomeCancelled Outcome = "left"
	// OutcomeRejected: the server refused it and it did not run.
	OutcomeRejected Outcome = "full"
	// OutcomeReplaced: another incarnation has the address.
	OutcomeReplaced Outcome = "gone"
	// OutcomeUnreachable: the server could not be reached.
	OutcomeUnreachable Outcome = "unsent"
	// OutcomeBroken: the answer broke off or was spoiled.
	OutcomeBroken Outcome = "broken"
	// OutcomeStalled: nothing came for too long.
	OutcomeStalled Outcome = "silent"
	// OutcomeServerError: the server answered with a failure of its own.
	OutcomeServerError Outcome = "failed"
)

// RunningRequest is a request on a server, as its owner tells of it.
type RunningRequest struct {
	id      string
	service string
	server  string
	helpers []string
	prompt  int
	answer  int
	pause   time.Duration
	started bool
}

// NewRunningRequest returns the hold of a want on a server and its helpers; its first event has not come.
func NewRunningRequest(want Request, server string, helpers []string) RunningRequest {
	return RestoreRunningRequest(want.id, want.service, server, helpers, want.prompt, want.answer, want.pause, false)
}

// RestoreRunningRequest returns a hold as its owner tells of it.
func RestoreRunningRequest(id, service, server string, helpers []string, prompt, answer int, pause time.Duration, started bool) RunningRequest {
	return RunningRequest{id: id, service: service, server: server, helpers: helpers, prompt: prompt, answer: answer, pause: pause, started: started}
}

// ID returns the id of the want.
func (h RunningRequest) ID() string { return h.id }

// Service returns the service's name.
func (h RunningRequest) Service() string { return h.service }

// Server returns the server's id.
func (h RunningRequest) Server() string { return h.server }

// PrefillWorkers returns the ids of the servers that read parts of the prompt.
func (h RunningRequest) PrefillWorkers() []string { return h.helpers }

// Prompt returns the prompt's length in tokens.
func (h RunningRequest) Prompt() int { return h.prompt }

// Answer returns the expected length of the answer in tokens.
func (h RunningRequest) Answer() int { return h.answer }

// MaxTokenInterval returns the longest pause between events that is on time, 0 if any is.
func (h RunningRequest) MaxTokenInterval() time.Duration { return h.pause }

// Started reports whether the first event has come.
func (h RunningRequest) Started() bool { return h.started }
