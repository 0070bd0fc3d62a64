package caller

import "time"

// Limits are the limits on callers of an entry. The zero value has the
// defaults.
type Limits struct {
	maxConnections    int
	maxHeader         int
	headerTimeout     time.Duration
	idleTimeout       time.Duration
	maxBody           int64
	bodyTimeout       time.Duration
	maxBodyMemory     int64
	maxAnswer         int64
	writeStallTimeout time.Duration
	eventStallTimeout time.Duration
	maxCallRecords    int
	maxHeaderMemory   int64
}

// The defaults of Limits.
const (
	defaultMaxConnections    = 20_000
	defaultMaxHeader         = 16 << 10
	defaultHeaderTimeout     = 5 * time.Second
	defaultIdleTimeout       = time.Minute
	defaultMaxBody           = 16 << 20
	defaultBodyTimeout       = 30 * time.Second
	defaultMaxBodyMemory     = 512 << 20
	defaultMaxAnswer         = 4 << 20
	defaultWriteStallTimeout = 10 * time.Second
	defaultEventStallTimeout = 5 * time.Second
	defaultMaxCallRecords    = 100_000
	defaultMaxHeaderMemory   = 32 << 20

	accountMemoryDivisor = 4
)

// MaxConnections returns the maximum number of open connections.
func (l Limits) MaxConnections() int { return orDefault(l.maxConnections, defaultMaxConnections) }

// MaxHeader returns the maximum length of a request header in bytes.
func (l Limits) MaxHeader() int { return orDefault(l.maxHeader, defaultMaxHeader) }

// HeaderTimeout returns how long a caller may take to send a request's header.
func (l Limits) HeaderTimeout() time.Duration {
	return orDefault(l.headerTimeout, defaultHeaderTimeout)
}

// IdleTimeout returns how long an idle connection is kept open.
func (l Limits) IdleTimeout() time.Duration { return orDefault(l.idleTimeout, defaultIdleTimeout) }

// MaxBody returns the maximum length of a request body in bytes.
func (l Limits) MaxBody() int64 { return orDefault(l.maxBody, defaultMaxBody) }

// BodyTimeout returns how long a caller may take to send a request's body.
func (l Limits) BodyTimeout() time.Duration { return orDefault(l.bodyTimeout, defaultBodyTimeout) }

// MaxBodyMemory returns the maximum number of bytes that the bodies of all open
// requests take together, and those of all responses that are being read.
func (l Limits) MaxBodyMemory() int64 { return orDefault(l.maxBodyMemory, defaultMaxBodyMemory) }

// MaxAccountBodyMemory returns the maximum number of bytes that the bodies of
// one account's open requests take: a quarter of MaxBodyMemory, but no less
// than one body.
func (l Limits) MaxAccountBodyMemory() int64 {
	return max(l.MaxBodyMemory()/accountMemoryDivisor, l.MaxBody())
}

// MaxAnswer returns the maximum length in bytes of a response that is not
// streamed.
func (l Limits) MaxAnswer() int64 { return orDefault(l.maxAnswer, defaultMaxAnswer) }

// MaxHeaderMemory returns the maximum number of bytes that the headers of all open requests take
// together beyond ordinary ones.
func (l Limits) MaxHeaderMemory() int64 { return orDefault(l.maxHeaderMemory, defaultMaxHeaderMemory) }

// WriteStallTimeout returns how long a caller may take to read up to 64 KiB of
// its response.
func (l Limits) WriteStallTimeout() time.Duration {
	return orDefault(l.writeStallTimeout, defaultWriteStallTimeout)
}

// EventStallTimeout returns how long a server may take between two events of a
// stream until the request is also sent to another one.
func (l Limits) EventStallTimeout() time.Duration {
	return orDefault(l.eventStallTimeout, defaultEventStallTimeout)
}

// MaxCallRecords returns the maximum number of non-idempotent calls that are
// recorded.
func (l Limits) MaxCallRecords() int { return orDefault(l.maxCallRecords, defaultMaxCallRecords) }

// WithConnections returns a copy with another number of open connections and
// idle timeout.
func (l Limits) WithConnections(connections int, idle time.Duration) Limits {
	l.maxConnections = connections
	l.idleTimeout = idle
	return l
}

// WithHeader returns a copy with another header length in bytes and timeout.
func (l Limits) WithHeader(bytes int, time time.Duration) Limits {
	l.maxHeader = bytes
	l.headerTimeout = time
	return l
}

// WithBody returns a copy with another body length in bytes and timeout.
func (l Limits) WithBody(bytes int64, timeout time.Duration) Limits {
	l.maxBody = bytes
	l.bodyTimeout = timeout
	return l
}

// WithMaxBodyMemory returns a copy with another number of bytes for the bodies
// of all open requests.
func (l Limits) WithMaxBodyMemory(bytes int64) Limits {
	l.maxBodyMemory = bytes
	return l
}

// WithMaxHeaderMemory returns a copy with another number of bytes for the headers of all open
// requests.
func (l Limits) WithMaxHeaderMemory(bytes int64) Limits {
	l.maxHeaderMemory = bytes
	return l
}

// WithMaxAnswer returns a copy with another length in bytes of responses that
// are not streamed.
func (l Limits) WithMaxAnswer(bytes int64) Limits {
	l.maxAnswer = bytes
	return l
}

// WithStallTimeouts returns a copy with other times that a caller may take to
// read and a server to send its next event.
func (l Limits) WithStallTimeouts(write, event time.Duration) Limits {
	l.writeStallTimeout = write
	l.eventStallTimeout = event
	return l
}

// WithMaxCallRecords returns a copy with another number of recorded
// non-idempotent calls.
func (l Limits) WithMaxCallRecords(records int) Limits {
	l.maxCallRecords = records
	return l
}

func orDefault[T comparable](value, def T) T {
	var zero T
	if value == zero {
		return def
	}
	return value
}
