package peer

import (
	"slices"
	"time"

	"greengagedock.example/mesh"
)

const (
	// watchersPerDomain is how many entries of a failure domain watch the platform.
	watchersPerDomain = 2
	// watchersPerRegion is how many entries of a region watch at least.
	watchersPerRegion = 8
	// contactLost is how old the youngest contact of the region with the
	// platform may be before every entry tries for itself.
	contactLost = 15 * time.Second
)

// watches reports whether this entry watches the platform: the highest ranks
// of its failure domain and of its region do, so that watches grow with the
// domains and not with the fleet, and everyone does when no peer has contact.
func (n *Node) watches(now time.Time) bool {
	list := n.members.list
	if list.Len() <= watchersPerRegion || n.contactLost(now) {
		return true
	}
	var region, domain []uint64
	own := mesh.RendezvousWeight("watch", n.self.ID())
	for _, entry := range list.All() {
		if entry.ID() != n.self.ID() && !n.reachable(now, entry.ID()) {
			continue
		}
		r := mesh.RendezvousWeight("watch", entry.ID())
		region = append(region, r)
		if entry.Location().Domain() == n.self.Location().Domain() {
			domain = append(domain, r)
		}
	}
	return within(domain, own, watchersPerDomain) || within(region, own, watchersPerRegion)
}

// within reports whether a rank is among the highest count.
func within(ranks []uint64, own uint64, count int) bool {
	slices.Sort(ranks)
	i, _ := slices.BinarySearch(ranks, own)
	return len(ranks)-i <= count
}

// contactLost reports whether no entry that is heard has read the platform lately.
func (n *Node) contactLost(now time.Time) bool {
	if now.Sub(n.contact) < contactLost {
		return false
	}
	for _, peer := range n.members.members {
		fresh := peer.last.Contact >= 0 && time.Duration(peer.last.Contact)*time.Millisecond < contactLost
		if fresh && now.Sub(peer.heard) < contactLost {
			return false
		}
	}
	return true
}
