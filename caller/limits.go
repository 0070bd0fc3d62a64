package caller

import "time"

// Limits bounds what callers may take of an entry; its zero value has the defaults.
type Limits struct {
	connections int
	header      int
	headerTime  time.Duration
	idle        time.Duration
	body        int64
	bodyTimeout time.Duration
	memory      int64
	answer      int64
	writeStall  time.Duration
	eventStall  time.Duration
	homeRecords int
}

// The defaults of Limits.
const (
	defaultConnections = 20_000
	defaultHeader      = 16 << 10
	defaultHeaderTime  = 5 * time.Second
	defaultIdle        = time.Minute
	defaultBody        = 16 << 20
	defaultBodyTimeout = 30 * time.Second
	defaultMemory      = 512 << 20
	defaultAnswer      = 4 << 20
	defaultWriteStall  = 10 * time.Second
	defaultEventStall  = 5 * time.Second
	defaultHomeRecords = 100_000

	accountMemoryPart = 4
)

// MaxConnections returns the greatest number of open connections.
func (l Limits) MaxConnections() int { return orDefault(l.connections, defaultConnections) }

// MaxHeader returns the longest request header in bytes.
func (l Limits) MaxHeader() int { return orDefault(l.header, defaultHeader) }

// HeaderTimeout returns how long a caller may take to send a request's header.
func (l Limits) HeaderTimeout() time.Duration { return orDefault(l.headerTime, defaultHeaderTime) }

// IdleTimeout returns how long a connection without a request is kept.
func (l Limits) IdleTimeout() time.Duration { return orDefault(l.idle, defaultIdle) }

// MaxBody returns the longest request body in bytes.
func (l Limits) MaxBody() int64 { return orDefault(l.body, defaultBody) }

// BodyTimeout returns how long a caller may take to send a request's body.
func (l Limits) BodyTimeout() time.Duration { return orDefault(l.bodyTimeout, defaultBodyTimeout) }

// MaxBodyMemory returns the bytes that the bodies of all open requests may take
// together.
func (l Limits) MaxBodyMemory() int64 { return orDefault(l.memory, defaultMemory) }

// MaxAccountBodyMemory returns the bytes that the bodies of one account's open
// requests may take: a quarter of MaxBodyMemory, but no less than one body.
func (l Limits) MaxAccountBodyMemory() int64 {
	return max(l.MaxBodyMemory()/accountMemoryPart, l.MaxBody())
}

// MaxAnswer returns the longest answer in bytes that is not streamed.
func (l Limits) MaxAnswer() int64 { return orDefault(l.answer, defaultAnswer) }

// WriteStallTimeout returns how long a caller may take to read what is ready for it, 64 KB at most.
func (l Limits) WriteStallTimeout() time.Duration { return orDefault(l.writeStall, defaultWriteStall) }

// EventStallTimeout returns how long a server may take between two events of a stream.
func (l Limits) EventStallTimeout() time.Duration { return orDefault(l.eventStall, defaultEventStall) }

// MaxCallRecords returns the greatest number of non-repeatable calls that are remembered.
func (l Limits) MaxCallRecords() int { return orDefault(l.homeRecords, defaultHomeRecords) }

// WithConnections returns the limits with another number of open connections and time that idle ones are kept.
func (l Limits) WithConnections(connections int, idle time.Duration) Limits {
	l.connections = connections
	l.idle = idle
	return l
}

// WithHeader returns the limits with another header length in bytes and time to send it.
func (l Limits) WithHeader(bytes int, time time.Duration) Limits {
	l.header = bytes
	l.headerTime = time
	return l
}

// WithBody returns the limits with another body length in bytes and time to send it.
func (l Limits) WithBody(bytes int64, timeout time.Duration) Limits {
	l.body = bytes
	l.bodyTimeout = timeout
	return l
}

// WithMaxBodyMemory returns the limits with other bytes for the bodies of all open requests.
func (l Limits) WithMaxBodyMemory(bytes int64) Limits {
	l.memory = bytes
	return l
}

// WithMaxAnswer returns the limits with another length in bytes of answers that are not streamed.
func (l Limits) WithMaxAnswer(bytes int64) Limits {
	l.answer = bytes
	return l
}

// WithStallTimeouts returns the limits with other times that a caller may take to
// read and a server to send its next event.
func (l Limits) WithStallTimeouts(write, event time.Duration) Limits {
	l.writeStall = write
	l.eventStall = event
	return l
}

// WithMaxCallRecords returns the limits with another number of remembered non-repeatable calls.
func (l Limits) WithMaxCallRecords(records int) Limits {
	l.homeRecords = records
	return l
}

func orDefault[T comparable](value, def T) T {
	var zero T
	if value == zero {
		return def
	}
	return value
}
