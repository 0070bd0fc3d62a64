package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Bounds of cold runners, as on the sheets.
const (
	coldPerS  = 26
	coldOver  = 1.5
	coldSlack = 5
	coldFor   = 3 * time.Second
)

// playCold has all of eight entries lose power at the same moment. Five are back after a second;
// the three that the settings name as seeds are dark for longer, so that the five don't find each
// other. Meanwhile the runners become cold again.
func playCold(dir string, trouble bool) {
	const (
		count      = 8
		seeds      = 3
		perSecond  = 140
		downFor    = time.Second
		seedsDark  = 3500 * time.Millisecond
		killAfter  = 2 * time.Second
		coldAfter  = killAfter + 1500*time.Millisecond
		trafficFor = coldAfter + coldFor
	)
	s := startStore()
	publishConfig(s, 16, 1.31, 34)
	var runners []*runner
	for i := range 2 {
		r := startRunner(fmt.Sprintf("i-%d", i+1), 16, stream{events: 4, first: 60 * time.Millisecond, gap: 45 * time.Millisecond})
		r.publish(s, r.address)
		runners = append(runners, r)
	}
	entries := newEntries(dir, s.address, count)
	for _, e := range entries {
		cleanups = append(cleanups, e.stop)
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	time.Sleep(5 * time.Second)

	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	var all sync.WaitGroup
	if trouble {
		all.Go(func() {
			at(killAfter)
			for _, e := range entries {
				e.stop()
			}
			at(killAfter + downFor)
			for _, e := range entries[seeds:] {
				e.start()
			}
			at(killAfter + seedsDark)
			for _, e := range entries[:seeds] {
				e.start()
			}
		})
	}
	var coldAt time.Time
	all.Go(func() {
		at(coldAfter)
		coldAt = time.Now()
		for _, r := range runners {
			r.publishCold(s, r.address, coldFor)
		}
		record("the runners are cold for %v", coldFor)
	})
	brief := map[string]string{"Model": "m", "Token-Count": "1000,136", "Length-Hint": "136", "Prompt-Prefix": "5c1e07a2:40,91bd3f06:960"}
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	outcomes := make(map[string]int)
	for i := 0; time.Since(begin) < trafficFor; i++ {
		at(time.Duration(i) * time.Second / perSecond)
		all.Go(func() {
			id := fmt.Sprintf("brief-%d", i)
			order := rand.Perm(count)
			for _, k := range order { // an address that fails is followed by the next one
				r := request(entries[k].front, "POST", "/history/2f", id, 10*time.Second, brief, "prompt of "+id)
				if r.status == 0 && runners[0].seen(id).count+runners[1].seen(id).count == 0 && r.endedAt.Sub(r.sentAt) < 50*time.Millisecond {
					continue
				}
				mu.Lock()
				sent[id] = r.sentAt
				outcomes[fmt.Sprint(r.status)]++
				mu.Unlock()
				return
			}
		})
	}
	all.Wait()
	record("answers by status: %v", outcomes)

	// Only requests that were sent by their clients and arrived inside the second count.
	most, bound := 0, int(coldPerS*coldOver+coldSlack)
	for _, r := range runners {
		var arrivals []arrival
		for _, a := range r.arrivals() {
			if a.at.After(coldAt.Add(200*time.Millisecond)) && a.at.Before(coldAt.Add(coldFor)) {
				arrivals = append(arrivals, a)
			}
		}
		slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
		worst := 0
		var from time.Time
		for _, first := range arrivals {
			start, n := sent[first.id], 0
			for _, a := range arrivals {
				if !sent[a.id].Before(start) && a.at.Before(start.Add(time.Second)) {
					n++
				}
			}
			if n > worst {
				worst, from = n, start
			}
		}
		record("check: %s got %d requests while it was cold, at most %d in one second (from %.3f s on); the bound is %d", r.id, len(arrivals), worst, from.Sub(started).Seconds(), bound)
		most = max(most, worst)
	}
	finish(max(0, most-bound), "requests in one second beyond ColdPerS x ColdOver + ColdSlack at a cold runner (FAILBACK)")
}
