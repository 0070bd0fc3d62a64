//go:build ignore

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ticket is memory that is set aside at a runner.
type ticket struct {
	tokens   int
	from     time.Time
	until    time.Time
	renewals int
}

// runner is a sound runner: it answers each request after its work, and tells that it is full
// when all slots are taken for longer than a moment.
type runner struct {
	id      string
	service string
	record  *record
	slots   chan struct{}
	// work is how long a request takes, and events how many events a stream has.
	work   time.Duration
	events int

	listener net.Listener
	mu       sync.Mutex
	running  int
	ran      int
	ranIDs   map[string]bool
	tickets  map[string]*ticket
	// longest is the longest time for which a ticket was set aside without being used.
	longest time.Duration
}

func startRunner(id, service string, slots int, work time.Duration, events int, r *record) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	out := &runner{id: id, service: service, record: r, slots: make(chan struct{}, slots), work: work, events: events, listener: listener, tickets: make(map[string]*ticket), ranIDs: make(map[string]bool)}
	go http.Serve(listener, out)
	return out, nil
}

func (r *runner) address() string { return r.listener.Addr().String() }

// counts returns how many requests run now and how many ran so far.
func (r *runner) counts() (running, ran int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running, r.ran
}

// ServeHTTP answers as the page "Runners" says.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/healthz":
		w.Header().Set("Runner-Id", r.id)
		return
	case "/v1/order":
		r.order(w, q)
		return
	}
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	if q.Header.Get("Expect-Runner") != r.id {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.record.hangs() {
		r.record.line("%s gets %s with Helpers %q and gives no answer", r.id, id, q.Header.Get("Helpers"))
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	select {
	case r.slots <- struct{}{}:
	case <-time.After(100 * time.Millisecond):
		w.Header().Set("Not-Run", "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.slots }()
	r.mu.Lock()
	r.running++
	r.ran++
	r.ranIDs[id] = true
	seal := fmt.Sprintf("%s.%d", r.id, r.ran)
	for _, helper := range strings.Split(q.Header.Get("Helpers"), ",") {
		if _, name, ok := strings.Cut(helper, "/"); ok {
			r.record.use(name)
		}
	}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
	}()
	r.record.ran(r.id, id)
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return // a runner drops a request when its channel closes
	}
	w.Header().Set("Runner-Seal", seal)
	if r.events == 0 {
		fmt.Fprintf(w, "answer to %s", id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= r.events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// order reserves and releases memory.
func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	var body struct {
		Op     string
		ID     string `json:"Id"`
		Tokens int
		HoldMs int64
	}
	if json.NewDecoder(bufio.NewReader(q.Body)).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, t := range r.tickets {
		if now.After(t.until) {
			r.end(name, t, t.until, "expires")
		}
	}
	switch known := r.tickets[body.ID]; {
	case body.Op == "reserve" && known == nil:
		r.tickets[body.ID] = &ticket{tokens: body.Tokens, from: now, until: now.Add(time.Duration(body.HoldMs) * time.Millisecond)}
		r.record.line("%s sets %d tokens aside under %s for %d ms", r.id, body.Tokens, body.ID, body.HoldMs)
	case body.Op == "reserve":
		known.until = now.Add(time.Duration(body.HoldMs) * time.Millisecond)
		known.renewals++
	case body.Op == "release" && known != nil:
		r.end(body.ID, known, now, "is released")
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprint(w, `{"Free":1000}`)
}

// end ends a ticket; r.mu must be held.
func (r *runner) end(name string, t *ticket, at time.Time, how string) {
	delete(r.tickets, name)
	used := r.record.used(name)
	r.record.line("%s: %s %s after %.2f s and %d renewals, used: %v", r.id, name, how, at.Sub(t.from).Seconds(), t.renewals, used)
	if !used {
		r.longest = max(r.longest, at.Sub(t.from))
	}
}
