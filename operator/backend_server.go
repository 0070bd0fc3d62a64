package operator

import (
	"encoding/json"

	"greengagedock.example/backend"
)

// BackendServer is the state of a backend server at its keeper.
type BackendServer struct {
	id              string
	incarnation     string
	service         string
	keeperLease     string
	warmth          string
	warmthStep      int
	suspendedReason string
	load            backend.Load
	limit           backend.Load
}

// NewBackendServer returns the state of a server's incarnation with the load
// allocated on it and its current load limit.
func NewBackendServer(id, incarnation string, load, limit backend.Load) BackendServer {
	return BackendServer{id: id, incarnation: incarnation, load: load, limit: limit}
}

// WithService returns the state with the name of the server's service.
func (b BackendServer) WithService(service string) BackendServer {
	b.service = service
	return b
}

// WithWarmth returns the state with the server's warmth, the number of steps
// above its cold capacity, and the lease that its keeper holds on it.
func (b BackendServer) WithWarmth(warmth string, step int, keeperLease string) BackendServer {
	b.warmth = warmth
	b.warmthStep = step
	b.keeperLease = keeperLease
	return b
}

// WithSuspendedReason returns the state with the reason why the server gets no new requests, empty if it may.
func (b BackendServer) WithSuspendedReason(reason string) BackendServer {
	b.suspendedReason = reason
	return b
}

// ID returns the server's published id.
func (b BackendServer) ID() string { return b.id }

// Incarnation returns the incarnation of the last report, empty if there was none.
func (b BackendServer) Incarnation() string { return b.incarnation }

// Service returns the name of the server's service.
func (b BackendServer) Service() string { return b.service }

// KeeperLease returns the lease that the keeper holds on the server: none, warm or full.
func (b BackendServer) KeeperLease() string { return b.keeperLease }

// Warmth returns the server's warmth: cold, warming or warm.
func (b BackendServer) Warmth() string { return b.warmth }

// WarmthStep returns the number of steps by which the server's limit is above its cold capacity.
func (b BackendServer) WarmthStep() int { return b.warmthStep }

// SuspendedReason returns the reason why the server gets no new requests, empty if it may.
func (b BackendServer) SuspendedReason() string { return b.suspendedReason }

// Load returns the load that the keeper has allocated on the server.
func (b BackendServer) Load() backend.Load { return b.load }

// Limit returns the most load that the server may have now.
func (b BackendServer) Limit() backend.Load { return b.limit }

type loadValue struct {
	Requests int `json:"requests"`
	Tokens   int `json:"tokens"`
}

type backendServerValue struct {
	ID              string    `json:"id"`
	Incarnation     string    `json:"incarnation"`
	Service         string    `json:"service"`
	KeeperLease     string    `json:"trust"`
	Warmth          string    `json:"warmth"`
	WarmthStep      int       `json:"step"`
	SuspendedReason string    `json:"halted,omitempty"`
	Load            loadValue `json:"load"`
	Limit           loadValue `json:"limit"`
}

// MarshalJSON encodes the state as the admin server returns it.
func (b BackendServer) MarshalJSON() ([]byte, error) {
	return json.Marshal(backendServerValue{
		ID: b.id, Incarnation: b.incarnation, Service: b.service, KeeperLease: b.keeperLease,
		Warmth: b.warmth, WarmthStep: b.warmthStep, SuspendedReason: b.suspendedReason,
		Load:  loadValue{Requests: b.load.Requests(), Tokens: b.load.Tokens()},
		Limit: loadValue{Requests: b.limit.Requests(), Tokens: b.limit.Tokens()},
	})
}

// UnmarshalJSON decodes a state returned by an admin server.
func (b *BackendServer) UnmarshalJSON(text []byte) error {
	var v backendServerValue
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	*b = BackendServer{
		id: v.ID, incarnation: v.Incarnation, service: v.Service, keeperLease: v.KeeperLease,
		warmth: v.Warmth, warmthStep: v.WarmthStep, suspendedReason: v.SuspendedReason,
		load:  backend.NewLoad(v.Load.Requests, v.Load.Tokens),
		limit: backend.NewLoad(v.Limit.Requests, v.Limit.Tokens),
	}
	return nil
}
