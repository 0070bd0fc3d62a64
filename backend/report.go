package backend

import (
	"time"

	"greengagedock.example/registry"
)

// HeldMemory is the KV memory that a server reports as held for one stream or
// export.
type HeldMemory struct {
	id     string
	tokens int
}

// NewHeldMemory returns the KV memory that a server holds for an attempt, in
// tokens.
func NewHeldMemory(id string, tokens int) HeldMemory { return HeldMemory{id: id, tokens: tokens} }

// ID returns the attempt's id.
func (h HeldMemory) ID() string { return h.id }

// Tokens returns the KV memory held, in tokens.
func (h HeldMemory) Tokens() int { return h.tokens }

// Report is a backend server's report of its load; the figures are as old as
// the lag.
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

// NewReport returns the report of one incarnation of a server with capacity
// tokens of KV memory, of which used are taken.
func NewReport(server, incarnation string, state registry.State, capacity, used int) Report {
	return Report{server: server, incarnation: incarnation, state: state, capacity: capacity, used: used}
}

// WithModels returns the report with the models that the server carries.
func (r Report) WithModels(models ...string) Report {
	r.models = models
	return r
}

// WithRunning returns the report with the number of requests that the server
// runs. A plain service reports nothing else about them.
func (r Report) WithRunning(requests int) Report {
	r.running = requests
	return r
}

// WithHeld returns the report with the memory that the server holds and the
// age of the figures.
func (r Report) WithHeld(lag time.Duration, held ...HeldMemory) Report {
	r.lag = lag
	r.held = held
	return r
}

// Server returns the reporting server's id.
func (r Report) Server() string { return r.server }

// Incarnation returns the id that the server chose when it started.
func (r Report) Incarnation() string { return r.incarnation }

// State returns whether the server reports itself as live or leaving.
func (r Report) State() registry.State { return r.state }

// Models returns the models that the server carries.
func (r Report) Models() []string { return r.models }

// CapacityTokens returns the server's KV memory in tokens, 0 for a plain service.
func (r Report) CapacityTokens() int { return r.capacity }

// UsedTokens returns the KV memory taken, in tokens.
func (r Report) UsedTokens() int { return r.used }

// Running returns the number of requests that the server runs.
func (r Report) Running() int { return r.running }

// Lag returns the age of the figures.
func (r Report) Lag() time.Duration { return r.lag }

// Held returns the memory that the server holds.
func (r Report) Held() []HeldMemory { return r.held }

// WithLag returns the report with another age of the figures.
func (r Report) WithLag(lag time.Duration) Report {
	r.lag = lag
	return r
}
