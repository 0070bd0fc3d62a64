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

// Want is a request that asks for a backend server.
type Want struct {
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

// NewWant returns a want for a service; id names one send of one request.
func NewWant(id, service string) Want {
	return Want{id: id, service: service}
}

// WithDomain returns the want with the failure domain of the entry that asks.
func (w Want) WithDomain(domain string) Want {
	w.domain = domain
	return w
}

// WithTokens returns the want with the lengths of prompt and answer, 0 if unknown.
func (w Want) WithTokens(prompt, answer int) Want {
	w.prompt, w.answer = prompt, answer
	return w
}

// WithRank returns the want with its urgency, 0 first.
func (w Want) WithRank(rank int) Want {
	w.rank = rank
	return w
}

// WithTimes returns the want with its arrival, the time by which an answer is on time, and that by which it must end.
func (w Want) WithTimes(arrived, objective, deadline time.Time) Want {
	w.arrived, w.objective, w.deadline = arrived, objective, deadline
	return w
}

// WithFirstBy returns the want with the time by which its first event must come, or the caller leaves.
func (w Want) WithFirstBy(firstBy time.Time) Want {
	w.firstBy = firstBy
	return w
}

// WithPause returns the want with the longest pause between events that is on time, 0 if any is.
func (w Want) WithPause(pause time.Duration) Want {
	w.pause = pause
	return w
}

// WithExclude returns the want with the servers that are not to be used.
func (w Want) WithExclude(servers ...string) Want {
	w.exclude = servers
	return w
}

// ID returns the id of the send.
func (w Want) ID() string { return w.id }

// Service returns the service's name.
func (w Want) Service() string { return w.service }

// Domain returns the failure domain of the entry that asks.
func (w Want) Domain() string { return w.domain }

// Prompt returns the prompt's length in tokens.
func (w Want) Prompt() int { return w.prompt }

// Answer returns the expected length of the answer in tokens.
func (w Want) Answer() int { return w.answer }

// Rank returns the urgency, 0 first.
func (w Want) Rank() int { return w.rank }

// Arrived returns when the request came.
func (w Want) Arrived() time.Time { return w.arrived }

// Objective returns the time by which an answer is on time.
func (w Want) Objective() time.Time { return w.objective }

// Deadline returns the time by which an answer must have ended.
func (w Want) Deadline() time.Time { return w.deadline }

// FirstBy returns the time by which the first event must come, or the caller leaves.
func (w Want) FirstBy() time.Time { return w.firstBy }

// Pause returns the longest pause between events that is on time, 0 if any is.
func (w Want) Pause() time.Duration { return w.pause }

// Exclude returns the servers that are not to be used.
func (w Want) Exclude() []string { return w.exclude }
