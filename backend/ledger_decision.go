package backend

import (
	"time"
)

// Decision is what a ledger decided: one of Granted, Denied, Queued and Orphan.
type Decision interface {
	decision()
	// LogArgs returns the decision as the keys and values of one log line, in turn.
	LogArgs() []any
}

// maxRunnersUp bounds the servers named in a grant beside the chosen one.
const maxRunnersUp = 4

// RunnerUp is a server that a want was not placed on, with the reason.
type RunnerUp struct {
	server string
	reason string
}

// Server returns the server's id.
func (r RunnerUp) Server() string { return r.server }

// Reason returns why the server was not chosen.
func (r RunnerUp) Reason() string { return r.reason }

// Granted gives a slot to a want; it is the want's final decision.
type Granted struct {
	slot      Slot
	why       string
	runnersUp []RunnerUp
}

// Slot returns the slot granted.
func (g Granted) Slot() Slot { return g.slot }

// Why returns why the slot's server was chosen.
func (g Granted) Why() string { return g.why }

// RunnersUp returns at most four servers that were not chosen.
func (g Granted) RunnersUp() []RunnerUp { return g.runnersUp }

// LogArgs returns the grant as keys and values, the servers that were not chosen as not_SERVER.
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

// Denied refuses a want; it is the want's final decision.
type Denied struct {
	want    string
	owner   Owner
	refusal *Refusal
}

// AttemptID returns the attempt's id.
func (d Denied) AttemptID() string { return d.want }

// Owner returns the entry incarnation that asked.
func (d Denied) Owner() Owner { return d.owner }

// Refusal returns why the want was refused and when to come back.
func (d Denied) Refusal() *Refusal { return d.refusal }

// LogArgs returns the refusal as keys and values.
func (d Denied) LogArgs() []any {
	return []any{
		"decision", "denied", "attempt", d.want, "entry", d.owner.entry,
		"reason", d.refusal.reason, "come_back", d.refusal.comeBack,
	}
}

// Queued says that a want waits; a final decision follows.
type Queued struct {
	want  string
	owner Owner
	wait  time.Duration
}

// AttemptID returns the attempt's id.
func (q Queued) AttemptID() string { return q.want }

// Owner returns the entry incarnation that asked.
func (q Queued) Owner() Owner { return q.owner }

// ExpectedWait returns how long the want is expected to wait.
func (q Queued) ExpectedWait() time.Duration { return q.wait }

// LogArgs returns the queueing as keys and values.
func (q Queued) LogArgs() []any {
	return []any{"decision", "queued", "attempt", q.want, "entry", q.owner.entry, "wait", q.wait}
}

// Orphan asks for a cancel of a stream that nobody waits for; it is repeated
// until a report shows the stream gone.
type Orphan struct {
	server  string
	address string
	stream  string
}

// Server returns the server's id.
func (o Orphan) Server() string { return o.server }

// Address returns the server's IP and port.
func (o Orphan) Address() string { return o.address }

// Stream returns the attempt's id under which the server holds the stream.
func (o Orphan) Stream() string { return o.stream }

// LogArgs returns the cancel as keys and values.
func (o Orphan) LogArgs() []any {
	return []any{"decision", "cancel", "server", o.server, "attempt", o.stream}
}

func (Granted) decision() {}
func (Denied) decision()  {}
func (Queued) decision()  {}
func (Orphan) decision()  {}
