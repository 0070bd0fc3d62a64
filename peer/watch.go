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
// of the highest ranks in each failure domain and in the region do, so that the
// number of watches grows with the domains and not with the entries. All
// entries do if none has read the platform lately.
func (n *Node) watchesPlatform(now time.Time) bool {
	list := n.membership.list
	if list.Len() <= watchersPerRegion || n.platformLost(now) {
		return true
	}
	var region, domain []uint64
	own := mesh.Rank("watch", n.self.ID())
	for _, entry := range list.All() {
		if entry.ID() != n.self.ID() && !n.reachable(now, entry.ID()) {
			continue
		}
		r := mesh.Rank("watch", entry.ID())
		region = append(region, r)
		if entry.Place().Domain() == n.self.Place().Domain() {
			domain = append(domain, r)
		}
	}
	return amongHighest(domain, own, watchersPerDomain) || amongHighest(region, own, watchersPerRegion)
}

// amongHighest reports whether a rank is among the count highest.
func amongHighest(ranks []uint64, own uint64, count int) bool {
	slices.Sort(ranks)
	i, _ := slices.BinarySearch(ranks, own)
	return len(ranks)-i <= count
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
