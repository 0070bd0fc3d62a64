package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu      sync.Mutex
	rev     int64
	items   map[string]storeItem
	history []storeItem
	changed chan struct{}
}

type storeItem struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Rev       int64
	CreateRev int64 `json:",omitempty"`
	Lease     int64
	Tombstone bool `json:",omitempty"`
}

// startStore serves an empty store on a free loopback port.
func startStore() *store {
	s := &store{rev: 1, items: make(map[string]storeItem), changed: make(chan struct{})}
	listener := listen()
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	go http.Serve(listener, mux)
	return s
}

// put writes a value, encoded as JSON, under a key.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	item := storeItem{Key: key, Value: text, Rev: s.rev, CreateRev: s.rev}
	if known, ok := s.items[key]; ok {
		item.CreateRev = known.CreateRev
	}
	s.items[key] = item
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("Prefix")
	s.mu.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"Items": items, "MorePages": false, "CurrentRev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []storeItem{}
		s.mu.Lock()
		for _, event := range s.history {
			if event.Rev > after && strings.HasPrefix(event.Key, query.Get("Prefix")) {
				events = append(events, event)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "CurrentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, map[string]any{"events": events, "CurrentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the reader has left
}

// listen opens a listener on a free loopback port.
func listen() net.Listener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return listener
}
