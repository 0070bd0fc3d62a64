package routing

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// noticeRetention is how long a notice is kept that the server has not repeated and
	// whose incarnation is not published.
	noticeRetention = time.Minute
	// maxNotices bounds the notices that are kept; those not repeated for longest go first.
	maxNotices = 4096
	// noticeNewsTime is how long after a notice was learned it is news to other entries.
	noticeNewsTime = time.Second
	// maxNoticeHops is the number of entries between the one that was refused and the last
	// one that tells others: each adds the time of its message to the time of the refusal.
	maxNoticeHops = 1
	// maxNoticesToSend bounds the notices that are sent in one message.
	maxNoticesToSend = 128
)

// Incarnation identifies a backend server from one of its starts to its end. Another
// server may get its address, and a later incarnation its id.
type Incarnation struct {
	id             string
	startUnixMilli int64
}

// NewIncarnation returns the incarnation of the server with an id that started at a time in Unix milliseconds.
func NewIncarnation(id string, startUnixMilli int64) Incarnation {
	return Incarnation{id: id, startUnixMilli: startUnixMilli}
}

// ID returns the id of the server.
func (i Incarnation) ID() string { return i.id }

// StartUnixMilli returns the start time in Unix milliseconds, 0 if unknown.
func (i Incarnation) StartUnixMilli() int64 { return i.startUnixMilli }

// String returns the id and the start time.
func (i Incarnation) String() string { return i.id + "/" + strconv.FormatInt(i.startUnixMilli, 10) }

// Notice is what a server has stated about itself in a response.
type Notice struct {
	server  Incarnation
	leaving bool
	// refusesUntil is when the server wants the next request, zero if it has not stated it.
	refusesUntil time.Time
	// hops is the number of entries that passed on refusesUntil.
	hops  int
	limit RateLimit
	// statedAt is when the server stated it, or was last known to exist.
	statedAt time.Time
}

// NewLeaving returns the notice of a server that takes no new requests until its end.
func NewLeaving(server Incarnation, statedAt time.Time) Notice {
	return Notice{server: server, leaving: true, statedAt: statedAt}
}

// NewRefusing returns the notice of a server that wants no requests until a time.
func NewRefusing(server Incarnation, until, statedAt time.Time) Notice {
	return Notice{server: server, refusesUntil: until, statedAt: statedAt}
}

// NewLimiting returns the notice of a server that states its rate limit.
func NewLimiting(server Incarnation, limit RateLimit) Notice {
	return Notice{server: server, limit: limit, statedAt: limit.statedAt}
}

// WithRateLimit returns the notice with what the server has stated of its rate limit.
func (n Notice) WithRateLimit(limit RateLimit) Notice {
	n.limit = limit
	return n
}

// WithRefusal returns the notice with the time until which the server wants no requests
// and the number of entries that passed it on.
func (n Notice) WithRefusal(until time.Time, hops int) Notice {
	n.refusesUntil, n.hops = until, hops
	return n
}

// WithLeaving returns the notice with whether the server is leaving.
func (n Notice) WithLeaving(leaving bool) Notice {
	n.leaving = leaving
	return n
}

// Server returns the incarnation of the server.
func (n Notice) Server() Incarnation { return n.server }

// Leaving reports whether the server takes no new requests until its end.
func (n Notice) Leaving() bool { return n.leaving }

// RefusesUntil returns when the server wants the next request, zero if it has not stated it.
func (n Notice) RefusesUntil() time.Time { return n.refusesUntil }

// RateLimit returns what the server has stated of its rate limit.
func (n Notice) RateLimit() RateLimit { return n.limit }

// Hops returns the number of entries that passed on the time of RefusesUntil.
func (n Notice) Hops() int { return n.hops }

// StatedAt returns when the server stated it, or was last known to exist.
func (n Notice) StatedAt() time.Time { return n.statedAt }

// keptNotice is a notice with the time at which it was learned.
type keptNotice struct {
	Notice
	learnedAt time.Time
}

// Notices holds the notices of all servers. Its zero value is empty and ready to use;
// it is safe for concurrent use.
type Notices struct {
	mu       sync.RWMutex
	byServer map[Incarnation]*keptNotice
}

// Add adds a notice and reports whether it says more than was known before.
func (ns *Notices) Add(now time.Time, n Notice) bool {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	known := ns.byServer[n.server]
	if known == nil {
		if ns.byServer == nil {
			ns.byServer = make(map[Incarnation]*keptNotice)
		}
		if len(ns.byServer) >= maxNotices {
			ns.dropOldest()
		}
		ns.byServer[n.server] = &keptNotice{Notice: n, learnedAt: now}
		return true
	}
	if n.statedAt.After(known.statedAt) {
		known.statedAt = n.statedAt
	}
	changed := false
	if n.leaving && !known.leaving {
		known.leaving, changed = true, true
	}
	if n.refusesUntil.After(known.refusesUntil) {
		known.refusesUntil, known.hops, changed = n.refusesUntil, n.hops, true
	}
	if n.limit.statedAt.After(known.limit.statedAt) {
		changed = changed || n.limit.perSecond != known.limit.perSecond
		known.limit = n.limit
	}
	if changed {
		known.learnedAt = now
	}
	return changed
}

// dropOldest drops the notice that was not repeated for longest.
func (ns *Notices) dropOldest() {
	var oldest *keptNotice
	for _, known := range ns.byServer {
		if oldest == nil || known.statedAt.Before(oldest.statedAt) {
			oldest = known
		}
	}
	delete(ns.byServer, oldest.server)
}

// Leaving reports whether a server has stated that it is leaving.
func (ns *Notices) Leaving(server Incarnation) bool {
	notice, _ := ns.Of(server)
	return notice.leaving
}

// Of returns the notice of a server, if there is one.
func (ns *Notices) Of(server Incarnation) (Notice, bool) {
	if ns == nil {
		return Notice{}, false
	}
	ns.mu.RLock()
	defer ns.mu.RUnlock()
	known := ns.byServer[server]
	if known == nil {
		return Notice{}, false
	}
	return known.Notice, true
}

// Expire drops the notices that no longer matter: refusals whose time is over, leaving and
// limited servers that are not published and have not repeated it for a while, and ends of
// limits of which other entries have heard.
func (ns *Notices) Expire(now time.Time, view *View) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	for server, known := range ns.byServer {
		if published, ok := view.servers[server.id]; ok && published.Incarnation() == server {
			known.statedAt = now
		}
		if !known.matters(now, noticeRetention) && !now.Before(known.refusesUntil) {
			delete(ns.byServer, server)
		}
	}
}

// News returns the notices that were learned a short time ago, the newest first, as far
// as one message has room.
func (ns *Notices) News(now time.Time) []Notice {
	return ns.latest(now, func(n *keptNotice) bool { return now.Sub(n.learnedAt) <= noticeNewsTime })
}

// Current returns the notices of leaving and limited servers that may still exist, and of
// those whose limit ended, the newest first, as far as one message has room. Refusals are only news: they change all the time under
// overload, and an entry that misses one is told by the server itself.
func (ns *Notices) Current(now time.Time) []Notice {
	return ns.latest(now, func(n *keptNotice) bool { return n.current(now) })
}

// current reports whether others should know of the notice. It ends before noticeRetention
// does, so that entries don't remind each other of what they are about to forget.
func (n *keptNotice) current(now time.Time) bool { return n.matters(now, noticeRetention/2) }

// matters reports whether the server leaves or has a limit and was known to exist within
// retention, or its limit ended within retention.
func (n *keptNotice) matters(now time.Time, retention time.Duration) bool {
	if n.leaving || n.limit.Limited() {
		return now.Sub(n.statedAt) <= retention
	}
	return n.limit.stated() && now.Sub(n.limit.statedAt) <= retention
}

// toSend returns what other entries are told, and false if that is nothing.
func (n *keptNotice) toSend(now time.Time) (Notice, bool) {
	out := n.Notice
	if !now.Before(out.refusesUntil) || out.hops > maxNoticeHops {
		out.refusesUntil = time.Time{}
	}
	return out, out.leaving || !out.refusesUntil.IsZero() || out.limit.stated()
}

func (ns *Notices) latest(now time.Time, include func(*keptNotice) bool) []Notice {
	ns.mu.RLock()
	defer ns.mu.RUnlock()
	if len(ns.byServer) == 0 {
		return nil
	}
	var kept []*keptNotice
	for _, known := range ns.byServer {
		if include(known) {
			kept = append(kept, known)
		}
	}
	slices.SortFunc(kept, func(a, b *keptNotice) int {
		return cmp.Or(b.learnedAt.Compare(a.learnedAt), cmp.Compare(a.server.id, b.server.id))
	})
	var out []Notice
	for _, known := range kept {
		if n, ok := known.toSend(now); ok && len(out) < maxNoticesToSend {
			out = append(out, n)
		}
	}
	return out
}

// Digest returns a hash of the current notices, 0 if there are none.
func (ns *Notices) Digest(now time.Time) uint64 {
	ns.mu.RLock()
	defer ns.mu.RUnlock()
	var out uint64
	for server, known := range ns.byServer {
		if !known.current(now) {
			continue
		}
		key := binary.BigEndian.AppendUint64([]byte(server.id), uint64(server.startUnixMilli))
		if known.leaving {
			out ^= xxhash.Sum64(key)
		}
		if known.limit.stated() {
			out ^= xxhash.Sum64(binary.BigEndian.AppendUint64(key, math.Float64bits(known.limit.perSecond)))
		}
	}
	return out
}

// Count returns the numbers of servers that are leaving and of those that want no
// requests now.
func (ns *Notices) Count(now time.Time) (leaving, refusing int) {
	ns.mu.RLock()
	defer ns.mu.RUnlock()
	for _, known := range ns.byServer {
		if known.leaving {
			leaving++
		}
		if now.Before(known.refusesUntil) {
			refusing++
		}
	}
	return leaving, refusing
}

// CountLimited returns the number of servers that state a rate limit.
func (ns *Notices) CountLimited() int {
	ns.mu.RLock()
	defer ns.mu.RUnlock()
	limited := 0
	for _, known := range ns.byServer {
		if known.limit.Limited() {
			limited++
		}
	}
	return limited
}
