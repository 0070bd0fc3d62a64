package standin

import (
	"net/http"
	"slices"
	"time"
)

const (
	// maxWaiting is how many requests may wait for an engine's batch.
	maxWaiting = 256
	// cacheLag is how late cache events come.
	cacheLag = 500 * time.Millisecond
	// keptCacheEvents is how many cache events are kept.
	keptCacheEvents = 1024
	// modelLoadTime is how long loading a model takes.
	modelLoadTime = 10 * time.Second
)

// Engine stands in for a model engine: it batches continuously, in steps of
// fixed length, and derives each answer from its prompt.
type Engine struct {
	process
	mux *http.ServeMux

	// Below here everything is guarded by the process's mutex.
	models    []string
	role      string
	fence     int64
	memory    *memory
	waiting   []*stream // by priority, then arrival
	running   []*stream // likewise
	abandoned []*stream // whose caller went while the engine was frozen
	armed     *time.Timer
	lastStep  time.Time
	report    loadBody
	sampling  *time.Timer
	handles   int
}

// NewEngine returns an engine that is up and cold.
func NewEngine(id string, opts ...Option) *Engine {
	e := &Engine{mux: http.NewServeMux()}
	e.start(id, opts)
	e.onRestart = e.reset
	e.models = slices.Clone(e.options.models)
	e.memory = newMemory(e.capacity, keptCacheEvents)
	e.sample()
	e.handle("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	e.handle("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
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
	e.handle("POST /v1/orders", e.serveOrder)
	e.mux.HandleFunc("POST /fault", serveFault(e.Inject))
	e.mux.HandleFunc("GET /truth", func(w http.ResponseWriter, _ *http.Request) { answer(w, e.Stats()) })
	return e
}

// handle registers a call that waits while the engine is frozen and is cut while it is down.
func (e *Engine) handle(pattern string, handler http.HandlerFunc) {
	e.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if err := e.gate(r.Context()); err != nil {
			panic(http.ErrAbortHandler)
		}
		handler(w, r)
	})
}

// ServeHTTP answers the engines' protocol, and POST /fault and GET /truth for tests.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Inject makes the engine go wrong.
func (e *Engine) Inject(fault Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inject(fault)
	if e.thaw == nil {
		e.dropAbandoned()
	}
	e.lastStep = time.Now()
	e.changed()
}

// Stats returns what really happened at the engine.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	truth := e.snapshot()
	truth.body.UsedTokens, truth.body.CachedTokens = e.memory.used, e.memory.cached()
	truth.body.Role = e.role
	return truth
}

// reset forgets everything that a restart loses; e.mu is held.
func (e *Engine) reset() {
	for _, s := range slices.Concat(e.waiting, e.running) {
		e.truth.Cancelled += s.produced - s.resumeFrom
	}
	e.waiting, e.running, e.abandoned = nil, nil, nil
	e.memory.clear()
	e.models = slices.Clone(e.options.models)
	e.role, e.fence = "", 0
	e.sample()
}

// submit takes a stream in or refuses it before any work.
func (e *Engine) submit(s *stream, r *http.Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(r); err != nil {
		return err
	}
	if !slices.Contains(e.models, s.model) {
		return &refusal{status: http.StatusNotFound, reason: "no_model"}
	}
	if s.load().tokens > e.capacity {
		return &refusal{status: http.StatusBadRequest, reason: "too_large"}
	}
	if len(e.waiting) >= maxWaiting {
		e.truth.Refused++
		return &refusal{status: http.StatusTooManyRequests, reason: "full"}
	}
	if err := e.take(s.load()); err != nil {
		return err
	}
	s.cut = e.cut
	e.waiting = insert(e.waiting, s)
	e.changed()
	return nil
}

// insert puts a stream behind those that go before it.
func insert(streams []*stream, s *stream) []*stream {
	i := len(streams)
	for i > 0 && s.before(streams[i-1]) {
		i--
	}
	return slices.Insert(streams, i, s)
}

// cancel ends the streams of an attempt id and frees what is held under it.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.waiting, e.running) {
		if s.id == id {
			e.end(s, phaseCancelled, time.Now())
		}
	}
	e.drop(id)
}

// leave ends a stream whose caller has gone; a frozen engine learns of it when it thaws.
func (e *Engine) leave(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-s.cut:
		return
	default:
	}
	switch {
	case e.ignoresHangup:
		s.stuck = true
	case e.thaw != nil:
		e.abandoned = append(e.abandoned, s)
	default:
		e.end(s, phaseCancelled, time.Now())
	}
}

func (e *Engine) dropAbandoned() {
	for _, s := range e.abandoned {
		e.end(s, phaseCancelled, time.Now())
	}
	e.abandoned = nil
}
