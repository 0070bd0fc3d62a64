package mesh

import "github.com/cespare/xxhash/v2"

// RendezvousWeight returns the weight of an entry for a key under rendezvous hashing: all
// that know the same entries agree on the one of the highest rank.
func RendezvousWeight(key, entry string) uint64 {
	return xxhash.Sum64String(key + "\x00" + entry)
}
