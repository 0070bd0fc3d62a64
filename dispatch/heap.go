package dispatch

import "container/heap"

// serverHeap yields servers in order of preference. Only few of them are usually
// needed, so it does not sort them all.
type serverHeap struct {
	servers []*server
	compare func(a, b *server) int
}

// newServerHeap returns a heap of the servers; it reorders the slice.
func newServerHeap(servers []*server, compare func(a, b *server) int) *serverHeap {
	h := &serverHeap{servers: servers, compare: compare}
	heap.Init(h)
	return h
}

// next removes and returns the most preferred server, nil if there is none.
func (h *serverHeap) next() *server {
	if len(h.servers) == 0 {
		return nil
	}
	return heap.Pop(h).(*server)
}

// popN removes and returns up to n servers, the most preferred first.
func (h *serverHeap) popN(n int) []*server {
	out := make([]*server, 0, min(n, len(h.servers)))
	for len(out) < n {
		s := h.next()
		if s == nil {
			break
		}
		out = append(out, s)
	}
	return out
}

func (h *serverHeap) Len() int { return len(h.servers) }

// Less breaks ties by the entry's own preference.
func (h *serverHeap) Less(i, j int) bool {
	a, b := h.servers[i], h.servers[j]
	if c := h.compare(a, b); c != 0 {
		return c < 0
	}
	return a.preference < b.preference
}

func (h *serverHeap) Swap(i, j int) { h.servers[i], h.servers[j] = h.servers[j], h.servers[i] }
func (h *serverHeap) Push(x any)    { h.servers = append(h.servers, x.(*server)) }
func (h *serverHeap) Pop() any {
	last := h.servers[len(h.servers)-1]
	h.servers = h.servers[:len(h.servers)-1]
	return last
}
