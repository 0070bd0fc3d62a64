package operator

import (
	"encoding/json"
	"slices"
	"time"
)

// Kind says what was decided.
type Kind string

// The kinds of decisions.
const (
	// KindAsked is an entry's choice of the keeper to ask for a slot.
	KindAsked Kind = "asked"
	// KindQueued is a keeper's word that an attempt waits.
	KindQueued Kind = "queued"
	// KindGranted is a keeper's choice of a server for an attempt.
	KindGranted Kind = "granted"
	// KindDenied is a keeper's refusal of an attempt.
	KindDenied Kind = "denied"
	// KindRouted is an entry's use of a slot: the attempt goes to the server.
	KindRouted Kind = "routed"
	// KindCancelled is the cancel of an attempt at a server.
	KindCancelled Kind = "cancelled"
	// KindEnded is the end of a request.
	KindEnded Kind = "ended"
	// KindFailed is the end of a request that was refused or failed.
	KindFailed Kind = "failed"
)

// RunnerUp is a server or keeper that was not chosen.
type RunnerUp struct {
	name string
	why  string
}

// NewRunnerUp returns a server or keeper that was not chosen, with the reason.
func NewRunnerUp(name, why string) RunnerUp { return RunnerUp{name: name, why: why} }

// Name returns the id of the server or keeper.
func (r RunnerUp) Name() string { return r.name }

// Reason returns why it was not chosen.
func (r RunnerUp) Reason() string { return r.why }

// Decision is one routing or placement decision about a request.
type Decision struct {
	time      time.Time
	kind      Kind
	request   string
	attempt   string
	service   string
	model     string
	version   int64
	chosen    string
	keeper    string
	why       string
	runnersUp []RunnerUp
	order     uint64
}

// NewDecision returns a decision of a kind at a time; the request's id or
// the attempt's may be empty where it is not known.
func NewDecision(now time.Time, kind Kind, request, attempt string) Decision {
	return Decision{time: now, kind: kind, request: request, attempt: attempt}
}

// WithService returns the decision with the service and model asked for and the
// version of the document that it went by.
func (d Decision) WithService(service, model string, version int64) Decision {
	d.service = service
	d.model = model
	d.version = version
	return d
}

// WithChoice returns the decision with the chosen server, empty if there is
// none, the keeper that it concerns, and why.
func (d Decision) WithChoice(chosen, keeper, why string) Decision {
	d.chosen = chosen
	d.keeper = keeper
	d.why = why
	return d
}

// WithRunnersUp returns the decision with those not chosen.
func (d Decision) WithRunnersUp(runnersUp ...RunnerUp) Decision {
	d.runnersUp = runnersUp
	return d
}

// Time returns when the decision was taken.
func (d Decision) Time() time.Time { return d.time }

// Kind returns what was decided.
func (d Decision) Kind() Kind { return d.kind }

// RequestID returns the request's id, empty where only the attempt's is known.
func (d Decision) RequestID() string { return d.request }

// AttemptID returns the attempt's id, empty if the decision is about the request.
func (d Decision) AttemptID() string { return d.attempt }

// Service returns the service asked for.
func (d Decision) Service() string { return d.service }

// Model returns the model asked for, empty for a plain service.
func (d Decision) Model() string { return d.model }

// Version returns the version of the service document that the decision went by.
func (d Decision) Version() int64 { return d.version }

// Chosen returns the chosen server, empty if there is none.
func (d Decision) Chosen() string { return d.chosen }

// Keeper returns the entry that keeps the chosen server or was asked.
func (d Decision) Keeper() string { return d.keeper }

// Reason returns the reason for the choice, or for the end.
func (d Decision) Reason() string { return d.why }

// RunnersUp returns those not chosen.
func (d Decision) RunnersUp() []RunnerUp { return slices.Clone(d.runnersUp) }

type runnerUpValue struct {
	Name string `json:"name"`
	Why  string `json:"why"`
}

type decisionValue struct {
	Time      time.Time       `json:"time"`
	Kind      Kind            `json:"kind"`
	Request   string          `json:"request_id,omitempty"`
	Attempt   string          `json:"attempt_id,omitempty"`
	Service   string          `json:"service,omitempty"`
	Model     string          `json:"model,omitempty"`
	Version   int64           `json:"version,omitempty"`
	Chosen    string          `json:"chosen,omitempty"`
	Keeper    string          `json:"keeper,omitempty"`
	Why       string          `json:"why,omitempty"`
	RunnersUp []runnerUpValue `json:"runners_up,omitempty"`
}

// MarshalJSON returns the decision as the admin address answers it.
func (d Decision) MarshalJSON() ([]byte, error) {
	v := decisionValue{
		Time: d.time, Kind: d.kind, Request: d.request, Attempt: d.attempt, Service: d.service,
		Model: d.model, Version: d.version, Chosen: d.chosen, Keeper: d.keeper, Why: d.why,
	}
	for _, r := range d.runnersUp {
		v.RunnersUp = append(v.RunnersUp, runnerUpValue{Name: r.name, Why: r.why})
	}
	return json.Marshal(v)
}

// UnmarshalJSON reads the decision that an admin address answered.
func (d *Decision) UnmarshalJSON(text []byte) error {
	var v decisionValue
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	*d = Decision{
		time: v.Time, kind: v.Kind, request: v.Request, attempt: v.Attempt, service: v.Service,
		model: v.Model, version: v.Version, chosen: v.Chosen, keeper: v.Keeper, why: v.Why,
	}
	for _, r := range v.RunnersUp {
		d.runnersUp = append(d.runnersUp, RunnerUp{name: r.Name, why: r.Why})
	}
	return nil
}
