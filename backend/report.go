package backend

import (
	"time"

	"greengagedock.example/registry"
)

// HeldMemory is one stream or export that a server says it holds memory for.
type HeldMemory struct {
	id     string
	tokens int
}

// NewHeldMemory returns what a server holds for the attempt id, in tokens.
func NewHeldMemory(id string, tokens int) HeldMemory { return HeldMemory{id: id, tokens: tokens} }

// ID returns the attempt's id.
func (h HeldMemory) ID() string { return h.id }

// Tokens returns the KV memory held, in tokens.
func (h HeldMemory) Tokens() int { return h.tokens }

// Report is what a backend server said of its own load; it is as old as its lag.
type Report struct {
	server      string
	incarnation string
	state       registry.State
	models      []string
	capacity    int
	used        int
	running     int
	lag         time.Duration
	held        []HeldMemory
}

// NewReport returns the report of one incarnation of a server that has
// capacity tokens of KV memory, used of them taken.
func NewReport(server, incarnation string, state registry.State, capacity, used int) Report {
	return Report{server: server, incarnation: incarnation, state: state, capacity: capacity, used: used}
}

// WithModels returns the report with the models that the server carries.
func (r Report) WithModels(models ...string) Report {
	r.models = models
	return r
}

// WithRunning returns the report with the number of requests that the server
// works on, which is all that a plain service tells of them.
func (r Report) WithRunning(requests int) Report {
	r.running = requests
	return r
}

// WithHeld returns the report with what the server holds and how old that is.
func (r Report) WithHeld(lag time.Duration, held ...HeldMemory) Report {
	r.lag = lag
	r.held = held
	return r
}

// Server returns the reporting server's id.
func (r Report) Server() string { return r.server }

// Incarnation returns the name that the server drew when it started.
func (r Report) Incarnation() string { return r.incarnation }

// State returns whether the server says that it is live or leaving.
func (r Report) State() registry.State { return r.state }

// Models returns the models that the server carries.
func (r Report) Models() []string { return r.models }

// CapacityTokens returns the server's KV memory in tokens, 0 for a plain service.
func (r Report) CapacityTokens() int { return r.capacity }

// UsedTokens returns the KV memory taken, in tokens.
func (r Report) UsedTokens() int { return r.used }

// Running returns the number of requests that the server works on.
func (r Report) Running() int { return r.running }

// Lag returns how old the figures were when the report was sent.
func (r Report) Lag() time.Duration { return r.lag }

// Held returns what the server holds memory for.
func (r Report) Held() []HeldMemory { return r.held }

// WithLag returns the report as one that took so much longer.
func (r Report) WithLag(lag time.Duration) Report {
	r.lag = lag
	return r
}
