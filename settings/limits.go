package settings

import "time"

// Limits bounds what an entry instance spends on its callers.
type Limits struct {
	maxBody           int64
	maxBodyMemory     int64
	maxHeader         int64
	maxAnswer         int64
	maxConnections    int
	maxQueued         int
	maxCallRecords    int
	headerTimeout     time.Duration
	bodyTimeout       time.Duration
	idleTimeout       time.Duration
	writeStallTimeout time.Duration
	eventStallTimeout time.Duration
}

// MaxBody returns the size of the largest request body in bytes.
func (l Limits) MaxBody() int64 { return l.maxBody }

// MaxBodyMemory returns the memory that the bodies of all open requests may take together, in bytes.
func (l Limits) MaxBodyMemory() int64 { return l.maxBodyMemory }

// MaxHeader returns the size of the largest request header in bytes.
func (l Limits) MaxHeader() int64 { return l.maxHeader }

// MaxAnswer returns the size of the largest answer that is not streamed, in bytes.
func (l Limits) MaxAnswer() int64 { return l.maxAnswer }

// MaxConnections returns the number of callers' connections open at once.
func (l Limits) MaxConnections() int { return l.maxConnections }

// MaxQueued returns the number of requests that wait for a backend server at once.
func (l Limits) MaxQueued() int { return l.maxQueued }

// MaxCallRecords returns the number of non-repeatable calls whose ends are remembered at once.
func (l Limits) MaxCallRecords() int { return l.maxCallRecords }

// HeaderTimeout returns how long a caller may take to send a request's header.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// BodyTimeout returns how long a caller may take to send a request's body.
func (l Limits) BodyTimeout() time.Duration { return l.bodyTimeout }

// IdleTimeout returns how long a connection is kept without a request.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// WriteStallTimeout returns how long a caller may take nothing of an answer that waits for it.
func (l Limits) WriteStallTimeout() time.Duration { return l.writeStallTimeout }

// EventStallTimeout returns how long a backend server may send nothing of a stream that it has begun.
func (l Limits) EventStallTimeout() time.Duration { return l.eventStallTimeout }
