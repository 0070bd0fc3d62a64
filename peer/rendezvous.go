package peer

import (
	"greengagedock.example/mesh"
	"greengagedock.example/registry"
)

// keeperOf returns the entry of the list that keeps a backend server: the
// highest rank among live entries in the server's failure domain, else among
// all live entries; empty if there is none. Entries in skip are passed over.
func keeperOf(list registry.List, server, domain string, skip func(entry string) bool) string {
	var best, local string
	var bestRank, localRank uint64
	for _, entry := range list.All() {
		if entry.State() != registry.StateLive || skip(entry.ID()) {
			continue
		}
		r := mesh.RendezvousWeight(server, entry.ID())
		if best == "" || r > bestRank {
			best, bestRank = entry.ID(), r
		}
		if entry.Location().Domain() == domain && (local == "" || r > localRank) {
			local, localRank = entry.ID(), r
		}
	}
	if local != "" {
		return local
	}
	return best
}
