package peer

import (
	"slices"
	"time"

	"greengagedock.example/mesh"
)

const (
	// watchersPerDomain is how many entries of each failure domain watch the
	// platform.
	watchersPerDomain = 2
	// watchersPerRegion is the minimum number of entries of a region that watch
	// the platform.
	watchersPerRegion = 8
	// platformLostAfter is how long no entry of the region may have read the
	// platform before every entry watches it.
	platformLostAfter = 15 * time.Second
)

// watchesPlatform reports whether this entry watches the platform. The entries
// of the highest weights in each failure domain and in the region do, so that
// the number of watches grows with the domains and not with the entries. All
// entries do if none has read the platform lately.
func (n *Node) watchesPlatform(now time.Time) bool {
	list := n.membership.list
	if list.Len() <= watchersPerRegion || n.platformLost(now) {
		return true
	}
	var regionWeights, domainWeights []uint64
	ownWeight := mesh.RendezvousWeight("watch", n.self.ID())
	for _, entry := range list.All() {
		if entry.ID() != n.self.ID() && !n.reachable(now, entry.ID()) {
			continue
		}
		weight := mesh.RendezvousWeight("watch", entry.ID())
		regionWeights = append(regionWeights, weight)
		if entry.Location().Domain() == n.self.Location().Domain() {
			domainWeights = append(domainWeights, weight)
		}
	}
	return amongHighest(domainWeights, ownWeight, watchersPerDomain) || amongHighest(regionWeights, ownWeight, watchersPerRegion)
}

// amongHighest reports whether a weight is among the count highest.
func amongHighest(weights []uint64, own uint64, count int) bool {
	slices.Sort(weights)
	i, _ := slices.BinarySearch(weights, own)
	return len(weights)-i <= count
}

// platformLost reports whether no entry that is heard has read the platform
// lately.
func (n *Node) platformLost(now time.Time) bool {
	if now.Sub(n.platformReadAt) < platformLostAfter {
		return false
	}
	for _, peer := range n.membership.members {
		fresh := peer.lastHeartbeat.PlatformAgeMs >= 0 && time.Duration(peer.lastHeartbeat.PlatformAgeMs)*time.Millisecond < platformLostAfter
		if fresh && now.Sub(peer.lastHeard) < platformLostAfter {
			return false
		}
	}
	return true
}
