package gateway

import (
	"cmp"
	"time"

	"greengagedock.example/upstream"
)

// Bounds are the times within which the platform requires an effect, 0 if unknown.
type Bounds struct {
	memoryFree   time.Duration
	configActive time.Duration
	stable       time.Duration
	prefillStall time.Duration
	reports      time.Duration
}

// NewBounds returns the times within which memory that no request uses must be free,
// a configuration must be active, and entries must have adapted to a fault.
func NewBounds(memoryFree, configActive, stable time.Duration) Bounds {
	return Bounds{memoryFree: memoryFree, configActive: configActive, stable: stable}
}

// WithPrefillStall returns the bounds with the time after which a backend server
// reports that one of its prefill workers is dead.
func (b Bounds) WithPrefillStall(stall time.Duration) Bounds {
	b.prefillStall = stall
	return b
}

// WithReports returns the bounds with the interval at which backend servers report to the store.
func (b Bounds) WithReports(interval time.Duration) Bounds {
	b.reports = interval
	return b
}

const (
	// usualSilence is the longest time without an answer to keep-alive probes, and
	// silenceFraction its largest part of the time in which memory must be free: the
	// rest is for the release and one retry of it.
	usualSilence    = 4 * time.Second
	silenceFraction = 0.75
	// usualUnacknowledged is the longest time for which sent data may stay
	// unacknowledged, and unacknowledgedFraction its largest part of the same time.
	usualUnacknowledged    = 1500 * time.Millisecond
	unacknowledgedFraction = 0.4
	// usualMemoryFree applies if the bounds leave the time out.
	usualMemoryFree = 4 * time.Second
	// holdFraction is the part of that time for which a reservation lasts:
	// reservations of an entry that crashes thus expire in time.
	holdFraction = 0.92
	// usualStoreRead is the longest time of one read; a healthy store responds within
	// milliseconds. storeReadFraction leaves time for a second read and a fetch.
	usualStoreRead    = 1500 * time.Millisecond
	storeReadFraction = 0.75
	// usualScheduler is how long a scheduler may be silent before another entry takes
	// over: three heartbeats.
	usualScheduler    = 3 * heartbeatInterval
	schedulerFraction = 0.4
	// usualListed is how long the directory keeps listing a silent entry.
	usualListed    = 2 * time.Second
	listedFraction = 0.7
	// prefillWorkerMargin is added to the time after which a server reports a dead
	// prefill worker, for the way of the report.
	prefillWorkerMargin = 150 * time.Millisecond
)

// Timeouts are the times to wait for what may be silent for good, each well within
// the bound that depends on it. The zero value has the usual times.
type Timeouts struct {
	bounds Bounds
}

// NewTimeouts returns the timeouts that fit the bounds.
func NewTimeouts(bounds Bounds) Timeouts { return Timeouts{bounds: bounds} }

// within returns the usual time, or the fraction of the bound if that is shorter.
func within(usual time.Duration, fraction float64, bound time.Duration) time.Duration {
	if bound <= 0 {
		return usual
	}
	return min(usual, time.Duration(fraction*float64(bound)))
}

// ServerDialer returns the dialer for requests to backend servers. A server that is
// silent for a second or so keeps its connections, also if that takes two keep-alive
// probes. A server that has vanished loses those of requests that hold memory at others
// in time for it to be released.
func (t Timeouts) ServerDialer() upstream.Dialer {
	return upstream.NewDialer(usualSilence, usualSilence).WithReserved(t.silence())
}

// Dialer returns the dialer for connections to entries, to the store and for commands
// to backend servers, whose calls are short and repeated.
func (t Timeouts) Dialer() upstream.Dialer {
	return upstream.NewDialer(t.silence(), within(usualUnacknowledged, unacknowledgedFraction, t.bounds.memoryFree))
}

// silence returns how long the peer of a connection may leave probes unanswered.
func (t Timeouts) silence() time.Duration {
	return within(usualSilence, silenceFraction, t.bounds.memoryFree)
}

// StoreRead returns the longest time of one read of the store.
func (t Timeouts) StoreRead() time.Duration {
	return within(usualStoreRead, storeReadFraction, t.bounds.configActive)
}

// reservationHold returns how long a KV reservation lasts unless it is renewed.
func (t Timeouts) reservationHold() time.Duration {
	return time.Duration(holdFraction * float64(cmp.Or(t.bounds.memoryFree, usualMemoryFree)))
}

// prefillWorker returns the time after which a server has reported a dead prefill worker.
func (t Timeouts) prefillWorker() time.Duration { return t.bounds.prefillStall + prefillWorkerMargin }

// scheduler returns how long a scheduler may be silent before another entry takes over.
func (t Timeouts) scheduler() time.Duration {
	return within(usualScheduler, schedulerFraction, t.bounds.stable)
}

// listed returns how long the directory keeps listing a silent entry.
func (t Timeouts) listed() time.Duration {
	return within(usualListed, listedFraction, t.bounds.stable)
}

// minOutage returns the shortest time in which published servers may expire because the store is
// away.
func (t Timeouts) minOutage() time.Duration {
	return max(minOutage, time.Duration(outageIntervals*float64(t.bounds.reports)))
}
