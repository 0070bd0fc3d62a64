package backend

// maxPrefixes bounds the prompt beginnings whose servers are remembered.
const maxPrefixes = 4096

// prefixKey is the beginning of a prompt to one work.
type prefixKey struct {
	work   Workload
	prefix uint64
}

// affinity remembers the server that each prompt beginning was last sent to;
// its zero value remembers none.
type affinity struct {
	servers map[prefixKey]string
	ring    []prefixKey
	next    int
}

// server returns the server that was last sent the want's prefix, empty if none.
func (a *affinity) server(want SlotRequest) string {
	if want.prefix == 0 {
		return ""
	}
	return a.servers[prefixKey{want.work, want.prefix}]
}

// sent notes that the want's prefix went to a server.
func (a *affinity) sent(want SlotRequest, server string) {
	if want.prefix == 0 {
		return
	}
	if a.servers == nil {
		a.servers = make(map[prefixKey]string)
	}
	key := prefixKey{want.work, want.prefix}
	if _, known := a.servers[key]; !known {
		a.push(key)
	}
	a.servers[key] = server
}

func (a *affinity) push(key prefixKey) {
	if len(a.ring) < maxPrefixes {
		a.ring = append(a.ring, key)
		return
	}
	delete(a.servers, a.ring[a.next])
	a.ring[a.next] = key
	a.next = (a.next + 1) % maxPrefixes
}

// forget drops what was sent to a server.
func (a *affinity) forget(server string) {
	for key, s := range a.servers {
		if s == server {
			a.servers[key] = ""
		}
	}
}
