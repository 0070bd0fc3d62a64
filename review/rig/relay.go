package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playRelay kills an entry through which another one, which has lost its path to the runners,
// receives streams without a length.
func playRelay(dir string, trouble bool) {
	const events = 30
	s := startStore()
	publishConfig(s, 16, 1.31, 34)
	var runners []*runner
	var paths []*path
	for i := range 3 {
		r := startRunner(fmt.Sprintf("i-%d", i+1), 16, stream{events: events, first: 100 * time.Millisecond, gap: 150 * time.Millisecond, unframed: true})
		p := startPath(r.address)
		r.publish(s, p.address)
		runners, paths = append(runners, r), append(paths, p)
	}
	entries := newEntries(dir, s.address, 3)
	for _, e := range entries {
		cleanups = append(cleanups, e.stop)
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	time.Sleep(5 * time.Second)

	brief := map[string]string{"Model": "m", "Token-Count": "4960,1020", "Length-Hint": "1020", "Prompt-Prefix": "5c1e07a2:40,91bd3f06:4920"}
	var mu sync.Mutex
	results := make(map[string]result)
	var all sync.WaitGroup
	send := func(id string) {
		all.Go(func() {
			record("client: %s sent to %s", id, entries[0].name)
			r := request(entries[0].front, "POST", "/history/2f", id, 15*time.Second, brief, "prompt of "+id)
			record("client: %v", r)
			mu.Lock()
			defer mu.Unlock()
			results[id] = r
		})
	}
	// relayOf returns the entry whose connection brought a request to a runner.
	relayOf := func(id string) *entry {
		for i, r := range runners {
			if from := r.cameFrom(id); from != "" {
				for _, e := range entries {
					if e.pid() == paths[i].ownerOf(from) {
						return e
					}
				}
			}
		}
		return nil
	}
	if trouble {
		record("%s loses its path to all runners", entries[0].name)
		for _, p := range paths {
			p.setCut(entries[0].pid())
		}
	}
	for i := range 8 { // the entry finds out that its paths are lost
		send(fmt.Sprintf("first-%d", i+1))
		time.Sleep(500 * time.Millisecond)
	}
	all.Wait()
	for i := range 6 {
		send(fmt.Sprintf("stream-%d", i+1))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	count := make(map[*entry]int)
	var relay *entry
	for i := range 6 {
		e := relayOf(fmt.Sprintf("stream-%d", i+1))
		if e == nil {
			continue
		}
		record("stream-%d reaches its runner from %s", i+1, e.name)
		if count[e]++; e != entries[0] && count[e] > count[relay] {
			relay = e
		}
	}
	if trouble {
		if relay == nil {
			fail("no stream leads through another entry")
		}
		relay.signal(syscall.SIGKILL)
	}
	all.Wait()

	whole := ""
	for n := 1; n <= events; n++ {
		whole += event(n)
	}
	mixed := 0
	for id, r := range results {
		if r.status/100 == 2 && r.whole && r.body != whole {
			mixed++
			record("check: %s is a whole 200 with seal %q and %d of %d events", id, r.header.Get("Runner-Seal"), strings.Count(r.body, "id: "), events)
		}
	}
	finish(mixed, "answers of 200 that look complete and are not the runner's whole body (MIXED, ORDER)")
}
