package peer

import (
	"hash/fnv"

	"greengagedock.example/registry"
)

// rank returns the weight of an entry for a key under rendezvous hashing.
func rank(key, entry string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(entry))
	return mix(h.Sum64())
}

// mix spreads the low bits of a hash over the whole word, as FNV alone does
// not for short keys.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

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
		r := rank(server, entry.ID())
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
