package backend

// maxPrefixes bounds the prompt prefixes whose servers are remembered.
const maxPrefixes = 4096

// prefixKey is a prompt prefix sent to one workload, as a hash.
type prefixKey struct {
	workload Workload
	prefix   uint64
}

// affinity maps prompt prefixes to the server that each was last sent to,
// dropping the oldest prefix when it is full. The zero value is empty.
type affinity struct {
	servers map[prefixKey]string
	ring    []prefixKey
	next    int
}

// server returns the server that the request's prefix was last sent to, empty
// if there is none.
func (a *affinity) server(request SlotRequest) string {
	if request.prefix == 0 {
		return ""
	}
	return a.servers[prefixKey{request.workload, request.prefix}]
}

// sent records that the request's prefix went to a server.
func (a *affinity) sent(request SlotRequest, server string) {
	if request.prefix == 0 {
		return
	}
	if a.servers == nil {
		a.servers = make(map[prefixKey]string)
	}
	key := prefixKey{request.workload, request.prefix}
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

// forget removes a server from all prefixes.
func (a *affinity) forget(server string) {
	for key, s := range a.servers {
		if s == server {
			a.servers[key] = ""
		}
	}
}
