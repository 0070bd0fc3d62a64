package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"
)

// exportExpiry is the default lifetime of an export, and the lifetime of an import.
const exportExpiry = time.Minute

type cancelBody struct {
	ID string `json:"id"`
}

type loadBody struct {
	ID          string     `json:"id"`
	Incarnation string     `json:"incarnation"`
	State       string     `json:"state"`
	Models      []string   `json:"models"`
	Capacity    int        `json:"capacity_tokens"`
	Used        int        `json:"used_tokens"`
	Running     int        `json:"running"`
	Waiting     int        `json:"waiting"`
	Lag         string     `json:"lag"`
	Held        []heldBody `json:"held"`
}

type heldBody struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body cancelBody
	if !decodeBody(w, r, &body) {
		return
	}
	e.cancel(body.ID)
	writeJSON(w, struct{}{})
}

// refreshReport takes the load report that GET /v1/load returns until the next one; e.mu is held.
func (e *Engine) refreshReport() {
	if e.reportTimer != nil {
		e.reportTimer.Stop()
		e.reportTimer = nil
	}
	e.report = loadBody{
		ID:          e.id,
		Incarnation: e.incarnation,
		State:       e.stateName(),
		Models:      slices.Clone(e.models),
		Capacity:    e.kvCapacity,
		Used:        e.memory.used,
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		Held:        []heldBody{},
	}
	for _, s := range e.running {
		e.report.Held = append(e.report.Held, heldBody{ID: s.id, Tokens: s.load().tokens})
	}
	for _, h := range e.memory.handles {
		e.report.Held = append(e.report.Held, heldBody{ID: h.id, Tokens: h.tokens})
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.report
	lag := e.scaled(e.reportLag)
	if e.reportTimer != nil {
		lag = max(lag, time.Since(e.changedAt)) // the timer may fire late
	}
	e.mu.Unlock()
	report.Lag = lag.String()
	writeJSON(w, report)
}

type cacheEventsBody struct {
	First  uint64       `json:"first"`
	Events []cacheEvent `json:"events"`
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		writeError(w, http.StatusBadRequest, "after")
		return
	}
	e.mu.Lock()
	first, events := e.memory.events.since(after, time.Now().Add(-e.scaled(cacheLag)))
	e.mu.Unlock()
	writeJSON(w, cacheEventsBody{First: first, Events: events})
}

type exportBody struct {
	ID      string `json:"id"`
	Expires string `json:"expires"`
}

type handleBody struct {
	Handle  string      `json:"handle"`
	Tokens  int         `json:"tokens"`
	Expires string      `json:"expires,omitempty"`
	From    string      `json:"from,omitempty"`
	Sums    []PromptSum `json:"sums,omitempty"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var body exportBody
	if !decodeBody(w, r, &body) {
		return
	}
	expires, err := time.ParseDuration(body.Expires)
	if err != nil {
		expires = exportExpiry
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.IndexFunc(e.running, func(s *stream) bool { return s.id == body.ID })
	if i < 0 {
		writeError(w, http.StatusNotFound, "no_attempt")
		return
	}
	s := e.running[i]
	done := max(s.promptTokens-s.toPrefill, 0)
	e.handleCount++
	h := &handle{
		id:     fmt.Sprintf("%s/kv%d", s.id, e.handleCount),
		tokens: done + s.produced,
		sums:   s.blockSums[:min(done/blockTokens, len(s.blockSums))],
	}
	if e.holdHandle(w, h, expires) {
		writeJSON(w, handleBody{Handle: h.id, Tokens: h.tokens, Expires: expires.String()})
	}
}

// holdHandle adds a handle until it expires, or refuses it; e.mu is held.
func (e *Engine) holdHandle(w http.ResponseWriter, h *handle, expires time.Duration) bool {
	if !e.memory.addHandle(h, time.Now()) {
		fail(w, &refusal{status: http.StatusTooManyRequests, reason: "full"})
		return false
	}
	h.expiry = time.AfterFunc(expires, func() { e.free(h.id) })
	e.armTimers()
	return true
}

func (e *Engine) free(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freeLocked(id)
}

func (e *Engine) serveFree(w http.ResponseWriter, r *http.Request) {
	var body handleBody
	if !decodeBody(w, r, &body) {
		return
	}
	e.free(body.Handle)
	writeJSON(w, struct{}{})
}

// serveContent serves an export to the engine that imports it.
func (e *Engine) serveContent(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.memory.handles[r.FormValue("handle")]
	if h == nil {
		writeError(w, http.StatusNotFound, "no_handle")
		return
	}
	writeJSON(w, handleBody{Handle: h.id, Tokens: h.tokens, Sums: h.sums})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var body handleBody
	if !decodeBody(w, r, &body) {
		return
	}
	content, err := e.fetchContent(r, body)
	if err != nil {
		writeError(w, http.StatusNotFound, "no_handle")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.freeHandle(content.Handle)
	h := &handle{id: content.Handle, tokens: content.Tokens, sums: content.Sums, imported: true}
	if e.holdHandle(w, h, exportExpiry) {
		writeJSON(w, handleBody{Handle: h.id, Tokens: h.tokens, Expires: exportExpiry.String()})
	}
}

func (e *Engine) fetchContent(r *http.Request, body handleBody) (handleBody, error) {
	address := "http://" + body.From + "/v1/kv/content?handle=" + url.QueryEscape(body.Handle)
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, address, nil)
	if err != nil {
		return handleBody{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return handleBody{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return handleBody{}, fmt.Errorf("standin: import: %s", response.Status)
	}
	var content handleBody
	err = json.NewDecoder(response.Body).Decode(&content)
	return content, err
}

type commandBody struct {
	Fence int64  `json:"fence"`
	Order string `json:"order"`
	Model string `json:"model"`
	Role  string `json:"role"`
}

func (e *Engine) serveCommand(w http.ResponseWriter, r *http.Request) {
	var body commandBody
	if !decodeBody(w, r, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencing && body.Fence < e.fence {
		writeError(w, http.StatusPreconditionFailed, "fence")
		return
	}
	e.fence = max(e.fence, body.Fence)
	switch body.Order {
	case "load_model":
		e.loadModel(body.Model)
	case "unload_model":
		e.models = slices.DeleteFunc(e.models, func(name string) bool { return name == body.Model })
	case "set_role":
		e.role = body.Role
	default:
		writeError(w, http.StatusBadRequest, "order")
		return
	}
	e.armTimers()
	writeJSON(w, struct{}{})
}

// loadModel adds a model after its load time, unless the engine restarts before that; e.mu is held.
func (e *Engine) loadModel(name string) {
	incarnation := e.incarnation
	time.AfterFunc(e.scaled(modelLoadTime), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.incarnation == incarnation && !slices.Contains(e.models, name) {
			e.models = append(e.models, name)
			e.armTimers()
		}
	})
}
