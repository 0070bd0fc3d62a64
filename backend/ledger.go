package backend

import (
	"slices"
	"strings"
	"time"
)

// KeeperLease says how far a keeper is sure to be the only one that grants a server's slots.
type KeeperLease string

// The degrees of trust; a server starts with TrustNone.
const (
	// KeeperLeaseNone gives nothing to a cold server and at most half the warm bearing to a warm one.
	KeeperLeaseNone KeeperLease = "none"
	// KeeperLeaseWarm gives nothing to a cold server and to others what their warmth bears.
	KeeperLeaseWarm KeeperLease = "warm"
	// KeeperLeaseFull gives a server what its warmth bears.
	KeeperLeaseFull KeeperLease = "full"
)

// StartWindow is the time after its grant within which a slot must be used.
const StartWindow = time.Second

// Allocator holds the books of the backend servers that one entry keeps: it alone
// grants their slots. It is not safe for concurrent use, does no I/O and takes
// the time only from its callers.
type Allocator struct {
	keeper   string
	books    []*book
	queues   []*queue
	affinity affinity
	leases   leases
}

// NewAllocator returns the ledger of the named entry, which keeps no server yet.
func NewAllocator(keeper string) *Allocator { return &Allocator{keeper: keeper} }

// AddServer starts to keep a server, cold and unknown until its first report, or
// takes in its newly published facts.
func (l *Allocator) AddServer(_ time.Time, server Server) {
	i, found := l.search(server.id)
	if found {
		l.books[i].server = server
		return
	}
	l.books = slices.Insert(l.books, i, newBook(server))
}

// RemoveServer stops keeping a server and denies the wants that no other kept server can serve.
func (l *Allocator) RemoveServer(now time.Time, server string) []Decision {
	if i, found := l.search(server); found {
		l.books = slices.Delete(l.books, i, i+1)
		l.affinity.forget(server)
	}
	return append(l.expire(now), l.settle(now)...)
}

// SetKeeperLease sets how far this keeper is sure to be the server's only one.
func (l *Allocator) SetKeeperLease(server string, trust KeeperLease) {
	if b := l.book(server); b != nil {
		b.trust = trust
	}
}

// SetClosed sets whether the server gets no new work, because it is leaving
// or its failure domain is out.
func (l *Allocator) SetClosed(server string, closed bool) {
	if b := l.book(server); b != nil {
		b.closed = closed
	}
}

// Tick ends what is overdue, repeats cancels and serves the queue.
func (l *Allocator) Tick(now time.Time) []Decision {
	var out []Decision
	for _, b := range l.books {
		b.expire(now)
		out = append(out, b.orphans(now)...)
	}
	out = append(out, l.settleLeases(now)...)
	out = append(out, l.expire(now)...)
	return append(out, l.settle(now)...)
}

func (l *Allocator) search(server string) (int, bool) {
	return slices.BinarySearchFunc(l.books, server, func(b *book, id string) int {
		return strings.Compare(b.server.id, id)
	})
}

func (l *Allocator) book(server string) *book {
	if i, found := l.search(server); found {
		return l.books[i]
	}
	return nil
}

// serving returns the books of the servers that carry the work.
func (l *Allocator) serving(work Workload) []*book {
	var list []*book
	for _, b := range l.books {
		if b.serves(work) {
			list = append(list, b)
		}
	}
	return list
}

func (l *Allocator) queue(work Workload) *queue {
	i, found := slices.BinarySearchFunc(l.queues, work, func(q *queue, w Workload) int {
		if c := strings.Compare(q.work.service, w.service); c != 0 {
			return c
		}
		return strings.Compare(q.work.model, w.model)
	})
	if !found {
		l.queues = slices.Insert(l.queues, i, &queue{work: work})
	}
	return l.queues[i]
}
