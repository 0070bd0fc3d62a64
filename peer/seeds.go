package peer

import (
	"strings"
	"time"
)

// seedPullInterval is the time between two pulls from the seeds until this
// entry is synced.
const seedPullInterval = time.Second

// pullFromSeeds repeats the pull from the seeds until this entry is synced. A
// reply is lost while the seed has not connected to this incarnation yet, and
// without a list there are no links to the peers that send heartbeats.
func (c *Control) pullFromSeeds(now time.Time) {
	if c.node.sync.done || now.Sub(c.seedsAskedAt) < seedPullInterval {
		return
	}
	c.seedsAskedAt = now
	for name := range c.links {
		if strings.HasPrefix(name, seedPrefix) {
			c.send(Send{to: name, message: &pull{Versions: c.node.items.versions()}})
		}
	}
}
