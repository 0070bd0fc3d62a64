package peer

import (
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// Event is an input of a Node: one of the types in this file.
type Event interface{ event() }

// Tick is the passing of time.
type Tick struct{}

// Received is a message from a peer.
type Received struct {
	from    backend.Owner
	message message
	// understands lists the kinds of messages that the peer has stated to understand, nil if
	// it states nothing.
	understands []messageKind
}

// linkUp is a new connection to a peer; messages sent on the one before may be
// lost.
type linkUp struct{ entry string }

// PlatformRead is the result of reading the platform.
type PlatformRead struct{ items []registry.Item }

// NewPlatformRead returns the event of a read that returned the items, possibly
// none.
func NewPlatformRead(items ...registry.Item) PlatformRead { return PlatformRead{items: items} }

// SlotRequested is a slot request of this entry's own traffic.
type SlotRequested struct{ request backend.SlotRequest }

// NewSlotRequested returns the event of a slot request.
func NewSlotRequested(request backend.SlotRequest) SlotRequested {
	return SlotRequested{request: request}
}

// RequestWithdrawn is the cancellation of a slot request by this entry's own
// traffic.
type RequestWithdrawn struct{ attemptID string }

// SlotReleased is the release of a slot by this entry's own traffic.
type SlotReleased struct {
	slot    backend.Slot
	outcome backend.Outcome
}

// ServerCrashed is the end of a slot's server under this entry's own attempt.
type ServerCrashed struct{ slot backend.Slot }

// RequestSettled is an attempt of this entry's own traffic that its server survived.
type RequestSettled struct{ slot backend.Slot }

// ServerRefused is a statement of a slot's server that it wants no more requests for a time.
type ServerRefused struct {
	slot backend.Slot
	wait time.Duration
}

// LoadReported is a load report of a backend server that this entry keeps.
type LoadReported struct{ report backend.Report }

// NewLoadReported returns the event of a load report.
func NewLoadReported(report backend.Report) LoadReported { return LoadReported{report: report} }

// ServerUnreachable is a failed poll of a backend server that this entry keeps.
type ServerUnreachable struct{ server string }

// NewServerUnreachable returns the event of a failed poll of the server.
func NewServerUnreachable(server string) ServerUnreachable { return ServerUnreachable{server: server} }

// Draining is the start of this entry's shutdown.
type Draining struct{}

// Stopping is the end of this entry's shutdown: no request is open any more.
type Stopping struct{}

// OpenRequests is the number of requests that this entry has open.
type OpenRequests struct{ requests int }

// NewOpenRequests returns the event of a number of open requests.
func NewOpenRequests(requests int) OpenRequests { return OpenRequests{requests: requests} }

func (Tick) event()              {}
func (Received) event()          {}
func (linkUp) event()            {}
func (PlatformRead) event()      {}
func (SlotRequested) event()     {}
func (RequestWithdrawn) event()  {}
func (SlotReleased) event()      {}
func (ServerCrashed) event()     {}
func (RequestSettled) event()    {}
func (ServerRefused) event()     {}
func (LoadReported) event()      {}
func (ServerUnreachable) event() {}
func (Draining) event()          {}
func (Stopping) event()          {}
func (OpenRequests) event()      {}

// Effect is an output of a Node, to be carried out by its process: one of the
// types in this file.
type Effect interface{ effect() }

// Send sends a message to a peer.
type Send struct {
	to      string
	message message
}

// SlotResult ends a slot request with a slot or a refusal.
type SlotResult struct {
	attemptID string
	slot      backend.Slot
	refusal   *backend.Refusal
}

// AttemptID returns the id of the attempt that the slot was requested for.
func (r SlotResult) AttemptID() string { return r.attemptID }

// Slot returns the granted slot; it is valid only if Refusal returns nil.
func (r SlotResult) Slot() backend.Slot { return r.slot }

// Refusal returns why the request was refused, nil if it was granted.
func (r SlotResult) Refusal() *backend.Refusal { return r.refusal }

// Cancel cancels an attempt at a backend server that no owner claims.
type Cancel struct {
	address   string
	attemptID string
}

// Address returns the backend server's IP and port.
func (c Cancel) Address() string { return c.address }

// AttemptID returns the id of the attempt to cancel.
func (c Cancel) AttemptID() string { return c.attemptID }

// LogLine is a structured log line.
type LogLine struct {
	level logLevel
	text  string
	pairs []any
}

// logLevel is the level of a LogLine.
type logLevel string

const (
	levelInfo logLevel = "info"
	levelWarn logLevel = "warn"
)

func (Send) effect()       {}
func (SlotResult) effect() {}
func (Cancel) effect()     {}
func (LogLine) effect()    {}
