package dispatch

import "container/heap"

// order hands out servers from the most preferred on; few are usually asked
// for, so they are not sorted as a whole.
type order struct {
	servers []*server
	compare func(a, b *server) int
}

// newOrder returns an order of the servers, which it rearranges.
func newOrder(servers []*server, compare func(a, b *server) int) *order {
	o := &order{servers: servers, compare: compare}
	heap.Init(o)
	return o
}

// next returns the next server, nil if there is none.
func (o *order) next() *server {
	if len(o.servers) == 0 {
		return nil
	}
	return heap.Pop(o).(*server)
}

// first returns the first n servers, fewer if there are not so many.
func (o *order) first(n int) []*server {
	out := make([]*server, 0, min(n, len(o.servers)))
	for len(out) < n {
		s := o.next()
		if s == nil {
			break
		}
		out = append(out, s)
	}
	return out
}

func (o *order) Len() int { return len(o.servers) }

// Less goes by the entry's own preference among equals.
func (o *order) Less(i, j int) bool {
	a, b := o.servers[i], o.servers[j]
	if c := o.compare(a, b); c != 0 {
		return c < 0
	}
	return a.rank < b.rank
}

func (o *order) Swap(i, j int) { o.servers[i], o.servers[j] = o.servers[j], o.servers[i] }
func (o *order) Push(x any)    { o.servers = append(o.servers, x.(*server)) }
func (o *order) Pop() any {
	last := o.servers[len(o.servers)-1]
	o.servers = o.servers[:len(o.servers)-1]
	return last
}
