package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
)

// The terms of a server's rate limit: requests count from limitSettle after its first
// statement, in any limitWindow, through entries that were told toldBefore earlier.
const (
	limitSettle = 3 * time.Second
	limitWindow = 4 * time.Second
	toldBefore  = 500 * time.Millisecond
)

// limitWorld plays entries whose messages are lost and that are killed, in virtual time.
// Their servers answer after a while, and some of them limit their requests.
type limitWorld struct {
	random  *rand.Rand
	now     time.Time
	entries []*control
	starts  int
	// startedAt is when each entry was last started.
	startedAt []time.Time
	events    []worldEvent
	servers   map[string]*limitedServer
	requests  int
	// used is the number of requests that limited servers got.
	used int
}

// worldEvent is something that happens at a time.
type worldEvent struct {
	at time.Time
	do func()
}

// limitedServer is a server that may state a rate limit.
type limitedServer struct {
	perSecond float64 // 0 for no limit
	statedAt  time.Time
	toldAt    map[*control]time.Time
	arrivals  []arrival
}

type arrival struct {
	at    time.Time
	entry *control
}

func newLimitWorld(seed uint64, entries int) *limitWorld {
	w := &limitWorld{random: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1000, 0), servers: make(map[string]*limitedServer)}
	for i := range 12 {
		w.servers[fmt.Sprint("s", i)] = &limitedServer{toldAt: make(map[*control]time.Time)}
	}
	for range entries {
		w.entries = append(w.entries, nil)
		w.startedAt = append(w.startedAt, time.Time{})
	}
	for i := range entries {
		w.start(i)
	}
	return w
}

// start starts an entry anew, which knows nothing.
func (w *limitWorld) start(i int) {
	w.starts++
	entry := newNoticeEntry(i+1, w.now)
	entry.started = w.now
	entry.members.self.Incarnation = uint64(w.starts)
	entry.members.self.CPUCores = 1
	entry.owner = dispatch.NewOwner(entry.settings.ID(), uint64(w.starts))
	entry.setState(memberReady)
	w.entries[i], w.startedAt[i] = entry, w.now
}

func (w *limitWorld) lost() bool { return w.random.IntN(20) == 0 }

func (w *limitWorld) after(d time.Duration, do func()) {
	w.events = append(w.events, worldEvent{w.now.Add(d), do})
}

// step advances the time and does what is due.
func (w *limitWorld) step(d time.Duration) {
	w.now = w.now.Add(d)
	for {
		i := slices.IndexFunc(w.events, func(e worldEvent) bool { return !e.at.After(w.now) })
		if i < 0 {
			return
		}
		due := w.events[i]
		w.events = slices.Delete(w.events, i, i+1)
		due.do()
	}
}

// schedulerOf returns the entry that an entry asks for placements, nil if that is dead.
func (w *limitWorld) schedulerOf(entry *control) *control {
	known := entry.members.scheduler(w.now, "llm")
	if known == nil {
		return entry
	}
	for _, other := range w.entries {
		if other.members.self.ID == known.ID && other.members.self.Incarnation == known.Incarnation {
			return other
		}
	}
	return nil
}

// request has a caller send a request to an entry.
func (w *limitWorld) request(entry *control) {
	scheduler := w.schedulerOf(entry)
	if scheduler == nil || scheduler != entry && w.lost() {
		if known := entry.members.scheduler(w.now, "llm"); known != nil {
			known.suspectUntil = w.now.Add(suspectDuration)
		}
		return
	}
	w.requests++
	id := fmt.Sprint("r", w.requests)
	request := dispatch.NewRequest(id, "llm").WithTokens(1000, 100).
		WithTimes(w.now, w.now.Add(300*time.Millisecond), w.now.Add(10*time.Second)).WithFirstTokenDeadline(w.now.Add(2 * time.Second))
	granted, ok := scheduler.scheduler.Submit(w.now, entry.owner, request).(dispatch.Granted)
	if !ok {
		scheduler.scheduler.Withdraw(id)
		return
	}
	server := w.servers[granted.Grant().Server()]
	server.arrivals = append(server.arrivals, arrival{w.now, entry})
	if server.perSecond > 0 {
		w.used++
	}
	sentAt := w.now
	w.after(time.Duration(30+w.random.IntN(120))*time.Millisecond, func() {
		scheduler.scheduler.Ended(w.now, id, dispatch.OutcomeComplete)
		w.answer(entry, server, routing.NewIncarnation(granted.Grant().Server(), 0), sentAt)
	})
}

// answer has an entry get a server's answer, and report what it states.
func (w *limitWorld) answer(entry *control, server *limitedServer, incarnation routing.Incarnation, sentAt time.Time) {
	known := entry.View().RateLimit(incarnation)
	limit := routing.NoRateLimit(sentAt)
	if server.perSecond > 0 {
		limit = routing.NewRateLimit(server.perSecond, w.now)
		if server.statedAt.IsZero() {
			server.statedAt = w.now
		}
		if _, told := server.toldAt[entry]; !told {
			server.toldAt[entry] = w.now
		}
		if limit.PerSecond() == known.PerSecond() && w.now.Sub(known.StatedAt()) < 250*time.Millisecond {
			return
		}
	} else if !known.Limited() || !sentAt.After(known.StatedAt()) {
		return
	}
	entry.addNotice(w.now, routing.NewLimiting(incarnation, limit))
	if scheduler := w.schedulerOf(entry); scheduler != nil && scheduler != entry && !w.lost() {
		message := []noticeMessage{encodeNotice(w.now, routing.NewLimiting(incarnation, limit))}
		w.after(eventFlushInterval, func() { scheduler.mergeNotices(w.now, entry.settings.ID(), message) })
	}
}

// heartbeats has all entries exchange heartbeats.
func (w *limitWorld) heartbeats() {
	for _, from := range w.entries {
		from.members.self.Heartbeats++
		for _, to := range w.entries {
			if from != to && !w.lost() {
				exchange(w.now, from, to)
			}
		}
		from.tick(w.now)
	}
}

// busiest returns the servers that got most requests.
func (w *limitWorld) busiest(n int) []*limitedServer {
	ids := slices.Sorted(maps.Keys(w.servers))
	slices.SortStableFunc(ids, func(a, b string) int { return len(w.servers[b].arrivals) - len(w.servers[a].arrivals) })
	var out []*limitedServer
	for _, id := range ids[:n] {
		out = append(out, w.servers[id])
	}
	return out
}

// exceeded returns a message if a server got more than its limit allows.
func (w *limitWorld) exceeded() string {
	for id, server := range w.servers {
		if server.perSecond == 0 || server.statedAt.IsZero() {
			continue
		}
		var counted []time.Time
		for _, a := range server.arrivals {
			i := slices.Index(w.entries, a.entry)
			told, ok := server.toldAt[a.entry]
			calm := i >= 0 && a.at.Sub(w.startedAt[i]) > limitSettle
			if calm && ok && !a.at.Before(told.Add(toldBefore)) && !a.at.Before(server.statedAt.Add(limitSettle)) && w.now.Sub(a.at) <= limitWindow {
				counted = append(counted, a.at)
			}
		}
		if allowed := 1.5*server.perSecond*limitWindow.Seconds() + 5; float64(len(counted)) > allowed {
			return fmt.Sprintf("%s with %v a second: %d requests in %v, allowed %v", id, server.perSecond, len(counted), limitWindow, allowed)
		}
	}
	return ""
}

// Guards against LIMIT in a fleet whose messages are lost and whose entries, the scheduler
// first, are killed one after the other: what entries that know of a limit send together
// stays within it, and limits that end are used up to what the server takes.
func TestRateLimitsInLossyFleet(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, size := range []int{3, 8, 20} {
		for seed := range uint64(6) {
			w := newLimitWorld(seed, size)
			comment := func() qt.Comment { return qt.Commentf("%d entries, seed %d, at %v", size, seed, w.now) }
			for i := range 900 {
				w.step(20 * time.Millisecond)
				if i%20 == 0 {
					w.heartbeats()
				}
				for range 3 {
					w.request(w.entries[w.random.IntN(size)])
				}
				switch {
				case i == 150 || i == 400:
					for _, server := range w.busiest(3) {
						if server.perSecond == 0 {
							*server = limitedServer{perSecond: 0.5 + 4*w.random.Float64(), toldAt: make(map[*control]time.Time)}
						}
					}
				case i >= 450 && i%110 == 0:
					victim := w.random.IntN(size)
					if scheduler := w.schedulerOf(w.entries[0]); scheduler != nil && w.random.IntN(2) == 0 {
						victim = slices.Index(w.entries, scheduler)
					}
					w.start(victim)
				}
				c.Assert(w.exceeded(), qt.Equals, "", comment())
			}
			c.Assert(w.used > 20, qt.IsTrue, comment())

			for _, server := range w.servers {
				server.perSecond = 0
			}
			for i := range 600 {
				w.step(20 * time.Millisecond)
				if i%20 == 0 {
					w.heartbeats()
				}
				for range 3 {
					w.request(w.entries[w.random.IntN(size)])
				}
			}
			scheduler := w.schedulerOf(w.entries[0])
			for id := range w.servers {
				limited := scheduler.View().RateLimit(routing.NewIncarnation(id, 0)).Limited()
				got := slices.ContainsFunc(w.servers[id].arrivals, func(a arrival) bool { return w.now.Sub(a.at) < 5*time.Second })
				c.Assert(limited && got, qt.IsFalse, comment()) // an answer since would have ended it
			}
		}
	}
}
