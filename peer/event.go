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

// Published is what a read of the platform brought.
type Published struct{ items []registry.Item }

// NewPublished returns the event of a read that brought the items, perhaps none.
func NewPublished(items ...registry.Item) Published { return Published{items: items} }

// Wanted is a want of this entry's own traffic.
type Wanted struct{ want backend.SlotRequest }

// NewWanted returns the event of a want.
func NewWanted(want backend.SlotRequest) Wanted { return Wanted{want: want} }

// Withdrawn says that a want is no longer needed.
type Withdrawn struct{ id string }

// Released says that this entry's traffic is done with a slot.
type Released struct {
	slot    backend.Slot
	outcome backend.Outcome
}

// Reported is a load report of a backend server that this entry keeps.
type Reported struct{ report backend.Report }

// NewReported returns the event of a report.
func NewReported(report backend.Report) Reported { return Reported{report: report} }

// Unreachable says that a kept backend server gave no report.
type Unreachable struct{ server string }

// NewUnreachable returns the event of a report that could not be had.
func NewUnreachable(server string) Unreachable { return Unreachable{server: server} }

// Draining says that this entry is shutting down.
type Draining struct{}

// Ending says that this entry stops now, with nothing open any more.
type Ending struct{}

// Busy says how many requests this entry has open.
type Busy struct{ requests int }

// NewBusy returns the event of a count of open requests.
func NewBusy(requests int) Busy { return Busy{requests: requests} }

func (Tick) event()        {}
func (Received) event()    {}
func (linkUp) event()      {}
func (Published) event()   {}
func (Wanted) event()      {}
func (Withdrawn) event()   {}
func (Released) event()    {}
func (Reported) event()    {}
func (Unreachable) event() {}
func (Draining) event()    {}
func (Ending) event()      {}
func (Busy) event()        {}

// Effect is something that the control state asks its process to do: one of
// the types in this file.
type Effect interface{ effect() }

// Send sends a message to a peer.
type Send struct {
	to      string
	message message
}

// Answer ends a want: with a slot, or with a refusal.
type Answer struct {
	want    string
	slot    backend.Slot
	refusal *backend.Refusal
}

// Want returns the want's id.
func (a Answer) Want() string { return a.want }

// Slot returns the slot granted, if Refusal is nil.
func (a Answer) Slot() backend.Slot { return a.slot }

// Refusal returns why the want was refused, nil if it was granted.
func (a Answer) Refusal() *backend.Refusal { return a.refusal }

// Cancel ends a stream that nobody waits for at a backend server.
type Cancel struct {
	address string
	stream  string
}

// Address returns the backend server's IP and port.
func (c Cancel) Address() string { return c.address }

// Stream returns the attempt's id.
func (c Cancel) Stream() string { return c.stream }

// Note is a log line.
type Note struct {
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

func (Send) effect()   {}
func (Answer) effect() {}
func (Cancel) effect() {}
func (Note) effect()   {}
