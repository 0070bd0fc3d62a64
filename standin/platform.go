package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Platform simulates one replica of the platform's configuration service.
type Platform struct {
	mux   *http.ServeMux
	store *store

	mu     sync.Mutex
	faults platformFaults
}

// platformFaults is a replica's current faults; change is closed when they change.
type platformFaults struct {
	change chan struct{}
	down   bool
	frozen bool
	stale  *int64
	delay  time.Duration
}

// platformResponseTime times the factor of Slow is the delay of a response.
const platformResponseTime = 5 * time.Millisecond

// NewPlatform returns the first replica of an empty platform.
func NewPlatform() *Platform {
	return newReplica(&store{nextChange: make(chan struct{})})
}

func newReplica(s *store) *Platform {
	p := &Platform{mux: http.NewServeMux(), store: s}
	p.faults.change = make(chan struct{})
	p.mux.HandleFunc("GET /v1/values", p.serveRead)
	p.mux.HandleFunc("POST /values", p.serveWrite)
	p.mux.HandleFunc("POST /fault", serveFault(p.Inject))
	p.mux.HandleFunc("GET /truth", p.serveStats)
	return p
}

// Replica returns another replica of the same values, with independent faults.
func (p *Platform) Replica() *Platform { return newReplica(p.store) }

// Set publishes a value and returns its revision.
func (p *Platform) Set(key, value string) int64 {
	return p.store.append(change{key: key, value: value})
}

// Delete deletes a value and returns the revision of the deletion.
func (p *Platform) Delete(key string) int64 {
	return p.store.append(change{key: key, deleted: true})
}

// SetReadRate limits the total reads per second of all replicas, 0 for no limit.
func (p *Platform) SetReadRate(perSecond int) {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.readRate = perSecond
}

// Reads returns the total number of reads of all replicas; a long poll counts once.
func (p *Platform) Reads() int64 {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	return p.store.reads
}

// PeakReads returns the maximum number of reads of all replicas within one second.
func (p *Platform) PeakReads() int {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	return p.store.peakReads
}

// Inject applies a fault to the replica: Cleared, Down, Killed, Frozen, Slow, Delayed or Stale.
func (p *Platform) Inject(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.faults.change)
	p.faults.change = make(chan struct{})
	switch f := fault.(type) {
	case cleared:
		p.faults = platformFaults{change: p.faults.change}
	case down, killed:
		p.faults.down = true
	case frozen:
		p.faults.frozen = true
	case slow:
		p.faults.delay = time.Duration(f.factor * float64(platformResponseTime))
	case delayed:
		p.faults.delay = f.delay
	case stale:
		revision := f.revision
		if revision == 0 {
			revision = p.store.revision()
		}
		p.faults.stale = &revision
	}
}

func (p *Platform) currentFaults() platformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// ServeHTTP serves the platform's protocol, and POST /values, POST /fault and GET /truth for tests.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

type valuesBody struct {
	Revision int64       `json:"revision"`
	Values   []valueBody `json:"values"`
}

type valueBody struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Value    string `json:"value"`
}

type writeBody struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Delete bool   `json:"delete"`
}

type readQuery struct {
	after    int64
	wait     time.Duration
	prefixes []string
}

func parseReadQuery(r *http.Request) (readQuery, error) {
	query := r.URL.Query()
	q := readQuery{prefixes: query["prefix"]}
	var err error
	if text := query.Get("after"); text != "" {
		if q.after, err = strconv.ParseInt(text, 10, 64); err != nil {
			return q, err
		}
	}
	if text := query.Get("wait"); text != "" {
		q.wait, err = time.ParseDuration(text)
	}
	return q, err
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	q, err := parseReadQuery(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if p.currentFaults().down {
		panic(http.ErrAbortHandler)
	}
	if !p.store.countRead(time.Now()) {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "read_rate")
		return
	}
	if !sleep(r.Context(), p.currentFaults().delay) {
		return
	}
	writeJSON(w, p.awaitValues(r.Context(), q))
}

// awaitValues returns the values that match the query, once there are any or its wait has elapsed.
func (p *Platform) awaitValues(ctx context.Context, q readQuery) valuesBody {
	timeout := time.NewTimer(q.wait)
	defer timeout.Stop()
	timedOut := false
	for {
		status, changed := p.currentFaults(), p.store.changed()
		if status.down {
			panic(http.ErrAbortHandler)
		}
		body := p.store.at(status.stale, q)
		if !status.frozen && (timedOut || len(body.Values) > 0) {
			return body
		}
		select {
		case <-changed:
		case <-status.change:
		case <-timeout.C:
			timedOut = true
		case <-ctx.Done():
			return body
		}
	}
}

func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request) {
	var body writeBody
	if !decodeBody(w, r, &body) {
		return
	}
	if body.Delete {
		writeJSON(w, valuesBody{Revision: p.Delete(body.Key)})
		return
	}
	writeJSON(w, valuesBody{Revision: p.Set(body.Key, body.Value)})
}

type platformStatsBody struct {
	Revision  int64 `json:"revision"`
	Reads     int64 `json:"reads"`
	PeakReads int   `json:"peak_reads"`
}

func (p *Platform) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, platformStatsBody{Revision: p.store.revision(), Reads: p.Reads(), PeakReads: p.PeakReads()})
}
