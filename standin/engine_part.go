package standin

import (
	"crypto/sha256"
	"encoding"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// partCheckInterval is how often the earlier parts of a running request are checked.
const partCheckInterval = time.Second

var errNoPart = errors.New("standin: an earlier part of the prompt is missing")

// promptPart is the part of a prompt that a request carries, with references to
// the parts before it.
type promptPart struct {
	number        int // from 1
	count         int
	earlier       []partAddress
	earlierTokens int
	hashState     []byte // hash state after the earlier parts
}

// partAddress is the handle of an earlier part and the IP address and port of its engine.
type partAddress struct {
	handle  string
	address string
}

func (p *promptPart) last() bool { return p.number == p.count }

// readPart parses the headers X-Part and X-Parts; it returns nil for an undivided prompt.
func readPart(r *http.Request) (*promptPart, error) {
	text := r.Header.Get("X-Part")
	if text == "" {
		return nil, nil
	}
	p := &promptPart{}
	if _, err := fmt.Sscanf(text, "%d/%d", &p.number, &p.count); err != nil || p.number < 1 || p.number > p.count {
		return nil, &refusal{status: http.StatusBadRequest, reason: "X-Part"}
	}
	for _, each := range strings.Split(r.Header.Get("X-Parts"), ",") {
		handle, address, found := strings.Cut(strings.TrimSpace(each), ";")
		if found {
			p.earlier = append(p.earlier, partAddress{handle: handle, address: address})
		}
	}
	if len(p.earlier) != p.number-1 {
		return nil, &refusal{status: http.StatusBadRequest, reason: "X-Parts"}
	}
	return p, nil
}

// attachPart turns the stream into one part of a prompt. Its memory must have been
// reserved under the stream's ID, and the earlier parts must be held by their engines.
func (e *Engine) attachPart(r *http.Request, s *stream, p *promptPart, text string) error {
	for _, earlier := range p.earlier {
		content, err := fetchPart(r, earlier)
		if err != nil {
			return &refusal{status: http.StatusFailedDependency, reason: "no_part"}
		}
		p.earlierTokens += content.Tokens
		p.hashState = content.State
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.memory.handles[s.id]
	if h == nil || !h.reserved {
		return &refusal{status: http.StatusConflict, reason: "no_reservation"}
	}
	state, sum, err := continueSum(p.hashState, text)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "X-Parts"}
	}
	s.part, s.sum = p, sum
	if p.number > 1 {
		s.blockSums = nil
	}
	if !p.last() {
		s.answerTokens = 0
	}
	if s.promptTokens+s.answerTokens > h.tokens {
		return &refusal{status: http.StatusBadRequest, reason: "more than reserved"}
	}
	h.hashState, h.partTokens = state, s.promptTokens
	return nil
}

// continueSum extends a hash with a text and returns its new state and sum.
func continueSum(state []byte, text string) ([]byte, PromptSum, error) {
	hash := sha256.New()
	if len(state) > 0 {
		if err := hash.(encoding.BinaryUnmarshaler).UnmarshalBinary(state); err != nil {
			return nil, 0, err
		}
	}
	hash.Write([]byte(text))
	state, err := hash.(encoding.BinaryMarshaler).MarshalBinary()
	return state, PromptSum(binary.BigEndian.Uint64(hash.Sum(nil))), err
}

// partContent describes a fully prefilled part of a prompt to another engine.
type partContent struct {
	Tokens int    `json:"tokens"`
	State  []byte `json:"state"`
}

// servePart serves a part of a prompt to the engine of a later part.
func (e *Engine) servePart(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.memory.handles[r.FormValue("handle")]
	if h == nil || !h.prefilled {
		writeError(w, http.StatusNotFound, "no_handle")
		return
	}
	writeJSON(w, partContent{Tokens: h.partTokens, State: h.hashState})
}

func fetchPart(r *http.Request, part partAddress) (partContent, error) {
	address := "http://" + part.address + "/v1/kv/part?handle=" + url.QueryEscape(part.handle)
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, address, nil)
	if err != nil {
		return partContent{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return partContent{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return partContent{}, errNoPart
	}
	var content partContent
	err = json.NewDecoder(response.Body).Decode(&content)
	return content, err
}

// watchParts ends the stream when one of its earlier parts is gone.
func (e *Engine) watchParts(r *http.Request, s *stream) {
	for sleep(r.Context(), e.scaled(partCheckInterval)) {
		for _, earlier := range s.part.earlier {
			if _, err := fetchPart(r, earlier); err != nil && r.Context().Err() == nil {
				e.mu.Lock()
				e.end(s, phaseCancelled, time.Now())
				e.mu.Unlock()
				return
			}
		}
	}
}

// answerPart responds for a part other than the last, once it is prefilled.
func (e *Engine) answerPart(w http.ResponseWriter, r *http.Request, s *stream) {
	current := progress{phase: phaseWaiting}
	for current.phase == phaseWaiting || current.phase == phaseRunning {
		var err error
		if current, err = e.awaitProgress(r.Context(), s); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	switch current.phase {
	case phaseRefused:
		fail(w, current.refusal)
	case phaseCancelled:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, handleBody{Handle: s.id, Tokens: s.promptTokens})
	}
}

type reserveBody struct {
	Tokens  int    `json:"tokens"`
	Expires string `json:"expires"`
}

// serveReserve reserves memory under the attempt's ID until the attempt is cancelled,
// the reservation expires without renewal, or the deadline passes.
func (e *Engine) serveReserve(w http.ResponseWriter, r *http.Request) {
	var body reserveBody
	if !decodeBody(w, r, &body) {
		return
	}
	id, arrived := r.Header.Get("X-Request-Id"), time.Now()
	expires, err := time.ParseDuration(body.Expires)
	if err != nil || body.Tokens <= 0 || id == "" {
		writeError(w, http.StatusBadRequest, "reserve")
		return
	}
	startBy, err := headerDeadline(r, "X-Not-After", arrived)
	if err != nil || !e.ignoresNotAfter && expired(startBy, arrived) {
		fail(w, &refusal{status: http.StatusTooManyRequests, reason: "not_after"})
		return
	}
	deadline, err := headerDeadline(r, "X-Time-Left", arrived)
	if err != nil {
		fail(w, err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	if err := e.reserve(r, id, body.Tokens, expires, deadline); err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, handleBody{Handle: id, Tokens: body.Tokens, Expires: expires.String()})
}

// reserve reserves memory under an attempt's ID; e.mu is held.
func (e *Engine) reserve(r *http.Request, id string, tokens int, expires time.Duration, deadline time.Time) error {
	if err := e.checkRequest(r); err != nil {
		return err
	}
	if e.memory.handles[id] != nil {
		return &refusal{status: http.StatusConflict, reason: "reserved"}
	}
	if tokens > e.kvCapacity {
		return &refusal{status: http.StatusBadRequest, reason: "too_large"}
	}
	load := Load{requests: 1, tokens: tokens}
	if err := e.acquire(load); err != nil {
		return err
	}
	h := &handle{id: id, tokens: tokens, reserved: true, load: load, deadline: deadline}
	if !e.memory.addHandle(h, time.Now()) {
		e.load = e.load.sub(load)
		e.stats.Refused++
		return &refusal{status: http.StatusTooManyRequests, reason: "full"}
	}
	h.expiry = time.AfterFunc(h.ttl(expires), func() { e.expireHandle(h) })
	e.armTimers()
	return nil
}

// ttl returns how long the handle is held without renewal.
func (h *handle) ttl(expires time.Duration) time.Duration {
	if h.deadline.IsZero() {
		return expires
	}
	return min(expires, time.Until(h.deadline))
}

// expireHandle frees a handle unless its ID has been reused.
func (e *Engine) expireHandle(h *handle) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.memory.handles[h.id] == h {
		e.freeLocked(h.id)
	}
}

// freeLocked frees a handle and ends the streams that use its memory; e.mu is held.
func (e *Engine) freeLocked(id string) {
	h := e.memory.handles[id]
	if h == nil {
		return
	}
	for _, s := range append(e.waiting[:len(e.waiting):len(e.waiting)], e.running...) {
		if s.part != nil && s.id == id {
			e.end(s, phaseCancelled, time.Now())
		}
	}
	e.load = e.load.sub(h.load)
	e.memory.freeHandle(id)
	e.armTimers()
}

// serveRenew extends the lifetime of a handle.
func (e *Engine) serveRenew(w http.ResponseWriter, r *http.Request) {
	var body handleBody
	if !decodeBody(w, r, &body) {
		return
	}
	expires, err := time.ParseDuration(body.Expires)
	if err != nil {
		writeError(w, http.StatusBadRequest, "expires")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.memory.handles[body.Handle]
	if h == nil || h.expiry == nil {
		writeError(w, http.StatusNotFound, "no_handle")
		return
	}
	h.expiry.Reset(h.ttl(expires))
	writeJSON(w, handleBody{Handle: h.id, Tokens: h.tokens, Expires: expires.String()})
}

// markPrefilled makes a fully prefilled part available to the parts after it; e.mu is held.
func (e *Engine) markPrefilled(s *stream) {
	if h := e.memory.handles[s.id]; h != nil {
		h.prefilled = true
	}
}
