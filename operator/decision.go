package operator

import (
	"encoding/json"
	"slices"
	"time"
)

// Kind is the kind of a decision.
type Kind string

// The kinds of decisions.
const (
	// KindAsked is an entry's choice of the keeper to ask for a slot.
	KindAsked Kind = "asked"
	// KindQueued is a keeper's decision to queue an attempt.
	KindQueued Kind = "queued"
	// KindGranted is a keeper's choice of a server for an attempt.
	KindGranted Kind = "granted"
	// KindDenied is a keeper's refusal of an attempt.
	KindDenied Kind = "denied"
	// KindRouted is an entry's use of a granted slot: it sends the attempt to the server.
	KindRouted Kind = "routed"
	// KindCancelled is the cancellation of an attempt at a server.
	KindCancelled Kind = "cancelled"
	// KindEnded is the end of a request that was answered.
	KindEnded Kind = "ended"
	// KindFailed is the end of a request that was refused or failed.
	KindFailed Kind = "failed"
)

// RunnerUp is a candidate, a server or a keeper, that was not chosen.
type RunnerUp struct {
	name   string
	reason string
}

// NewRunnerUp returns a candidate that was not chosen, with the reason.
func NewRunnerUp(name, reason string) RunnerUp { return RunnerUp{name: name, reason: reason} }

// Name returns the id of the server or keeper.
func (r RunnerUp) Name() string { return r.name }

// Reason returns why the candidate was not chosen.
func (r RunnerUp) Reason() string { return r.reason }

// Decision is one routing or placement decision about a request.
type Decision struct {
	time      time.Time
	kind      Kind
	requestID string
	attemptID string
	service   string
	model     string
	version   int64
	chosen    string
	keeper    string
	reason    string
	runnersUp []RunnerUp
	sequence  uint64
}

// NewDecision returns a decision of a kind made at now; either id may be
// empty if it is not known.
func NewDecision(now time.Time, kind Kind, requestID, attemptID string) Decision {
	return Decision{time: now, kind: kind, requestID: requestID, attemptID: attemptID}
}

// WithService returns the decision with the requested service and model and
// the version of the service document that it was based on.
func (d Decision) WithService(service, model string, version int64) Decision {
	d.service = service
	d.model = model
	d.version = version
	return d
}

// WithChoice returns the decision with the chosen server, empty if there is
// none, the keeper concerned, and the reason.
func (d Decision) WithChoice(chosen, keeper, reason string) Decision {
	d.chosen = chosen
	d.keeper = keeper
	d.reason = reason
	return d
}

// WithRunnersUp returns the decision with the candidates that were not chosen.
func (d Decision) WithRunnersUp(runnersUp ...RunnerUp) Decision {
	d.runnersUp = runnersUp
	return d
}

// Time returns when the decision was made.
func (d Decision) Time() time.Time { return d.time }

// Kind returns the kind of the decision.
func (d Decision) Kind() Kind { return d.kind }

// RequestID returns the request's id, empty if only the attempt's is known.
func (d Decision) RequestID() string { return d.requestID }

// AttemptID returns the attempt's id, empty if the decision is about the request as a whole.
func (d Decision) AttemptID() string { return d.attemptID }

// Service returns the requested service.
func (d Decision) Service() string { return d.service }

// Model returns the requested model, empty for a plain service.
func (d Decision) Model() string { return d.model }

// Version returns the version of the service document that the decision was based on, 0 if unknown.
func (d Decision) Version() int64 { return d.version }

// Chosen returns the chosen server, empty if there is none.
func (d Decision) Chosen() string { return d.chosen }

// Keeper returns the id of the chosen server's keeper, or of the keeper that was asked.
func (d Decision) Keeper() string { return d.keeper }

// Reason returns the reason for the choice, or how the request ended.
func (d Decision) Reason() string { return d.reason }

// RunnersUp returns the candidates that were not chosen.
func (d Decision) RunnersUp() []RunnerUp { return slices.Clone(d.runnersUp) }

type runnerUpValue struct {
	Name   string `json:"name"`
	Reason string `json:"why"`
}

type decisionValue struct {
	Time      time.Time       `json:"time"`
	Kind      Kind            `json:"kind"`
	RequestID string          `json:"request_id,omitempty"`
	AttemptID string          `json:"attempt_id,omitempty"`
	Service   string          `json:"service,omitempty"`
	Model     string          `json:"model,omitempty"`
	Version   int64           `json:"version,omitempty"`
	Chosen    string          `json:"chosen,omitempty"`
	Keeper    string          `json:"keeper,omitempty"`
	Reason    string          `json:"why,omitempty"`
	RunnersUp []runnerUpValue `json:"runners_up,omitempty"`
}

// MarshalJSON encodes the decision as the admin server returns it.
func (d Decision) MarshalJSON() ([]byte, error) {
	v := decisionValue{
		Time: d.time, Kind: d.kind, RequestID: d.requestID, AttemptID: d.attemptID, Service: d.service,
		Model: d.model, Version: d.version, Chosen: d.chosen, Keeper: d.keeper, Reason: d.reason,
	}
	for _, r := range d.runnersUp {
		v.RunnersUp = append(v.RunnersUp, runnerUpValue{Name: r.name, Reason: r.reason})
	}
	return json.Marshal(v)
}

// UnmarshalJSON decodes a decision returned by an admin server.
func (d *Decision) UnmarshalJSON(text []byte) error {
	var v decisionValue
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	*d = Decision{
		time: v.Time, kind: v.Kind, requestID: v.RequestID, attemptID: v.AttemptID, service: v.Service,
		model: v.Model, version: v.Version, chosen: v.Chosen, keeper: v.Keeper, reason: v.Reason,
	}
	for _, r := range v.RunnersUp {
		d.runnersUp = append(d.runnersUp, RunnerUp{name: r.Name, reason: r.Reason})
	}
	return nil
}
