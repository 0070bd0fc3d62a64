package peer

// maxPrefixes bounds the prompt beginnings that are remembered.
const maxPrefixes = 4096

// prefixMemory remembers to which backend server the beginning of a prompt
// was last sent; its zero value is empty. The oldest half is forgotten when
// it is full.
type prefixMemory struct {
	young map[uint64]string
	old   map[uint64]string
}

// get returns the server of a prefix hash; 0 is no prefix.
func (p *prefixMemory) get(hash uint64) (string, bool) {
	if server, ok := p.young[hash]; ok {
		return server, true
	}
	server, ok := p.old[hash]
	return server, ok
}

// put remembers the server of a prefix hash.
func (p *prefixMemory) put(hash uint64, server string) {
	if hash == 0 {
		return
	}
	if p.young == nil || len(p.young) >= maxPrefixes/2 {
		p.old = p.young
		p.young = make(map[uint64]string)
	}
	p.young[hash] = server
}
