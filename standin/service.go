package standin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Service simulates a plain service. It runs every call, repeated ones included,
// and counts the runs.
type Service struct {
	process
	mux       *http.ServeMux
	abandoned []call // whose callers disconnected while the service was frozen
}

// call is one call to a plain service.
type call struct {
	id     string
	method string
	path   string
	sum    PromptSum
}

// NewService returns a running plain service that is cold.
func NewService(id string, opts ...Option) *Service {
	s := &Service{mux: http.NewServeMux()}
	s.init(id, opts)
	s.onRestart = func() { s.abandoned = nil }
	s.mux.HandleFunc("GET /v1/load", s.serveLoad)
	s.mux.HandleFunc("POST /fault", serveFault(s.Inject))
	s.mux.HandleFunc("GET /truth", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP serves any call, GET /v1/load, and POST /fault and GET /truth for tests.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Inject applies a fault to the service.
func (s *Service) Inject(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inject(fault)
	if s.thaw != nil {
		return
	}
	for _, c := range s.abandoned {
		s.recordRun(c)
	}
	s.abandoned = nil
}

// Stats returns the service's counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot()
}

func (s *Service) serveLoad(w http.ResponseWriter, r *http.Request) {
	if s.waitWhileFrozen(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, loadBody{
		ID: s.id, Incarnation: s.incarnation, State: s.stateName(), Models: []string{},
		Running: s.load.requests, Lag: "0s", Held: []heldBody{},
	})
}

// ServiceResponse is the body of a plain service's response, which identifies the call.
type ServiceResponse struct {
	body serviceBody
}

type serviceBody struct {
	Server string `json:"server"`
	ID     string `json:"request_id"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Sum    string `json:"body_sum"`
}

// UnmarshalJSON decodes a response body.
func (a *ServiceResponse) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, &a.body) }

// Matches reports whether the response is to a call with this method, path and body.
func (a ServiceResponse) Matches(method, path, body string) bool {
	return a.body.Method == method && a.body.Path == path && a.body.Sum == Sum(body).String()
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	c, err := readCall(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if s.waitWhileFrozen(r.Context()) != nil {
		s.abandon(c)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Request-Id", c.id)
	ended, err := s.begin(c, r, arrived)
	if err != nil {
		fail(w, err)
		return
	}
	if !s.work(ended) || s.waitWhileFrozen(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	s.reply(w, r, c)
}

func readCall(r *http.Request) (call, error) {
	hash := sha256.New()
	if _, err := io.Copy(hash, r.Body); err != nil {
		return call{}, err
	}
	return call{
		id:     r.Header.Get("X-Request-Id"),
		method: r.Method,
		path:   r.URL.Path,
		sum:    PromptSum(binary.BigEndian.Uint64(hash.Sum(nil))),
	}, nil
}

// abandon records a call whose caller disconnected while the service is frozen; it runs when the service resumes.
func (s *Service) abandon(c call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thaw != nil {
		s.abandoned = append(s.abandoned, c)
	}
}

// recordRun counts a run of a call; s.mu is held.
func (s *Service) recordRun(c call) {
	s.stats.Runs[c.id]++
	s.stats.BodyRuns[c.sum.String()]++
}

// begin starts a call, or refuses it, and returns a channel that is closed when the incarnation ends.
func (s *Service) begin(c call, r *http.Request, arrived time.Time) (<-chan struct{}, error) {
	startBy, err := headerDeadline(r, "X-Not-After", arrived)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkRequest(r); err != nil {
		return nil, err
	}
	if !s.ignoresNotAfter && expired(startBy, time.Now()) {
		return nil, &refusal{status: http.StatusTooManyRequests, reason: "not_after"}
	}
	if err := s.acquire(Load{requests: 1}); err != nil {
		return nil, err
	}
	s.recordRun(c)
	return s.ended, nil
}

// work waits for the duration of a call, even if the caller disconnects, and
// reports whether the incarnation was still running at the end.
func (s *Service) work(ended <-chan struct{}) bool {
	s.mu.Lock()
	duration := time.Duration(float64(s.scaled(s.workTime)) * s.slowdown)
	s.mu.Unlock()
	select {
	case <-time.After(duration):
	case <-ended:
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-ended:
		return false
	default:
	}
	s.load = s.load.sub(Load{requests: 1})
	s.completed++
	s.stats.Answers++
	return true
}

func (s *Service) reply(w http.ResponseWriter, r *http.Request, c call) {
	faults := s.takeFaults()
	if !sleep(r.Context(), faults.delay) {
		return
	}
	if faults.misdelivered {
		c.id, c.sum = "crossed-"+c.id, c.sum+1
		w.Header().Set("X-Request-Id", c.id)
	}
	body, err := json.Marshal(serviceBody{Server: s.id, ID: c.id, Method: c.method, Path: c.path, Sum: c.sum.String()})
	if err != nil {
		panic(err)
	}
	writeAnswer(w, body, faults)
}
