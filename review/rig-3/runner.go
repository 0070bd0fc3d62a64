package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// runner is a stand-in of a runner of a plain service.
type runner struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	// work is how long a request runs.
	work time.Duration
	// body returns the body of an answer, nil for a short text.
	body func(w http.ResponseWriter, r *http.Request, id string)
	stop func()

	mu   sync.Mutex
	runs []run
	free chan struct{}
}

// run is one request that a runner has begun to work on.
type run struct {
	id     string
	target string
	tenant string
	at     time.Time
}

func newRunner(ip, id, service, zone string, slots int, work time.Duration) *runner {
	r := &runner{id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), work: work, free: make(chan struct{}, slots)}
	r.address, r.stop = serve(ip, r)
	return r
}

// ServeHTTP runs a request that expects this runner.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Runner-Id", r.id)
	if q.Method == http.MethodGet && q.URL.Path == "/healthz" {
		return
	}
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	switch expected := q.Header.Get("Expect-Runner"); {
	case expected != "" && expected != r.id:
		record("runner", r.id, "misdirected", id, "expected", expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	select {
	case r.free <- struct{}{}:
		defer func() { <-r.free }()
	default:
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	r.runs = append(r.runs, run{id: id, target: q.URL.Path, tenant: q.Header.Get("Tenant"), at: time.Now()})
	r.mu.Unlock()
	record("runner", r.id, "service", r.service, "runs", id, "target", q.URL.Path, "tenant", q.Header.Get("Tenant"))
	time.Sleep(r.work/2 + rand.N(r.work))
	w.Header().Set("Runner-Seal", "seal."+r.id+"."+id)
	if r.body != nil {
		r.body(w, q, id)
		return
	}
	fmt.Fprintf(w, "%s ran %s", r.id, id)
}

// ran returns the requests that the runner has begun to work on.
func (r *runner) ran() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}
