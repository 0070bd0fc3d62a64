package standin

import (
	"container/list"
	"time"
)

// memory is an engine's KV memory: allocations of streams, exports, imports and
// reservations, and in the remaining space an LRU cache of prompt prefixes.
type memory struct {
	capacity int
	used     int
	blocks   map[PromptSum]*list.Element
	lru      *list.List // of block, the most recently used first
	imported map[PromptSum]int
	handles  map[string]*handle
	events   eventLog
}

// block is a cached block of a prompt: the hash and the length in tokens of the prompt up to its end.
type block struct {
	sum    PromptSum
	tokens int
}

// handle is KV memory held by an export, an import or a reservation.
type handle struct {
	id       string
	tokens   int
	sums     []PromptSum
	imported bool // an import, whose blocks can be reused
	expiry   *time.Timer

	// The fields below apply to a reservation for a part of a prompt.
	reserved   bool
	load       Load
	deadline   time.Time
	hashState  []byte
	partTokens int
	prefilled  bool
}

func newMemory(capacity, maxEvents int) *memory {
	return &memory{
		capacity: capacity,
		blocks:   make(map[PromptSum]*list.Element),
		lru:      list.New(),
		imported: make(map[PromptSum]int),
		handles:  make(map[string]*handle),
		events:   eventLog{limit: maxEvents},
	}
}

func (m *memory) cachedTokens() int { return m.lru.Len() * blockTokens }

// reserve allocates tokens of memory, evicting cached prefixes, and reports whether there was enough.
func (m *memory) reserve(tokens int, now time.Time) bool {
	if m.used+tokens > m.capacity {
		return false
	}
	m.used += tokens
	for m.used+m.cachedTokens() > m.capacity {
		m.evict(now)
	}
	return true
}

func (m *memory) release(tokens int) { m.used -= tokens }

// reusableTokens returns the length of the prompt's longest cached or imported prefix, in tokens,
// and marks the cached blocks as used.
func (m *memory) reusableTokens(sums []PromptSum) int {
	n := 0
	for n < len(sums) && (m.blocks[sums[n]] != nil || m.imported[sums[n]] > 0) {
		n++
	}
	m.touch(sums[:n])
	return n * blockTokens
}

// touch marks blocks as used, in reverse order so that the end of a prefix is evicted before its beginning.
func (m *memory) touch(sums []PromptSum) {
	for i := len(sums) - 1; i >= 0; i-- {
		if element := m.blocks[sums[i]]; element != nil {
			m.lru.MoveToFront(element)
		}
	}
}

// cachePrefix caches as many of a prompt's leading blocks as fit in the memory.
func (m *memory) cachePrefix(sums []PromptSum, now time.Time) {
	sums = sums[:min(len(sums), (m.capacity-m.used)/blockTokens)]
	m.touch(sums)
	for i := len(sums) - 1; i >= 0; i-- {
		if m.blocks[sums[i]] != nil {
			continue
		}
		b := block{sum: sums[i], tokens: (i + 1) * blockTokens}
		m.blocks[b.sum] = m.lru.PushFront(b)
		m.events.add("stored", b, now)
	}
	for m.used+m.cachedTokens() > m.capacity {
		m.evict(now)
	}
}

func (m *memory) evict(now time.Time) {
	last := m.lru.Back()
	b := m.lru.Remove(last).(block)
	delete(m.blocks, b.sum)
	m.events.add("evicted", b, now)
}

// addHandle allocates the memory of a handle and reports whether there was enough.
func (m *memory) addHandle(h *handle, now time.Time) bool {
	if !m.reserve(h.tokens, now) {
		return false
	}
	m.handles[h.id] = h
	if h.imported {
		for _, sum := range h.sums {
			m.imported[sum]++
		}
	}
	return true
}

// freeHandle frees a handle's memory; it ignores an unknown handle.
func (m *memory) freeHandle(id string) {
	h := m.handles[id]
	if h == nil {
		return
	}
	delete(m.handles, id)
	m.release(h.tokens)
	if h.expiry != nil {
		h.expiry.Stop()
	}
	if !h.imported {
		return
	}
	for _, sum := range h.sums {
		if m.imported[sum]--; m.imported[sum] == 0 {
			delete(m.imported, sum)
		}
	}
}

// clear discards everything but the last event number.
func (m *memory) clear() {
	for id := range m.handles {
		m.freeHandle(id)
	}
	m.used = 0
	m.blocks = make(map[PromptSum]*list.Element)
	m.lru.Init()
	m.events.events = nil
}

type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`

	at time.Time
}

// eventLog keeps the most recent cache events.
type eventLog struct {
	limit  int
	last   uint64
	events []cacheEvent
}

func (l *eventLog) add(kind string, b block, now time.Time) {
	l.last++
	l.events = append(l.events, cacheEvent{Seq: l.last, Kind: kind, Prefix: b.sum.String(), Tokens: b.tokens, at: now})
	if len(l.events) > l.limit {
		l.events = l.events[len(l.events)-l.limit:]
	}
}

// since returns the events after seq that are not newer than until, and the
// sequence number of the oldest event in the log.
func (l *eventLog) since(seq uint64, until time.Time) (first uint64, events []cacheEvent) {
	first, events = l.last+1, []cacheEvent{}
	if len(l.events) > 0 {
		first = l.events[0].Seq
	}
	for _, event := range l.events {
		if event.Seq > seq && !event.at.After(until) {
			events = append(events, event)
		}
	}
	return first, events
}
