package peer

import (
	"greengagedock.example/mesh"
	"greengagedock.example/registry"
)

// keeperOf returns the entry that keeps a backend server by rendezvous hashing:
// the live entry of the highest rank in the server's failure domain, or else in
// the whole list; empty if there is none. Entries for which skip returns true
// are left out.
func keeperOf(list registry.List, server, domain string, skip func(entry string) bool) string {
	var best, local string
	var bestRank, localRank uint64
	for _, entry := range list.All() {
		if entry.State() != registry.StateLive || skip(entry.ID()) {
			continue
		}
		r := mesh.Rank(server, entry.ID())
		if best == "" || r > bestRank {
			best, bestRank = entry.ID(), r
		}
		if entry.Place().Domain() == domain && (local == "" || r > localRank) {
			local, localRank = entry.ID(), r
		}
	}
	if local != "" {
		return local
	}
	return best
}
