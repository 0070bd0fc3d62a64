package peer

import (
	"strings"
	"time"
)

// seedInterval is the time between two asks of the seeds until this entry is synced.
const seedInterval = time.Second

// askSeeds asks the seeds again what is in force until this entry is synced:
// an answer is lost while the seed has not connected to this incarnation yet,
// and without a list there is no link to those whose heartbeats come.
func (c *Control) askSeeds(now time.Time) {
	if c.node.sync.done || now.Sub(c.asked) < seedInterval {
		return
	}
	c.asked = now
	for name := range c.links {
		if strings.HasPrefix(name, seedPrefix) {
			c.send(Send{to: name, message: &pull{Versions: c.node.relay.versions()}})
		}
	}
}
