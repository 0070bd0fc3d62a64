package dispatch

import (
	"time"

	"greengagedock.example/quarantine"
)

// Owner identifies an incarnation of an entry, which owns the requests that it submits.
type Owner struct {
	entry       string
	incarnation uint64
}

// NewOwner returns the owner for an entry's incarnation.
func NewOwner(entry string, incarnation uint64) Owner {
	return Owner{entry: entry, incarnation: incarnation}
}

// Entry returns the entry's id.
func (o Owner) Entry() string { return o.entry }

// Incarnation returns the number of the incarnation.
func (o Owner) Incarnation() uint64 { return o.incarnation }

// Request is one attempt of a caller's request, which needs a backend server.
type Request struct {
	id                 string
	service            string
	domain             string
	prompt             int
	answer             int
	priority           int
	arrived            time.Time
	objective          time.Time
	deadline           time.Time
	firstTokenDeadline time.Time
	maxTokenInterval   time.Duration
	exclude            []string
	parts              []quarantine.Part
	fingerprint        quarantine.Fingerprint
	resumed            bool
	account            string
}

// NewRequest returns a request to a service; id identifies one attempt of one caller's request.
func NewRequest(id, service string) Request {
	return Request{id: id, service: service}
}

// WithDomain returns the request with the failure domain of the entry that submits it.
func (r Request) WithDomain(domain string) Request {
	r.domain = domain
	return r
}

// WithTokens returns the request with the lengths of its prompt and answer in tokens, 0 if unknown.
func (r Request) WithTokens(prompt, answer int) Request {
	r.prompt, r.answer = prompt, answer
	return r
}

// WithPriority returns the request with its priority; 0 is the most urgent.
func (r Request) WithPriority(priority int) Request {
	r.priority = priority
	return r
}

// WithTimes returns the request with its arrival time, the time by which it should
// be answered to meet its latency objective, and its deadline.
func (r Request) WithTimes(arrived, objective, deadline time.Time) Request {
	r.arrived, r.objective, r.deadline = arrived, objective, deadline
	return r
}

// WithFirstTokenDeadline returns the request with the time at which the caller
// disconnects if no event has arrived.
func (r Request) WithFirstTokenDeadline(firstTokenDeadline time.Time) Request {
	r.firstTokenDeadline = firstTokenDeadline
	return r
}

// WithMaxTokenInterval returns the request with the longest interval between two
// events that meets its objective, 0 without such an objective.
func (r Request) WithMaxTokenInterval(maxTokenInterval time.Duration) Request {
	r.maxTokenInterval = maxTokenInterval
	return r
}

// WithExclude returns the request with servers to be used only if there are no others.
func (r Request) WithExclude(servers ...string) Request {
	r.exclude = servers
	return r
}

// WithParts returns the request with the parts of its prompt that others may share.
func (r Request) WithParts(parts ...quarantine.Part) Request {
	r.parts = parts
	return r
}

// WithFingerprint returns the request with what identifies it if its caller repeats it.
func (r Request) WithFingerprint(fingerprint quarantine.Fingerprint) Request {
	r.fingerprint = fingerprint
	return r
}

// WithResumed returns the request with whether its caller already has events of its answer.
func (r Request) WithResumed(resumed bool) Request {
	r.resumed = resumed
	return r
}

// WithAccount returns the request with the name of the client account that it counts for, empty for none.
func (r Request) WithAccount(account string) Request {
	r.account = account
	return r
}

// ID returns the id of the attempt.
func (r Request) ID() string { return r.id }

// Service returns the service's name.
func (r Request) Service() string { return r.service }

// Domain returns the failure domain of the entry that submits the request.
func (r Request) Domain() string { return r.domain }

// Prompt returns the length of the prompt in tokens, 0 if unknown.
func (r Request) Prompt() int { return r.prompt }

// Answer returns the expected length of the answer in tokens, 0 if unknown.
func (r Request) Answer() int { return r.answer }

// Priority returns the priority; 0 is the most urgent.
func (r Request) Priority() int { return r.priority }

// Arrived returns when the entry received the request.
func (r Request) Arrived() time.Time { return r.arrived }

// Objective returns the time by which the answer, or its first event, meets the latency objective.
func (r Request) Objective() time.Time { return r.objective }

// Deadline returns the time by which the answer must be complete.
func (r Request) Deadline() time.Time { return r.deadline }

// FirstTokenDeadline returns the time at which the caller disconnects if no event has arrived.
func (r Request) FirstTokenDeadline() time.Time { return r.firstTokenDeadline }

// MaxTokenInterval returns the longest interval between two events that meets the
// objective, 0 without such an objective.
func (r Request) MaxTokenInterval() time.Duration { return r.maxTokenInterval }

// Exclude returns the servers that are to be used only if there are no others.
func (r Request) Exclude() []string { return r.exclude }

// Resumed reports whether the caller already has events of the answer.
func (r Request) Resumed() bool { return r.resumed }

// Parts returns the parts of the prompt that others may share.
func (r Request) Parts() []quarantine.Part { return r.parts }

// Fingerprint returns what identifies the request if its caller repeats it.
func (r Request) Fingerprint() quarantine.Fingerprint { return r.fingerprint }

// Account returns the name of the client account that the request counts for, empty for none.
func (r Request) Account() string { return r.account }
