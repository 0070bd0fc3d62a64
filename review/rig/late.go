package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// playLate stops an entry to which clients have just opened channels, and on which they send
// their first requests more than 3 s after the SIGTERM. The answers take 6 s.
func playLate(dir string, trouble bool) {
	const (
		clients = 4
		events  = 20
		gap     = 310 * time.Millisecond // 34 tokens
	)
	s := startStore()
	publishConfig(s, 16, 9.1, 34)
	var runners []*runner
	for i := range 2 {
		r := startRunner(fmt.Sprintf("i-%d", i+1), 16, stream{events: events, first: 100 * time.Millisecond, gap: gap})
		r.publish(s, r.address)
		runners = append(runners, r)
	}
	entries := newEntries(dir, s.address, 3)
	for _, e := range entries {
		cleanups = append(cleanups, e.stop)
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	time.Sleep(6 * time.Second)

	termAt := time.Now()
	if trouble {
		entries[0].signal(syscall.SIGTERM)
	}
	history := map[string]string{"Model": "m", "Token-Count": "20000,680", "Length-Hint": "680", "Prompt-Prefix": "5c1e07a2:40,91bd3f06:19960"}
	var mu sync.Mutex
	var results []result
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			id := fmt.Sprintf("late-%d", i+1)
			time.Sleep(time.Until(termAt.Add(2400 * time.Millisecond)))
			conn, err := net.DialTimeout("tcp4", entries[0].front, time.Second)
			if err != nil {
				record("client: %s: no channel: %v", id, err)
				return
			}
			record("client: channel to %s open for %s", entries[0].name, id)
			time.Sleep(time.Until(termAt.Add(3150 * time.Millisecond)))
			record("client: %s sent to %s", id, entries[0].name)
			r := requestOn(conn, "POST", "/history/2f", id, 15*time.Second, history, "prompt of "+id)
			record("client: %v", r)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
	}
	all.Wait()

	lost := 0
	for _, r := range results {
		ran := runners[0].seen(r.id).count + runners[1].seen(r.id).count
		after := r.sentAt.Sub(termAt)
		record("check: %s: first byte sent %.3f s after the SIGTERM, runs %d, status %d, whole %v", r.id, after.Seconds(), ran, r.status, r.whole)
		if ran > 0 && !r.whole && after > 3*time.Second && r.endedAt.Sub(termAt) < (graceS+1)*time.Second {
			lost++
		}
	}
	finish(lost, "requests sent later than 3 s after the SIGTERM, passed on to a runner and cut before their answer was complete (LOST)")
}
