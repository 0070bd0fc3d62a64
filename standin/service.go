package standin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Service stands in for a plain service: it runs each call it gets, again
// if it comes again, and counts the runs.
type Service struct {
	process
	mux     *http.ServeMux
	pending []call // given up by their callers while the service was frozen
}

// call is one call of a plain service.
type call struct {
	id     string
	method string
	path   string
	sum    PromptSum
}

// NewService returns a plain service that is up and cold.
func NewService(id string, opts ...Option) *Service {
	s := &Service{mux: http.NewServeMux()}
	s.start(id, opts)
	s.onRestart = func() { s.pending = nil }
	s.mux.HandleFunc("GET /v1/load", s.serveLoad)
	s.mux.HandleFunc("POST /fault", serveFault(s.Inject))
	s.mux.HandleFunc("GET /truth", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Stats()) })
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP answers any call, GET /v1/load, and POST /fault and GET /truth for tests.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Inject makes the service go wrong.
func (s *Service) Inject(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inject(fault)
	if s.thaw != nil {
		return
	}
	for _, c := range s.pending {
		s.run(c)
	}
	s.pending = nil
}

// Stats returns what really happened at the service.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot()
}

func (s *Service) serveLoad(w http.ResponseWriter, r *http.Request) {
	if s.gate(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer(w, loadBody{
		ID: s.id, Incarnation: s.incarnation, State: s.stateName(), Models: []string{},
		Running: s.load.requests, Lag: "0s", Held: []heldBody{},
	})
}

// ServiceResponse is the body of a plain service's answer, by which a caller knows it as its own.
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

// UnmarshalJSON reads an answer.
func (a *ServiceResponse) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, &a.body) }

// Matches reports whether the answer is that to a call with the body.
func (a ServiceResponse) Matches(method, path, body string) bool {
	return a.body.Method == method && a.body.Path == path && a.body.Sum == Sum(body).String()
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	c, err := readCall(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if s.gate(r.Context()) != nil {
		s.giveUp(c)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Request-Id", c.id)
	cut, err := s.begin(c, r, arrived)
	if err != nil {
		fail(w, err)
		return
	}
	if !s.work(cut) || s.gate(r.Context()) != nil {
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

// giveUp keeps the call of a caller that has gone: a frozen service that thaws runs it all the same.
func (s *Service) giveUp(c call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thaw != nil {
		s.pending = append(s.pending, c)
	}
}

// run counts a call as run; s.mu is held.
func (s *Service) run(c call) {
	s.truth.Runs[c.id]++
	s.truth.BodyRuns[c.sum.String()]++
}

// begin runs a call, or refuses it, and returns the channel that closes when the incarnation ends.
func (s *Service) begin(c call, r *http.Request, arrived time.Time) (<-chan struct{}, error) {
	startBy, err := headerDuration(r, "X-Not-After", arrived)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(r); err != nil {
		return nil, err
	}
	if !s.ignoresAfter && passed(startBy, time.Now()) {
		return nil, &refusal{status: http.StatusTooManyRequests, reason: "not_after"}
	}
	if err := s.take(Load{requests: 1}); err != nil {
		return nil, err
	}
	s.run(c)
	return s.cut, nil
}

// work takes the call's time, whether or not its caller still waits, and
// reports whether the incarnation lived so long.
func (s *Service) work(cut <-chan struct{}) bool {
	s.mu.Lock()
	length := time.Duration(float64(s.scaled(s.workTime)) * s.slow)
	s.mu.Unlock()
	select {
	case <-time.After(length):
	case <-cut:
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-cut:
		return false
	default:
	}
	s.load = s.load.minus(Load{requests: 1})
	s.answered++
	s.truth.Answers++
	return true
}

func (s *Service) reply(w http.ResponseWriter, r *http.Request, c call) {
	faults := s.takeFaults()
	if !pause(r.Context(), faults.late) {
		return
	}
	if faults.crossed {
		c.id, c.sum = "crossed-"+c.id, c.sum+1
		w.Header().Set("X-Request-Id", c.id)
	}
	body, err := json.Marshal(serviceBody{Server: s.id, ID: c.id, Method: c.method, Path: c.path, Sum: c.sum.String()})
	if err != nil {
		panic(err)
	}
	writeWhole(w, body, faults)
}
