package operator

import (
	"encoding/json"

	"greengagedock.example/backend"
)

// BackendServer is the state of a backend server at the entry that keeps it.
type BackendServer struct {
	id          string
	incarnation string
	service     string
	trust       string
	warmth      string
	step        int
	halted      string
	load        backend.Load
	limit       backend.Load
}

// NewBackendServer returns the state of a server's incarnation with the load
// counted on it and the load that it may get now.
func NewBackendServer(id, incarnation string, load, limit backend.Load) BackendServer {
	return BackendServer{id: id, incarnation: incarnation, load: load, limit: limit}
}

// WithService returns the state with the name of the server's service.
func (b BackendServer) WithService(service string) BackendServer {
	b.service = service
	return b
}

// WithWarmth returns the state with how warm the server is, the steps above
// its cold bearing, and how sure its keeper is to be the only one.
func (b BackendServer) WithWarmth(warmth string, step int, trust string) BackendServer {
	b.warmth = warmth
	b.step = step
	b.trust = trust
	return b
}

// WithSuspendedReason returns the state with why the server gets nothing new, empty if it may.
func (b BackendServer) WithSuspendedReason(halted string) BackendServer {
	b.halted = halted
	return b
}

// ID returns the server's published id.
func (b BackendServer) ID() string { return b.id }

// Incarnation returns the incarnation of the last report, empty if there was none.
func (b BackendServer) Incarnation() string { return b.incarnation }

// Service returns the name of the server's service.
func (b BackendServer) Service() string { return b.service }

// KeeperLease returns how sure the keeper is to be the only one.
func (b BackendServer) KeeperLease() string { return b.trust }

// Warmth returns how warm the server is.
func (b BackendServer) Warmth() string { return b.warmth }

// WarmthStep returns the steps that the server has earned above its cold bearing.
func (b BackendServer) WarmthStep() int { return b.step }

// SuspendedReason returns why the server gets nothing new, empty if it may.
func (b BackendServer) SuspendedReason() string { return b.halted }

// Load returns the load counted on the server.
func (b BackendServer) Load() backend.Load { return b.load }

// Limit returns the load that the server may get now.
func (b BackendServer) Limit() backend.Load { return b.limit }

type loadValue struct {
	Requests int `json:"requests"`
	Tokens   int `json:"tokens"`
}

type backendServerValue struct {
	ID          string    `json:"id"`
	Incarnation string    `json:"incarnation"`
	Service     string    `json:"service"`
	Trust       string    `json:"trust"`
	Warmth      string    `json:"warmth"`
	Step        int       `json:"step"`
	Halted      string    `json:"halted,omitempty"`
	Load        loadValue `json:"load"`
	Limit       loadValue `json:"limit"`
}

// MarshalJSON returns the state as the admin address answers it.
func (b BackendServer) MarshalJSON() ([]byte, error) {
	return json.Marshal(backendServerValue{
		ID: b.id, Incarnation: b.incarnation, Service: b.service, Trust: b.trust,
		Warmth: b.warmth, Step: b.step, Halted: b.halted,
		Load:  loadValue{Requests: b.load.Requests(), Tokens: b.load.Tokens()},
		Limit: loadValue{Requests: b.limit.Requests(), Tokens: b.limit.Tokens()},
	})
}

// UnmarshalJSON reads the state that an admin address answered.
func (b *BackendServer) UnmarshalJSON(text []byte) error {
	var v backendServerValue
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	*b = BackendServer{
		id: v.ID, incarnation: v.Incarnation, service: v.Service, trust: v.Trust,
		warmth: v.Warmth, step: v.Step, halted: v.Halted,
		load:  backend.NewLoad(v.Load.Requests, v.Load.Tokens),
		limit: backend.NewLoad(v.Limit.Requests, v.Limit.Tokens),
	}
	return nil
}
