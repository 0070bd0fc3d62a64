package peer

import (
	"sync/atomic"
	"time"
)

// Stats counts what a Control has done since its start.
type Stats struct {
	events     int64
	heartbeats int64
	frames     int64
	bytes      int64
	busy       time.Duration
}

// Events returns the number of processed events, ticks included.
func (s Stats) Events() int64 { return s.events }

// Heartbeats returns the number of heartbeats sent.
func (s Stats) Heartbeats() int64 { return s.heartbeats }

// Frames returns the number of frames sent to peers, heartbeats included.
func (s Stats) Frames() int64 { return s.frames }

// Bytes returns the size of the frames sent to peers, in bytes.
func (s Stats) Bytes() int64 { return s.bytes }

// Busy returns the time that the control goroutine spent processing events.
func (s Stats) Busy() time.Duration { return s.busy }

// counters are the values that Stats returns.
type counters struct {
	events     atomic.Int64
	heartbeats atomic.Int64
	frames     atomic.Int64
	bytes      atomic.Int64
	busy       atomic.Int64 // nanoseconds
}

// sent counts one frame of the given size.
func (c *counters) sent(m message, bytes int) {
	c.frames.Add(1)
	c.bytes.Add(int64(bytes))
	if m.kind() == kindHeartbeat {
		c.heartbeats.Add(1)
	}
}

// processed counts one event and its processing time.
func (c *counters) processed(took time.Duration) {
	c.events.Add(1)
	c.busy.Add(int64(took))
}

// Stats returns the current counts.
func (c *Control) Stats() Stats {
	return Stats{
		events:     c.counters.events.Load(),
		heartbeats: c.counters.heartbeats.Load(),
		frames:     c.counters.frames.Load(),
		bytes:      c.counters.bytes.Load(),
		busy:       time.Duration(c.counters.busy.Load()),
	}
}
