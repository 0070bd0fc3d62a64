package mesh

import "github.com/cespare/xxhash/v2"

// RendezvousWeight returns the weight of an entry for a key under rendezvous
// hashing. Entries that know the same set of entries agree on which one has the
// highest weight.
func RendezvousWeight(key, entry string) uint64 {
	return xxhash.Sum64String(key + "\x00" + entry)
}
