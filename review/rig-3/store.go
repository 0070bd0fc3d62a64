package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items on a page.
const pageItems = 500

// pageBytes is the size of the values on a page, unless there is only one.
const pageBytes = 1 << 20

// item is an item of the store, or an event of a watch.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Rev       int64
	CreateRev int64 `json:",omitempty"`
	Lease     int64
	Tombstone bool `json:",omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	changed chan struct{}
	// longestWatch is how long a watch waits until it is cut, 0 if none is.
	longestWatch time.Duration
}

func newStore(rev int64) *store {
	return &store{rev: rev, items: make(map[string]item), changed: make(chan struct{})}
}

// put writes a value as JSON, or the bytes themselves, and returns the revision.
func (s *store) put(key string, value any) int64 {
	text, ok := value.([]byte)
	if !ok {
		var err error
		if text, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: text, Rev: s.rev, CreateRev: s.rev}
	if known, ok := s.items[key]; ok {
		it.CreateRev = known.CreateRev
	}
	s.items[key] = it
	s.record(it)
	return s.rev
}

// putAll writes values, so that a watch gets all of them in one answer.
func (s *store) putAll(values map[string][]byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, value := range values {
		s.rev++
		it := item{Key: key, Value: value, Rev: s.rev, CreateRev: s.rev}
		s.items[key] = it
		s.history = append(s.history, it)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.record(item{Key: key, Rev: s.rev, Tombstone: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers reads as the platform's page describes them.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	w.Header().Set("Store-Era", "0")
	switch r.URL.Path {
	case "/v1/kv-range":
		s.list(w, query.Get("Prefix"), query.Get("After"))
	case "/v1/kv-watch":
		after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		s.watch(w, r, query.Get("Prefix"), after, time.Duration(min(wait, 30_000))*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	n, bytes := 0, 0
	for n < len(items) && n < pageItems && (n == 0 || bytes+len(items[n].Value) <= pageBytes) {
		bytes += len(items[n].Value)
		n++
	}
	answer(w, map[string]any{"Items": items[:n], "MorePages": n < len(items), "CurrentRev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.After(wait)
	var cut <-chan time.Time
	if s.longestWatch > 0 {
		cut = time.After(s.longestWatch)
	}
	for last := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		gone, rev, changed := after > s.rev, s.rev, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || last {
			answer(w, map[string]any{"events": events, "CurrentRev": rev})
			return
		}
		if !last {
			// The head goes out while the watch waits.
			w.Header().Set("Content-Type", "application/json")
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// serve serves a handler on a free port of an address and returns the address and what ends it.
func serve(ip string, handler http.Handler) (address string, stop func()) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		unable(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }
}

// serverEntry is what a runner writes of itself.
func serverEntry(r *runner, state string) map[string]any {
	return map[string]any{
		"Service": r.service, "Addr": r.address, "Zone": r.zone, "Version": "v1", "Slots": r.slots, "State": state,
		"ColdLeftMs": 0, "Seq": 1, "born": r.born,
	}
}

// route returns a route of a configuration.
func route(name, host, prefix, kind, service string, attempts int, timeout time.Duration) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "Service": service, "Attempts": attempts,
		"TimeoutMs": timeout.Milliseconds(), "GoalMs": 300, "Priority": 2, "Public": false, "Sticky": false, "CanResume": false,
	}
}

// config returns a configuration of plain services.
func config(version int, services []string, tenants map[string][]string, routes ...map[string]any) map[string]any {
	var list, accounts []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": 110, "Proto": "h1", "Tls": false, "ColdS": 0.0, "ColdPerS": 0.0})
	}
	for name, keys := range tenants {
		accounts = append(accounts, map[string]any{"Name": name, "ApiKeys": keys, "Priority": 1})
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": list, "Tenants": accounts,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

func key(r *runner) string { return fmt.Sprint("servers/", r.id) }
