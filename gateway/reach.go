package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxUnreached bounds the servers that one heartbeat lists; the latest are listed.
const maxUnreached = 64

// setUnreached sets when this entry lost the direct ways that it has, by the server's address,
// and has the schedulers told at once.
func (c *control) setUnreached(lost map[string]time.Time) {
	unreached := make(map[string]time.Time)
	for _, server := range c.View().Servers() {
		if at, ok := lost[server.Address()]; ok {
			unreached[server.ID()] = at
		}
	}
	if !maps.Equal(unreached, c.unreached) {
		c.unreached = unreached
		c.announce()
	}
}

// encodeUnreached returns the servers to which this entry has lost the direct way. One that is
// cut off from all says so by its state.
func (c *control) encodeUnreached(now time.Time) []unreachedMessage {
	if c.members.self.State == memberCutOff {
		return nil
	}
	var out []unreachedMessage
	for server, at := range c.unreached {
		out = append(out, unreachedMessage{Server: server, Age: now.Sub(at)})
	}
	slices.SortFunc(out, func(a, b unreachedMessage) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server))
	})
	return out[:min(maxUnreached, len(out))]
}

// applyUnreached tells the scheduler which servers the sender of a heartbeat does not reach.
func (c *control) applyUnreached(now time.Time, heartbeat heartbeatMessage) {
	var servers []string
	for _, message := range heartbeat.Unreached[:min(maxUnreached, len(heartbeat.Unreached))] {
		servers = append(servers, message.Server)
	}
	c.scheduler.SetUnreached(now, heartbeat.From.ID, servers)
}
