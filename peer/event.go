package peer

import (
	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// Event is something that the control state of an entry reacts to: one of
// the types in this file.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// Received is a message from a peer.
type Received struct {
	from    backend.Owner
	message message
}

// linkUp says that the connection to a peer was opened anew: what was sent
// on the one before may be lost.
type linkUp struct{ entry string }

// PlatformRead is what a read of the platform brought.
type PlatformRead struct{ items []registry.Item }

// NewPlatformRead returns the event of a read that brought the items, perhaps none.
func NewPlatformRead(items ...registry.Item) PlatformRead { return PlatformRead{items: items} }

// SlotRequested is a want of this entry's own traffic.
type SlotRequested struct{ want backend.SlotRequest }

// NewSlotRequested returns the event of a want.
func NewSlotRequested(want backend.SlotRequest) SlotRequested { return SlotRequested{want: want} }

// RequestWithdrawn says that a want is no longer needed.
type RequestWithdrawn struct{ id string }

// SlotReleased says that this entry's traffic is done with a slot.
type SlotReleased struct {
	slot    backend.Slot
	outcome backend.Outcome
}

// LoadReported is a load report of a backend server that this entry keeps.
type LoadReported struct{ report backend.Report }

// NewLoadReported returns the event of a report.
func NewLoadReported(report backend.Report) LoadReported { return LoadReported{report: report} }

// ServerUnreachable says that a kept backend server gave no report.
type ServerUnreachable struct{ server string }

// NewServerUnreachable returns the event of a report that could not be had.
func NewServerUnreachable(server string) ServerUnreachable { return ServerUnreachable{server: server} }

// Draining says that this entry is shutting down.
type Draining struct{}

// Stopping says that this entry stops now, with nothing open any more.
type Stopping struct{}

// OpenRequests says how many requests this entry has open.
type OpenRequests struct{ requests int }

// NewOpenRequests returns the event of a count of open requests.
func NewOpenRequests(requests int) OpenRequests { return OpenRequests{requests: requests} }

func (Tick) event()              {}
func (Received) event()          {}
func (linkUp) event()            {}
func (PlatformRead) event()      {}
func (SlotRequested) event()     {}
func (RequestWithdrawn) event()  {}
func (SlotReleased) event()      {}
func (LoadReported) event()      {}
func (ServerUnreachable) event() {}
func (Draining) event()          {}
func (Stopping) event()          {}
func (OpenRequests) event()      {}

// Effect is something that the control state asks its process to do: one of
// the types in this file.
type Effect interface{ effect() }

// Send sends a message to a peer.
type Send struct {
	to      string
	message message
}

// SlotResult ends a want: with a slot, or with a refusal.
type SlotResult struct {
	want    string
	slot    backend.Slot
	refusal *backend.Refusal
}

// AttemptID returns the want's id.
func (a SlotResult) AttemptID() string { return a.want }

// Slot returns the slot granted, if Refusal is nil.
func (a SlotResult) Slot() backend.Slot { return a.slot }

// Refusal returns why the want was refused, nil if it was granted.
func (a SlotResult) Refusal() *backend.Refusal { return a.refusal }

// Cancel ends a stream that nobody waits for at a backend server.
type Cancel struct {
	address string
	stream  string
}

// Address returns the backend server's IP and port.
func (c Cancel) Address() string { return c.address }

// AttemptID returns the attempt's id.
func (c Cancel) AttemptID() string { return c.stream }

// LogLine is a log line.
type LogLine struct {
	level noteLevel
	text  string
	pairs []any
}

// noteLevel says who a log line is for.
type noteLevel string

const (
	noteInfo noteLevel = "info"
	noteWarn noteLevel = "warn"
)

func (Send) effect()       {}
func (SlotResult) effect() {}
func (Cancel) effect()     {}
func (LogLine) effect()    {}
