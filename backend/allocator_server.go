package backend

import (
	"maps"
	"slices"
	"time"

	"greengagedock.example/registry"
)

const (
	// reportMargin is how much later than an event a report must have been
	// taken for the report to reflect it.
	reportMargin = 250 * time.Millisecond
	// maxReportAge is the age of the last report beyond which a server gets
	// nothing new.
	maxReportAge = 5 * time.Second
	// releaseGrace is the time after an attempt's deadline at which its slot
	// expires.
	releaseGrace = 2 * time.Second
	// cancelInterval is the time between two cancels of the same orphan.
	cancelInterval = time.Second
	// unclaimedTTL is the time after which a stream that no owner claims is
	// cancelled.
	unclaimedTTL = 15 * time.Minute
	// releasedTTL is how long the id of a released attempt is remembered.
	releasedTTL = time.Minute
	// maxRetiredIncarnations bounds the earlier incarnations of a server that
	// are remembered.
	maxRetiredIncarnations = 8
)

// grant is a slot granted on a server and not yet released. A lost grant has
// no owner that will release it; it counts until a report shows that its
// stream has ended.
type grant struct {
	slot       Slot
	workload   Workload
	granted    time.Time
	expected   time.Duration
	tokens     int
	lost       bool
	lostAt     time.Time
	nextCancel time.Time
}

// load returns the load that the grant occupies.
func (g *grant) load() Load { return Load{requests: 1, tokens: g.tokens} }

// markLost marks the grant as one that no owner will release.
func (g *grant) markLost(now time.Time) {
	if !g.lost {
		g.lost, g.lostAt, g.nextCancel = true, now, now
	}
}

// goneBy reports whether the absence of the grant's stream from a report
// taken at that time proves that the stream has ended.
func (g *grant) goneBy(taken time.Time) bool {
	last := g.lostAt
	if g.slot.startBy.After(last) {
		last = g.slot.startBy
	}
	return g.lost && taken.After(last.Add(reportMargin))
}

// unclaimedStream is a stream that a report shows and for which there is no
// grant.
type unclaimedStream struct {
	tokens     int
	since      time.Time
	ended      bool
	nextCancel time.Time
}

// backendState is what an Allocator knows of one server: its last report, its
// grants, the attempts released recently, and the streams that it reports
// without a grant.
type backendState struct {
	server              Server
	lease               KeeperLease
	closed              bool
	leavingSince        time.Time
	incarnation         string
	reported            bool
	retiredIncarnations []string
	models              []string
	capacityTokens      int
	reportTaken         time.Time
	reportReceived      time.Time
	pollFailed          bool
	suspectSince        time.Time
	// refusesUntil is the time until which the incarnation wants no more requests.
	refusesUntil      time.Time
	failures          int
	warmth            warmth
	inherited         inheritedWarmth
	estimator         estimator
	grants            map[string]*grant
	released          map[string]time.Time
	unclaimed         map[string]*unclaimedStream
	unexplainedTokens int
	// unexplainedCalls is how many requests a plain service runs beyond the
	// grants.
	unexplainedCalls int
}

func newBackendState(server Server) *backendState {
	return &backendState{
		server:    server,
		lease:     KeeperLeaseNone,
		grants:    make(map[string]*grant),
		released:  make(map[string]time.Time),
		unclaimed: make(map[string]*unclaimedStream),
	}
}

// serves reports whether the server carries the workload, as far as is known.
func (b *backendState) serves(workload Workload) bool {
	if b.server.service != workload.service {
		return false
	}
	return workload.model == "" || !b.reported || slices.Contains(b.models, workload.model)
}

// acceptsWork reports whether the server is open for new work and not
// leaving.
func (b *backendState) acceptsWork() bool { return !b.closed && b.leavingSince.IsZero() }

// suspendedReason returns why the server gets nothing new at now, empty if it
// may.
func (b *backendState) suspendedReason(now time.Time) string {
	switch {
	case b.closed:
		return "closed"
	case !b.leavingSince.IsZero():
		return "leaving"
	case !b.reported:
		return "unknown incarnation"
	case b.pollFailed:
		return "unreachable"
	case !b.suspectSince.IsZero():
		return "refused or failed, no report since"
	case now.Before(b.refusesUntil):
		return "refuses requests"
	case now.Sub(b.reportReceived) > maxReportAge:
		return "report too old"
	}
	return ""
}

// limit returns the load allowed on the server at its warmth and lease.
func (b *backendState) limit() Load {
	capacity := b.server.capacity
	limit := b.warmth.limit(capacity)
	if b.lease != KeeperLeaseFull && b.warmth.cold() {
		return Load{}
	}
	if b.lease == KeeperLeaseNone {
		half := capacity.warm.part(1, 2)
		limit = Load{requests: min(limit.requests, half.requests), tokens: min(limit.tokens, half.tokens)}
	}
	return b.capped(limit)
}

// maxLimit returns the load allowed on the server when it is warm, under a
// full lease.
func (b *backendState) maxLimit() Load { return b.capped(b.server.capacity.warm) }

func (b *backendState) capped(limit Load) Load {
	if b.capacityTokens > 0 {
		limit.tokens = min(limit.tokens, b.capacityTokens)
	}
	return limit
}

// need returns the load that a request of this cost adds to the server.
func (b *backendState) need(cost Cost) Load {
	if b.server.kind == registry.KindService {
		return Load{requests: 1}
	}
	return Load{requests: 1, tokens: cost.Tokens()}
}

// countedLoad returns the load of all grants and of what reports show beyond
// them.
func (b *backendState) countedLoad() Load {
	sum := Load{requests: b.unexplainedCalls, tokens: b.unexplainedTokens}
	for _, g := range b.grants {
		sum = sum.Add(g.load())
	}
	for _, u := range b.unclaimed {
		sum = sum.Add(Load{requests: 1, tokens: u.tokens})
	}
	return sum
}

// classLoad returns the load of the grants of one class.
func (b *backendState) classLoad(class Class) Load {
	var sum Load
	for _, g := range b.grants {
		if g.slot.cost.Class() == class {
			sum = sum.Add(g.load())
		}
	}
	return sum
}

// add records a grant of the slot.
func (b *backendState) add(now time.Time, workload Workload, slot Slot) *grant {
	g := &grant{slot: slot, workload: workload, granted: now, tokens: b.need(slot.cost).tokens}
	if u, shown := b.unclaimed[slot.id]; shown {
		g.tokens = max(g.tokens, u.tokens)
		delete(b.unclaimed, slot.id)
	}
	b.grants[slot.id] = g
	return g
}

// remove deletes a grant whose memory the server has freed.
func (b *backendState) remove(now time.Time, g *grant) {
	delete(b.grants, g.slot.id)
	b.released[g.slot.id] = now
	b.estimator.capBacklog(b.promptTokens())
}

// promptTokens returns the prompt tokens of the grants by class.
func (b *backendState) promptTokens() [len(classes)]float64 {
	var sums [len(classes)]float64
	for _, g := range b.grants {
		sums[g.slot.cost.Class().index()] += float64(g.slot.cost.prompt)
	}
	return sums
}

// sortedGrants returns the grants ordered by id.
func (b *backendState) sortedGrants() []*grant {
	list := make([]*grant, 0, len(b.grants))
	for _, id := range slices.Sorted(maps.Keys(b.grants)) {
		list = append(list, b.grants[id])
	}
	return list
}

// expireGrants marks the grants as lost whose deadline and grace period have
// passed.
func (b *backendState) expireGrants(now time.Time) {
	for _, g := range b.grants {
		if now.After(g.slot.deadline.Add(releaseGrace)) && now.After(g.slot.startBy.Add(releaseGrace)) {
			g.markLost(now)
		}
	}
	for id, at := range b.released {
		if now.Sub(at) > releasedTTL {
			delete(b.released, id)
		}
	}
}

// dueCancels returns the cancels that are due. A plain service gets none,
// because it would run the cancel as one more request.
func (b *backendState) dueCancels(now time.Time) []Decision {
	if b.server.kind == registry.KindService {
		return nil
	}
	var out []Decision
	for _, g := range b.sortedGrants() {
		if g.lost && !now.Before(g.nextCancel) {
			g.nextCancel = now.Add(cancelInterval)
			out = append(out, b.newOrphan(g.slot.id))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.unclaimed)) {
		u := b.unclaimed[id]
		due := u.ended || now.Sub(u.since) > unclaimedTTL
		if due && !now.Before(u.nextCancel) {
			u.nextCancel = now.Add(cancelInterval)
			out = append(out, b.newOrphan(id))
		}
	}
	return out
}

func (b *backendState) newOrphan(id string) Orphan {
	return Orphan{server: b.server.id, address: b.server.address, stream: id}
}
