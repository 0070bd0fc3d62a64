package backend

import (
	"time"
)

// Decision is the outcome of an Allocator's call: one of Granted, Denied,
// Queued and Orphan.
type Decision interface {
	decision()
	// LogArgs returns the decision as alternating keys and values of a log
	// record.
	LogArgs() []any
}

// maxRunnersUp bounds the rejected servers listed in a grant.
const maxRunnersUp = 4

// RunnerUp is a server that was considered for a request and not chosen, with
// the reason.
type RunnerUp struct {
	server string
	reason string
}

// Server returns the server's id.
func (r RunnerUp) Server() string { return r.server }

// Reason returns why the server was not chosen.
func (r RunnerUp) Reason() string { return r.reason }

// Granted grants a slot; it is the request's final decision.
type Granted struct {
	slot      Slot
	why       string
	runnersUp []RunnerUp
}

// Slot returns the granted slot.
func (g Granted) Slot() Slot { return g.slot }

// Why returns why the slot's server was chosen.
func (g Granted) Why() string { return g.why }

// RunnersUp returns at most four servers that were not chosen.
func (g Granted) RunnersUp() []RunnerUp { return g.runnersUp }

// LogArgs returns the grant as keys and values; the servers that were not
// chosen have the key not_SERVER.
func (g Granted) LogArgs() []any {
	pairs := []any{
		"decision", "granted", "attempt", g.slot.id, "entry", g.slot.owner.entry, "server", g.slot.server,
		"incarnation", g.slot.incarnation, "tokens", g.slot.cost.Tokens(), "why", g.why,
	}
	for _, r := range g.runnersUp {
		pairs = append(pairs, "not_"+r.server, r.reason)
	}
	return pairs
}

// Denied refuses a slot request; it is the request's final decision.
type Denied struct {
	attemptID string
	owner     Owner
	refusal   *Refusal
}

// AttemptID returns the attempt's id.
func (d Denied) AttemptID() string { return d.attemptID }

// Owner returns the entry incarnation that asked.
func (d Denied) Owner() Owner { return d.owner }

// Refusal returns why the request was refused and after which time to retry.
func (d Denied) Refusal() *Refusal { return d.refusal }

// LogArgs returns the refusal as keys and values.
func (d Denied) LogArgs() []any {
	return []any{
		"decision", "denied", "attempt", d.attemptID, "entry", d.owner.entry,
		"reason", d.refusal.reason, "come_back", d.refusal.retryAfter,
	}
}

// Queued reports that a slot request waits; a final decision follows.
type Queued struct {
	attemptID    string
	owner        Owner
	expectedWait time.Duration
}

// AttemptID returns the attempt's id.
func (q Queued) AttemptID() string { return q.attemptID }

// Owner returns the entry incarnation that asked.
func (q Queued) Owner() Owner { return q.owner }

// ExpectedWait returns how long the request is expected to wait.
func (q Queued) ExpectedWait() time.Duration { return q.expectedWait }

// LogArgs returns the decision as keys and values.
func (q Queued) LogArgs() []any {
	return []any{"decision", "queued", "attempt", q.attemptID, "entry", q.owner.entry, "wait", q.expectedWait}
}

// Orphan asks for the cancellation of a stream that no owner waits for. It is
// repeated until a report shows that the stream has ended.
type Orphan struct {
	server  string
	address string
	stream  string
}

// Server returns the server's id.
func (o Orphan) Server() string { return o.server }

// Address returns the server's IP and port.
func (o Orphan) Address() string { return o.address }

// Stream returns the attempt id under which the server runs the stream.
func (o Orphan) Stream() string { return o.stream }

// LogArgs returns the cancellation as keys and values.
func (o Orphan) LogArgs() []any {
	return []any{"decision", "cancel", "server", o.server, "attempt", o.stream}
}

func (Granted) decision() {}
func (Denied) decision()  {}
func (Queued) decision()  {}
func (Orphan) decision()  {}
