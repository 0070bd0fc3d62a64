package dispatch

import "time"

// Owner is one incarnation of an entry.
type Owner struct {
	entry       string
	incarnation uint64
}

// NewOwner returns the owner of an entry's incarnation.
func NewOwner(entry string, incarnation uint64) Owner {
	return Owner{entry: entry, incarnation: incarnation}
}

// Entry returns the entry's id.
func (o Owner) Entry() string { return o.entry }

// Incarnation returns the number of the entry's incarnation.
func (o Owner) Incarnation() uint64 { return o.incarnation }

// Request is a request that asks for a backend server.
type Request struct {
	id        string
	service   string
	domain    string
	prompt    int
	answer    int
	rank      int
	arrived   time.Time
	objective time.Time
	deadline  time.Time
	firstBy   time.Time
	pause     time.Duration
	exclude   []string
}

// NewRequest returns a want for a service; id names one send of one request.
func NewRequest(id, service string) Request {
	return Request{id: id, service: service}
}

// WithDomain returns the want with the failure domain of the entry that asks.
func (w Request) WithDomain(domain string) Request {
	w.domain = domain
	return w
}

// WithTokens returns the want with the lengths of prompt and answer, 0 if unknown.
func (w Request) WithTokens(prompt, answer int) Request {
	w.prompt, w.answer = prompt, answer
	return w
}

// WithPriority returns the want with its urgency, 0 first.
func (w Request) WithPriority(rank int) Request {
	w.rank = rank
	return w
}

// WithTimes returns the want with its arrival, the time by which an answer is on time, and that by which it must end.
func (w Request) WithTimes(arrived, objective, deadline time.Time) Request {
	w.arrived, w.objective, w.deadline = arrived, objective, deadline
	return w
}

// WithFirstTokenDeadline returns the want with the time by which its first event must come, or the caller leaves.
func (w Request) WithFirstTokenDeadline(firstBy time.Time) Request {
	w.firstBy = firstBy
	return w
}

// WithMaxTokenInterval returns the want with the longest pause between events that is on time, 0 if any is.
func (w Request) WithMaxTokenInterval(pause time.Duration) Request {
	w.pause = pause
	return w
}

// WithExclude returns the want with the servers that are not to be used.
func (w Request) WithExclude(servers ...string) Request {
	w.exclude = servers
	return w
}

// ID returns the id of the send.
func (w Request) ID() string { return w.id }

// Service returns the service's name.
func (w Request) Service() string { return w.service }

// Domain returns the failure domain of the entry that asks.
func (w Request) Domain() string { return w.domain }

// Prompt returns the prompt's length in tokens.
func (w Request) Prompt() int { return w.prompt }

// Answer returns the expected length of the answer in tokens.
func (w Request) Answer() int { return w.answer }

// Priority returns the urgency, 0 first.
func (w Request) Priority() int { return w.rank }

// Arrived returns when the request came.
func (w Request) Arrived() time.Time { return w.arrived }

// Objective returns the time by which an answer is on time.
func (w Request) Objective() time.Time { return w.objective }

// Deadline returns the time by which an answer must have ended.
func (w Request) Deadline() time.Time { return w.deadline }

// FirstTokenDeadline returns the time by which the first event must come, or the caller leaves.
func (w Request) FirstTokenDeadline() time.Time { return w.firstBy }

// MaxTokenInterval returns the longest pause between events that is on time, 0 if any is.
func (w Request) MaxTokenInterval() time.Duration { return w.pause }

// Exclude returns the servers that are not to be used.
func (w Request) Exclude() []string { return w.exclude }
