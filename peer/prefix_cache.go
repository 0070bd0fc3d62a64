package peer

// maxPrefixes bounds the prompt prefixes that are remembered.
const maxPrefixes = 4096

// prefixCache maps the hash of a prompt prefix to the backend server that it
// was last sent to. When it is full, the older half is dropped. The zero value
// is empty.
type prefixCache struct {
	recent   map[uint64]string
	previous map[uint64]string
}

// get returns the server of a prefix hash; 0 means no prefix.
func (p *prefixCache) get(hash uint64) (string, bool) {
	if server, ok := p.recent[hash]; ok {
		return server, true
	}
	server, ok := p.previous[hash]
	return server, ok
}

// put stores the server of a prefix hash.
func (p *prefixCache) put(hash uint64, server string) {
	if hash == 0 {
		return
	}
	if p.recent == nil || len(p.recent) >= maxPrefixes/2 {
		p.previous = p.recent
		p.recent = make(map[uint64]string)
	}
	p.recent[hash] = server
}
