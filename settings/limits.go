package settings

import "time"

// minPeerConnections is the least limit of the connections from other entries.
const minPeerConnections = 256

// Limits bounds the resources that an entry instance spends on its callers.
type Limits struct {
	maxBody           int64
	maxBodyMemory     int64
	maxHeader         int64
	maxAnswer         int64
	maxConnections    int
	maxQueued         int
	maxCallRecords    int
	maxHeaderMemory   int64
	headerTimeout     time.Duration
	bodyTimeout       time.Duration
	idleTimeout       time.Duration
	writeStallTimeout time.Duration
	eventStallTimeout time.Duration
}

// MaxBody returns the size of the largest request body in bytes.
func (l Limits) MaxBody() int64 { return l.maxBody }

// MaxBodyMemory returns the memory that the bodies of all open requests may occupy together, in bytes.
func (l Limits) MaxBodyMemory() int64 { return l.maxBodyMemory }

// MaxHeader returns the size of the largest request header in bytes.
func (l Limits) MaxHeader() int64 { return l.maxHeader }

// MaxHeaderMemory returns the memory that the headers of all open requests may occupy together, beyond ordinary ones, in bytes.
func (l Limits) MaxHeaderMemory() int64 { return l.maxHeaderMemory }

// MaxAnswer returns the size of the largest response that is not streamed, in bytes.
func (l Limits) MaxAnswer() int64 { return l.maxAnswer }

// MaxConnections returns the largest number of concurrent connections from callers.
func (l Limits) MaxConnections() int { return l.maxConnections }

// MaxPeerConnections returns the largest number of concurrent connections from other entries.
func (l Limits) MaxPeerConnections() int { return max(minPeerConnections, l.maxConnections/2) }

// MaxQueued returns the largest number of requests that wait for a backend server.
func (l Limits) MaxQueued() int { return l.maxQueued }

// MaxCallRecords returns the largest number of non-idempotent calls whose results are kept.
func (l Limits) MaxCallRecords() int { return l.maxCallRecords }

// HeaderTimeout returns how long a caller may take to send a request's header.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// BodyTimeout returns how long a caller may take to send a request's body.
func (l Limits) BodyTimeout() time.Duration { return l.bodyTimeout }

// IdleTimeout returns how long a connection without a request is kept open.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// WriteStallTimeout returns how long writing a response may make no progress because the caller does not read.
func (l Limits) WriteStallTimeout() time.Duration { return l.writeStallTimeout }

// EventStallTimeout returns the longest time between events of a backend server's stream.
func (l Limits) EventStallTimeout() time.Duration { return l.eventStallTimeout }
