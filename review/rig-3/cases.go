package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	huts   = "huts.example"
	hutKey = "hut-key-1"
)

func repair() request {
	return request{method: http.MethodPost, host: huts, target: "/repair/file", apiKey: hutKey, body: "stove mended", limit: 1500 * time.Millisecond}
}

// desk publishes the runners of a service.
func desk(s *store, ip, prefix, service string, n int) []*runner {
	var out []*runner
	for i := range n {
		r := newRunner(ip, fmt.Sprintf("i-%s-%d", prefix, i+1), service, []string{"north-a", "north-b", "north-c"}[i%3], 6, 60*time.Millisecond)
		s.put(key(r), serverEntry(r, "ready"))
		out = append(out, r)
	}
	return out
}

// foreignEntry has another writer put two entries into the list of runners: one with fields
// missing, one with fields of another type. Both name a runner of a service that is in no
// configuration.
func foreignEntry() {
	s := newStore(100)
	store, _ := serve("127.31.0.1", s)
	runners := desk(s, "127.31.0.2", "desk", "keeper-desk", 3)
	missing := newRunner("127.31.0.3", "i-press-1", "hut-press", "north-a", 6, 60*time.Millisecond)
	mistyped := newRunner("127.31.0.3", "i-press-2", "hut-press", "north-b", 6, 60*time.Millisecond)
	s.put("op/config", config(7, []string{"keeper-desk"}, map[string][]string{"huts": {hutKey}},
		route("r-repair", huts, "/repair/", "non_idempotent", "keeper-desk", 1, 800*time.Millisecond)))
	entries := newEntries("front", []string{"127.31.1.1", "127.31.1.2", "127.31.1.3"}, store)
	for _, e := range entries {
		e.start()
	}
	awaitReady(entries)
	time.Sleep(3 * time.Second)
	c := newClients("a", directories(entries))
	c.running.Go(func() {
		time.Sleep(4 * time.Second)
		if !trouble() {
			return
		}
		record("writer", "another one", "key", key(missing), "missing", "Version ColdLeftMs Seq born")
		s.put(key(missing), map[string]any{"Service": "keeper-desk", "Addr": missing.address, "Zone": "north-a", "Slots": 6, "State": "ready"})
		record("writer", "another one", "key", key(mistyped), "null", "Version ColdLeftMs Seq born")
		s.put(key(mistyped), map[string]any{
			"Service": "keeper-desk", "Addr": mistyped.address, "Zone": "north-b", "Slots": 6, "State": "ready",
			"Version": nil, "ColdLeftMs": nil, "Seq": nil, "born": nil,
		})
	})
	c.press(20, 14*time.Second, repair())
	ok, desks := 0, 0
	for _, r := range c.all() {
		if r.status == http.StatusOK {
			ok++
		}
	}
	for _, r := range runners {
		desks += len(r.ran())
	}
	if ok < len(c.all())/2 {
		unable(fmt.Errorf("only %d of %d requests were served", ok, len(c.all())))
	}
	verdict(len(missing.ran())+len(mistyped.ran()) > 0,
		"%d requests, %d answered with success; keeper-desk ran %d; hut-press, to which no configuration leads, ran %d by the entry with fields missing and %d by the one with fields of another type",
		len(c.all()), ok, desks, len(missing.ran()), len(mistyped.ran()))
}

// staleSeed has a seed name a machine that belongs to another installation by now. Both
// installations use the same ports.
func staleSeed() {
	s1, s2 := newStore(100), newStore(5000)
	store1, _ := serve("127.32.0.1", s1)
	store2, _ := serve("127.32.0.2", s2)
	desk(s1, "127.32.0.3", "desk", "keeper-desk", 3)
	strips := desk(s2, "127.32.0.4", "strip", "despacho", 3)
	s1.put("op/config", config(7, []string{"keeper-desk"}, map[string][]string{"huts": {hutKey}},
		route("r-repair", huts, "/repair/", "non_idempotent", "keeper-desk", 1, 800*time.Millisecond)))
	s2.put("op/config", config(40, []string{"despacho"}, map[string][]string{"papers": {"paper-key-1"}},
		route("r-grant", "strips.example", "/grant/", "non_idempotent", "despacho", 1, 800*time.Millisecond)))
	here, there := []string{"127.32.1.1", "127.32.1.2", "127.32.1.3"}, []string{"127.32.2.1", "127.32.2.2", "127.32.2.3"}
	free := freePorts(slices.Concat(here, there))
	entries := newEntriesAt("front-ne", here, free, store1)
	others := newEntriesAt("front-scl", there, free, store2)
	for _, e := range others {
		e.start()
	}
	awaitReady(others)
	stale := fmt.Sprintf("127.32.3.1:%d", free.control) // nobody has that address
	if trouble() {
		stale = others[0].address(others[0].ports.control)
	}
	for _, e := range entries {
		e.settings["Seeds"] = []string{entries[0].address(entries[0].ports.control), entries[1].address(entries[1].ports.control), stale}
		e.start()
	}
	awaitReady(entries)
	time.Sleep(3 * time.Second)
	c1, c2 := newClients("a", directories(entries)), newClients("b", directories(others))
	grant := repair()
	grant.host, grant.target, grant.apiKey = "strips.example", "/grant/file", "paper-key-1"
	c1.running.Go(func() { c2.press(20, 12*time.Second, grant) })
	c1.press(20, 12*time.Second, repair())
	denied, ok, foreign := 0, 0, 0
	for _, r := range append(c1.all(), c2.all()...) {
		switch r.status {
		case http.StatusOK:
			ok++
		case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
			denied++
		}
	}
	for _, r := range strips {
		for _, run := range r.ran() {
			if run.target != "/grant/file" {
				foreign++
			}
		}
	}
	total := len(c1.all()) + len(c2.all())
	verdict(denied > 10 || foreign > 0, "%d requests, %d served, %d denied with 401, 403 or 404; %d run by a service of the other installation", total, ok, denied, foreign)
}

// watchCut has runners leave one after the other without a word, and a store that cuts each watch
// after it has waited for about a second.
func watchCut() {
	const (
		rounds    = 34
		interval  = 2200 * time.Millisecond // and up to a second longer
		drain     = 2 * time.Second
		exitAfter = drain + 100*time.Millisecond
		perSecond = 120
	)
	s := newStore(100)
	if trouble() {
		s.longestWatch = 1050 * time.Millisecond
	}
	store, _ := serve("127.33.0.1", s)
	runners := desk(s, "127.33.0.2", "desk", "keeper-desk", 4)
	s.put("op/config", config(7, []string{"keeper-desk"}, map[string][]string{"huts": {hutKey}},
		route("r-repair", huts, "/repair/", "non_idempotent", "keeper-desk", 1, 800*time.Millisecond)))
	entries := newEntries("front", []string{"127.33.1.1", "127.33.1.2", "127.33.1.3"}, store)
	for _, e := range entries {
		e.start()
	}
	awaitReady(entries)
	time.Sleep(4 * time.Second)
	c := newClients("a", directories(entries))
	leftAt := make(map[*runner]time.Time)
	c.running.Go(func() {
		for i := range rounds {
			next := newRunner("127.33.0.2", fmt.Sprintf("i-next-%d", i+1), "keeper-desk", "north-b", 6, 60*time.Millisecond)
			s.put(key(next), serverEntry(next, "ready"))
			runners = append(runners, next)
			time.Sleep(interval + rand.N(time.Second))
			old := runners[i]
			s.remove(key(old))
			leftAt[old] = time.Now()
			record("runner", old.id, "entry", "removed")
			time.AfterFunc(exitAfter, func() {
				record("runner", old.id, "exits", "now")
				old.stop()
			})
		}
		time.Sleep(exitAfter)
	})
	c.press(perSecond, rounds*(interval+500*time.Millisecond), repair())
	late, longest := 0, time.Duration(0)
	for r, at := range leftAt {
		for _, run := range r.ran() {
			if after := run.at.Sub(at); after > drain {
				late++
				longest = max(longest, after)
				record("late", run.id, "runner", r.id, "after", after)
			}
		}
	}
	ok, lost := 0, 0
	for _, r := range c.all() {
		switch r.status {
		case http.StatusOK:
			ok++
		case http.StatusServiceUnavailable:
		default:
			lost++
			record("lost", r.id, "status", r.status)
		}
	}
	if ok < len(c.all())/2 {
		unable(fmt.Errorf("only %d of %d requests were served", ok, len(c.all())))
	}
	verdict(late > 0, "%d requests, %d served, %d neither served nor refused; %d reached a runner later than %v after its entry was removed, the last one after %v",
		len(c.all()), ok, lost, late, drain, longest)
}

// longEntries has another writer put entries of a service that is in no configuration into the
// list of runners, each as long as a value may be.
func longEntries() {
	const (
		n          = 64
		valueBytes = 1 << 20
		length     = 60 * time.Second
	)
	s := newStore(100)
	store, _ := serve("127.36.0.1", s)
	desk(s, "127.36.0.2", "desk", "keeper-desk", 3)
	s.put("op/config", config(7, []string{"keeper-desk"}, map[string][]string{"huts": {hutKey}},
		route("r-repair", huts, "/repair/", "non_idempotent", "keeper-desk", 1, 800*time.Millisecond)))
	var ips []string
	for i := range 8 {
		ips = append(ips, fmt.Sprintf("127.36.1.%d", i+1))
	}
	entries := newEntries("front", ips, store)
	stop := make(chan struct{})
	var supervised sync.WaitGroup
	for _, e := range entries {
		e.start()
		supervised.Go(func() { e.supervise(stop) })
	}
	awaitReady(entries)
	time.Sleep(4 * time.Second)
	c := newClients("a", directories(entries))
	c.running.Go(func() {
		for i := range n {
			if trouble() {
				s.put(fmt.Sprintf("servers/press-%d", i+1), longEntry(valueBytes))
			}
			time.Sleep(200 * time.Millisecond)
		}
		record("writer", "another one", "entries", n)
		for _, e := range entries {
			time.Sleep(3 * time.Second)
			e.signal(syscall.SIGTERM) // planned work: each machine is stopped and started in turn
		}
	})
	c.press(20, length, repair())
	close(stop)
	supervised.Wait()
	killed, often, lost := 0, 0, 0
	for _, e := range entries {
		killed += len(e.overMemory)
		if len(e.overMemory) >= 3 {
			often++
		}
	}
	for _, r := range c.all() {
		if r.status == 0 {
			lost++
		}
	}
	if !trouble() && lost > len(c.all())/10 {
		unable(fmt.Errorf("%d of %d requests got no answer", lost, len(c.all())))
	}
	verdict(often >= 2, "%d processes killed over their memory, on %d machines three times or more; %d of %d requests got no answer", killed, often, lost, len(c.all()))
}

// longEntry returns an entry of a number of bytes that names a service which is not in the
// configuration.
func longEntry(bytes int) []byte {
	entry := fmt.Sprintf(`{"Service":"hut-press","Addr":"127.36.0.3:9","Zone":"north-a","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,"Seq":1,"born":%d,"Notes":"`,
		time.Now().UnixMilli())
	const end = `"}`
	text := make([]byte, 0, bytes)
	text = append(text, entry...)
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"
	for len(text) < bytes-len(end) {
		text = append(text, letters[rand.IntN(len(letters))])
	}
	return append(text, end...)
}

// longChanges has another writer put long entries into the list of runners, all at once, and takes
// a key away later.
func longChanges() {
	const (
		n          = 12
		valueBytes = 1 << 20
		applyTime  = 2 * time.Second
		taken      = "hut-key-taken"
	)
	s := newStore(100)
	store, _ := serve("127.37.0.1", s)
	runners := desk(s, "127.37.0.2", "desk", "keeper-desk", 3)
	path := route("r-repair", huts, "/repair/", "non_idempotent", "keeper-desk", 1, 800*time.Millisecond)
	s.put("op/config", config(7, []string{"keeper-desk"}, map[string][]string{"huts": {hutKey}, "left": {taken}}, path))
	var ips []string
	for i := range 8 {
		ips = append(ips, fmt.Sprintf("127.37.1.%d", i+1))
	}
	entries := newEntries("front", ips, store)
	stop := make(chan struct{})
	var supervised sync.WaitGroup
	for _, e := range entries {
		e.start()
		supervised.Go(func() { e.supervise(stop) })
	}
	awaitReady(entries)
	time.Sleep(4 * time.Second)
	if trouble() {
		long := make(map[string][]byte)
		for i := range n {
			long[fmt.Sprintf("servers/press-%d", i+1)] = longEntry(valueBytes)
		}
		record("writer", "another one", "entries", n, "rev", s.putAll(long))
	}
	time.Sleep(10 * time.Second)
	record("operator", "takes a key away", "rev", s.put("op/config", config(9, []string{"keeper-desk"}, map[string][]string{"huts": {hutKey}}, path)))
	confirmed := time.Now()
	c := newClients("a", directories(entries))
	left := repair()
	left.apiKey = taken
	c.press(20, 15*time.Second, left)
	close(stop)
	supervised.Wait()
	killed := 0
	for _, e := range entries {
		killed += len(e.overMemory)
	}
	late, last := 0, time.Duration(0)
	for _, r := range runners {
		for _, run := range r.ran() {
			if after := run.at.Sub(confirmed); after > applyTime+100*time.Millisecond {
				late++
				last = max(last, after)
			}
		}
	}
	verdict(late > 0, "%d requests with a key that was taken away; %d ran later than %v after that was confirmed, the last one after %v; %d processes killed over their memory",
		len(c.all()), late, applyTime, last, killed)
}
