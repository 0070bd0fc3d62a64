package peer

import (
	"greengagedock.example/mesh"
	"greengagedock.example/registry"
)

// keeperOf returns the entry that keeps a backend server by rendezvous hashing:
// the live entry of the highest weight in the server's failure domain, or else
// in the whole list; empty if there is none. Entries for which skip returns
// true are left out.
func keeperOf(list registry.List, server, domain string, skip func(entry string) bool) string {
	var best, local string
	var bestWeight, localWeight uint64
	for _, entry := range list.All() {
		if entry.State() != registry.StateLive || skip(entry.ID()) {
			continue
		}
		weight := mesh.RendezvousWeight(server, entry.ID())
		if best == "" || weight > bestWeight {
			best, bestWeight = entry.ID(), weight
		}
		if entry.Location().Domain() == domain && (local == "" || weight > localWeight) {
			local, localWeight = entry.ID(), weight
		}
	}
	if local != "" {
		return local
	}
	return best
}
