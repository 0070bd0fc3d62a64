package entry

import (
	"expvar"

	"greengagedock.example/peer"
)

// variables maps the id of each entry that runs in this process to its expvar
// variables: one entry in the daemon, several in tests and the demo.
var variables = expvar.NewMap("greengagedock")

// requestCounts counts the requests of one entry; its zero value is ready to use.
type requestCounts struct {
	total    expvar.Int
	answered expvar.Int
	retries  expvar.Int
	refusals expvar.Map
	outcomes expvar.Map
}

// recordEnd counts a request that has ended; the reason is empty if it was answered completely.
func (c *requestCounts) recordEnd(outcome, reason string, attempts int) {
	c.total.Add(1)
	c.retries.Add(int64(max(0, attempts-1)))
	if reason == "" {
		c.answered.Add(1)
		return
	}
	c.refusals.Add(reason, 1)
	c.outcomes.Add(outcome, 1)
}

// publish exports the entry's variables under its id.
func (p *Process) publish() {
	counts := &p.recorder.counts
	vars := new(expvar.Map)
	vars.Set("requests", &counts.total)
	vars.Set("requests_answered", &counts.answered)
	vars.Set("requests_open", intFunc(func() int64 { return int64(p.server.OpenRequests()) }))
	vars.Set("retries", &counts.retries)
	vars.Set("refusals_by_reason", &counts.refusals)
	vars.Set("refusals_by_outcome", &counts.outcomes)
	vars.Set("heartbeats", intFunc(func() int64 { return p.control.Stats().Heartbeats() }))
	vars.Set("peer_frames", intFunc(func() int64 { return p.control.Stats().Frames() }))
	vars.Set("peer_bytes", intFunc(func() int64 { return p.control.Stats().Bytes() }))
	vars.Set("control_events", intFunc(func() int64 { return p.control.Stats().Events() }))
	vars.Set("control_busy_ns", intFunc(func() int64 { return p.control.Stats().Busy().Nanoseconds() }))
	publishSnapshot(vars, p.control.Snapshot)
	variables.Set(p.settings.ID(), vars)
}

// publishSnapshot adds the variables that are read from the latest snapshot.
func publishSnapshot(vars *expvar.Map, latest func() *peer.Snapshot) {
	vars.Set("servers_kept", intFunc(func() int64 { return int64(len(latest().Servers())) }))
	vars.Set("servers_untrusted", intFunc(func() int64 { return int64(len(latest().ServersWithoutLease())) }))
	vars.Set("servers_halted", intFunc(func() int64 {
		suspended := int64(0)
		for _, server := range latest().Servers() {
			if server.SuspendedReason() != "" {
				suspended++
			}
		}
		return suspended
	}))
	vars.Set("documents_refused", intFunc(func() int64 { return int64(len(latest().Refused())) }))
	vars.Set("entry_list_version", intFunc(func() int64 { return latest().ListVersion() }))
	vars.Set("platform_age_ms", intFunc(func() int64 {
		s := latest()
		if s.PlatformReadAt().IsZero() {
			return -1
		}
		return s.Time().Sub(s.PlatformReadAt()).Milliseconds()
	}))
}

// unpublish removes the entry's variables.
func (p *Process) unpublish() { variables.Delete(p.settings.ID()) }

// intFunc is an expvar variable that is computed when it is read.
type intFunc func() int64

// String returns the value as JSON.
func (f intFunc) String() string { return expvar.Func(func() any { return f() }).String() }
