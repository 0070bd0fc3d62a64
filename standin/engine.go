package standin

import (
	"net/http"
	"slices"
	"time"
)

const (
	// maxWaiting is the maximum number of requests that wait for an engine's batch.
	maxWaiting = 256
	// cacheLag is the delay until a cache event can be read.
	cacheLag = 500 * time.Millisecond
	// maxCacheEvents is the number of most recent cache events that can be read.
	maxCacheEvents = 1024
	modelLoadTime  = 10 * time.Second
)

// Engine simulates a model engine with continuous batching in steps of fixed
// length. Each answer is a pure function of its prompt, so that callers can check it.
type Engine struct {
	process
	mux *http.ServeMux

	// The fields below are guarded by process.mu.
	models      []string
	role        string
	fence       int64
	memory      *memory
	waiting     []*stream // by priority, then arrival
	running     []*stream // in the same order
	abandoned   []*stream // whose callers disconnected while the engine was frozen
	stepTimer   *time.Timer
	lastStep    time.Time
	report      loadBody
	reportTimer *time.Timer
	// changedAt is when the first change happened that the report does not show, if
	// reportTimer is set.
	changedAt   time.Time
	handleCount int
}

// NewEngine returns a running engine that is cold.
func NewEngine(id string, opts ...Option) *Engine {
	e := &Engine{mux: http.NewServeMux()}
	e.init(id, opts)
	e.onRestart = e.reset
	e.models = slices.Clone(e.options.models)
	e.memory = newMemory(e.kvCapacity, maxCacheEvents)
	e.refreshReport()
	e.handle("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, false) })
	e.handle("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, true) })
	e.handle("POST /v1/cancel", e.serveCancel)
	e.handle("GET /v1/load", e.serveLoad)
	e.handle("GET /v1/cache_events", e.serveCacheEvents)
	e.handle("POST /v1/kv/export", e.serveExport)
	e.handle("GET /v1/kv/content", e.serveContent)
	e.handle("POST /v1/kv/import", e.serveImport)
	e.handle("POST /v1/kv/free", e.serveFree)
	e.handle("POST /v1/kv/reserve", e.serveReserve)
	e.handle("POST /v1/kv/renew", e.serveRenew)
	e.handle("GET /v1/kv/part", e.servePart)
	e.handle("POST /v1/orders", e.serveCommand)
	e.mux.HandleFunc("POST /fault", serveFault(e.Inject))
	e.mux.HandleFunc("GET /truth", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	return e
}

// handle registers a handler that blocks while the engine is frozen; the connection is aborted while it is down.
func (e *Engine) handle(pattern string, handler http.HandlerFunc) {
	e.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if err := e.waitWhileFrozen(r.Context()); err != nil {
			panic(http.ErrAbortHandler)
		}
		handler(w, r)
	})
}

// ServeHTTP serves the engines' protocol, and POST /fault and GET /truth for tests.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Inject applies a fault to the engine.
func (e *Engine) Inject(fault Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inject(fault)
	if e.thaw == nil {
		e.cancelAbandoned()
	}
	e.lastStep = time.Now()
	e.armTimers()
}

// Stats returns the engine's counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.snapshot()
	stats.body.UsedTokens, stats.body.CachedTokens = e.memory.used, e.memory.cachedTokens()
	stats.body.Role = e.role
	return stats
}

// reset discards the state that does not survive a restart; e.mu is held.
func (e *Engine) reset() {
	for _, s := range slices.Concat(e.waiting, e.running) {
		e.stats.Cancelled += s.produced - s.resumeFrom
	}
	e.waiting, e.running, e.abandoned = nil, nil, nil
	e.memory.clear()
	e.models = slices.Clone(e.options.models)
	e.role, e.fence = "", 0
	e.refreshReport()
}

// submit queues a stream, or refuses it before any work is done.
func (e *Engine) submit(s *stream, r *http.Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkRequest(r); err != nil {
		return err
	}
	if !slices.Contains(e.models, s.model) {
		return &refusal{status: http.StatusNotFound, reason: "no_model"}
	}
	if s.load().tokens > e.kvCapacity {
		return &refusal{status: http.StatusBadRequest, reason: "too_large"}
	}
	if len(e.waiting) >= maxWaiting {
		e.stats.Refused++
		return &refusal{status: http.StatusTooManyRequests, reason: "full"}
	}
	if err := e.acquire(s.load()); err != nil {
		return err
	}
	s.ended = e.ended
	e.waiting = insert(e.waiting, s)
	e.armTimers()
	return nil
}

// insert inserts s in order of priority, behind streams of equal priority.
func insert(streams []*stream, s *stream) []*stream {
	i := len(streams)
	for i > 0 && s.before(streams[i-1]) {
		i--
	}
	return slices.Insert(streams, i, s)
}

// cancel ends the streams of an attempt ID and frees the KV memory held under it.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.waiting, e.running) {
		if s.id == id {
			e.end(s, phaseCancelled, time.Now())
		}
	}
	e.freeLocked(id)
}

// disconnect ends a stream whose caller has disconnected; a frozen engine defers that until it resumes.
func (e *Engine) disconnect(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-s.ended:
		return
	default:
	}
	switch {
	case e.ignoresDisconnect:
		s.stuck = true
	case e.thaw != nil:
		e.abandoned = append(e.abandoned, s)
	default:
		e.end(s, phaseCancelled, time.Now())
	}
}

func (e *Engine) cancelAbandoned() {
	for _, s := range e.abandoned {
		e.end(s, phaseCancelled, time.Now())
	}
	e.abandoned = nil
}
