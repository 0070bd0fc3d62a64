package backend

import (
	"maps"
	"slices"
	"time"

	"greengagedock.example/registry"
)

const (
	// reportMargin is how much later than an event a report must be taken to speak about it.
	reportMargin = 250 * time.Millisecond
	// reportLife is the time after which a server whose last report is older gets nothing new.
	reportLife = 5 * time.Second
	// releaseGrace is the time after an attempt's deadline until its slot ends by itself.
	releaseGrace = 2 * time.Second
	// cancelInterval is the time between two cancels of the same orphan.
	cancelInterval = time.Second
	// unclaimedLife is the time after which a stream that no owner claims is cancelled.
	unclaimedLife = 15 * time.Minute
	// releasedLife bounds how long the id of a released attempt is remembered.
	releasedLife = time.Minute
	// maxRetired bounds the remembered incarnations that a server has left behind.
	maxRetired = 8
)

// entry is one slot in a server's book.
type entry struct {
	slot     Slot
	work     Workload
	granted  time.Time
	expected time.Duration
	tokens   int
	lost     bool
	lostAt   time.Time
	cancel   time.Time
}

// load returns what the entry counts.
func (e *entry) load() Load { return Load{requests: 1, tokens: e.tokens} }

// lose marks the entry as one that no owner looks after.
func (e *entry) lose(now time.Time) {
	if !e.lost {
		e.lost, e.lostAt, e.cancel = true, now, now
	}
}

// disproved reports whether a report taken then, without the entry's stream, shows it gone.
func (e *entry) disproved(taken time.Time) bool {
	last := e.lostAt
	if e.slot.startBy.After(last) {
		last = e.slot.startBy
	}
	return e.lost && taken.After(last.Add(reportMargin))
}

// unclaimed is a stream that a report shows and no entry explains.
type unclaimed struct {
	tokens int
	since  time.Time
	ended  bool
	cancel time.Time
}

// book is what a ledger knows of one server.
type book struct {
	server      Server
	trust       KeeperLease
	closed      bool
	leaving     time.Time
	incarnation string
	known       bool
	retired     []string
	models      []string
	capacity    int
	taken       time.Time
	heard       time.Time
	doubtful    bool
	suspect     time.Time
	failures    int
	warmth      warmth
	legacy      legacy
	pace        pace
	entries     map[string]*entry
	released    map[string]time.Time
	unclaimed   map[string]*unclaimed
	unexplained int
	// unexplainedCalls is how many requests a plain service works on beside the entries.
	unexplainedCalls int
}

func newBook(server Server) *book {
	return &book{
		server:    server,
		trust:     KeeperLeaseNone,
		entries:   make(map[string]*entry),
		released:  make(map[string]time.Time),
		unclaimed: make(map[string]*unclaimed),
	}
}

// serves reports whether the server carries the work as far as is known.
func (b *book) serves(work Workload) bool {
	if b.server.service != work.service {
		return false
	}
	return work.model == "" || !b.known || slices.Contains(b.models, work.model)
}

// open reports whether the server may get new work at all.
func (b *book) open() bool { return !b.closed && b.leaving.IsZero() }

// halted returns why the server gets nothing new at now, empty if it may.
func (b *book) halted(now time.Time) string {
	switch {
	case b.closed:
		return "closed"
	case !b.leaving.IsZero():
		return "leaving"
	case !b.known:
		return "unknown incarnation"
	case b.doubtful:
		return "unreachable"
	case !b.suspect.IsZero():
		return "refused or failed, no report since"
	case now.Sub(b.heard) > reportLife:
		return "report too old"
	}
	return ""
}

// limit returns the load that the server may get at its warmth and trust.
func (b *book) limit() Load {
	bearing := b.server.bearing
	limit := b.warmth.limit(bearing)
	if b.trust != KeeperLeaseFull && b.warmth.cold() {
		return Load{}
	}
	if b.trust == KeeperLeaseNone {
		half := bearing.warm.part(1, 2)
		limit = Load{requests: min(limit.requests, half.requests), tokens: min(limit.tokens, half.tokens)}
	}
	return b.capped(limit)
}

// most returns the load of a warm server that is fully trusted.
func (b *book) most() Load { return b.capped(b.server.bearing.warm) }

func (b *book) capped(limit Load) Load {
	if b.capacity > 0 {
		limit.tokens = min(limit.tokens, b.capacity)
	}
	return limit
}

// need returns the load that a cost takes of the server.
func (b *book) need(cost Cost) Load {
	if b.server.kind == registry.KindService {
		return Load{requests: 1}
	}
	return Load{requests: 1, tokens: cost.Tokens()}
}

// counted returns the load of all entries and of what reports show beside them.
func (b *book) counted() Load {
	sum := Load{requests: b.unexplainedCalls, tokens: b.unexplained}
	for _, e := range b.entries {
		sum = sum.Add(e.load())
	}
	for _, u := range b.unclaimed {
		sum = sum.Add(Load{requests: 1, tokens: u.tokens})
	}
	return sum
}

// class returns the load of the entries of one class.
func (b *book) class(class Class) Load {
	var sum Load
	for _, e := range b.entries {
		if e.slot.cost.Class() == class {
			sum = sum.Add(e.load())
		}
	}
	return sum
}

// add enters a slot.
func (b *book) add(now time.Time, work Workload, slot Slot) *entry {
	e := &entry{slot: slot, work: work, granted: now, tokens: b.need(slot.cost).tokens}
	if u, shown := b.unclaimed[slot.id]; shown {
		e.tokens = max(e.tokens, u.tokens)
		delete(b.unclaimed, slot.id)
	}
	b.entries[slot.id] = e
	return e
}

// free takes an entry out whose memory the server has given back.
func (b *book) free(now time.Time, e *entry) {
	delete(b.entries, e.slot.id)
	b.released[e.slot.id] = now
	b.pace.bound(b.prompts())
}

// prompts returns the prompt tokens of the entries by class.
func (b *book) prompts() [len(classes)]float64 {
	var sums [len(classes)]float64
	for _, e := range b.entries {
		sums[e.slot.cost.Class().index()] += float64(e.slot.cost.prompt)
	}
	return sums
}

// sorted returns the entries in the order of their ids.
func (b *book) sorted() []*entry {
	list := make([]*entry, 0, len(b.entries))
	for _, id := range slices.Sorted(maps.Keys(b.entries)) {
		list = append(list, b.entries[id])
	}
	return list
}

// expire turns entries into orphans whose deadline and grace are over.
func (b *book) expire(now time.Time) {
	for _, e := range b.entries {
		if now.After(e.slot.deadline.Add(releaseGrace)) && now.After(e.slot.startBy.Add(releaseGrace)) {
			e.lose(now)
		}
	}
	for id, at := range b.released {
		if now.Sub(at) > releasedLife {
			delete(b.released, id)
		}
	}
}

// orphans returns the cancels that are due; a plain service takes none.
func (b *book) orphans(now time.Time) []Decision {
	if b.server.kind == registry.KindService {
		return nil
	}
	var out []Decision
	for _, e := range b.sorted() {
		if e.lost && !now.Before(e.cancel) {
			e.cancel = now.Add(cancelInterval)
			out = append(out, b.orphan(e.slot.id))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.unclaimed)) {
		u := b.unclaimed[id]
		due := u.ended || now.Sub(u.since) > unclaimedLife
		if due && !now.Before(u.cancel) {
			u.cancel = now.Add(cancelInterval)
			out = append(out, b.orphan(id))
		}
	}
	return out
}

func (b *book) orphan(id string) Orphan {
	return Orphan{server: b.server.id, address: b.server.address, stream: id}
}
