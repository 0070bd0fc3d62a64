package caller

import (
	"net/http"
	"time"
)

// drainRetryAfter is the Retry-After time of requests that are refused while
// the entry drains.
const drainRetryAfter = time.Second

var (
	unauthorized = newFailure(http.StatusUnauthorized, OutcomeNotRun, ReasonUnauthorized, "the key is not known")
	draining     = newFailure(http.StatusServiceUnavailable, OutcomeNotRun, ReasonDraining,
		"the entry is shutting down: ask for another address").withRetryAfter(drainRetryAfter)
)

// endpoint handles a request whose account and headers have been checked.
type endpoint func(q *request)

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	s.handle(mux, http.MethodGet, "/v1/address", s.address)
	s.handle(mux, http.MethodGet, "/v1/models", s.models)
	s.handle(mux, http.MethodPost, "/v1/completions", s.completions("prompt"))
	s.handle(mux, http.MethodPost, "/v1/chat/completions", s.completions("messages"))
	mux.HandleFunc("/v1/services/{service}/{path...}", s.authenticate(s.service))
	mux.HandleFunc("/", s.authenticate(func(q *request) {
		q.fail(newFailure(http.StatusNotFound, OutcomeNotRun, ReasonNotFound, "there is no such path"))
	}))
	return mux
}

func (s *Server) handle(mux *http.ServeMux, method, path string, handler endpoint) {
	mux.HandleFunc(path, s.authenticate(func(q *request) {
		if q.r.Method == method || method == http.MethodGet && q.r.Method == http.MethodHead {
			handler(q)
			return
		}
		q.w.Header().Set("Allow", method)
		q.fail(newFailure(http.StatusMethodNotAllowed, OutcomeNotRun, ReasonMethodNotAllowed, "the path takes %s only", method))
	}))
}

// authenticate passes requests with a known key on, and gives all others the
// same response.
func (s *Server) authenticate(handler endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.tracker.isDraining() {
			w.Header().Set("Connection", "close")
		}
		snapshot := s.snapshots.Snapshot()
		identity := s.keyring.find(snapshot.Documents(), r)
		if identity == nil {
			s.rejectUnauthenticated(w, r)
			return
		}
		q, failure := s.newRequest(w, r, identity, snapshot)
		if failure != nil {
			q.fail(q.undecidedFailure(failure))
			return
		}
		handler(q)
	}
}

// rejectUnauthenticated rejects a request with an unknown key. Another entry
// may already know the key and run a call with this ID, so for the ID of a
// non-idempotent call the outcome is "unknown".
func (s *Server) rejectUnauthenticated(w http.ResponseWriter, r *http.Request) {
	failure := unauthorized
	if _, ok := parseCallID(r.Header.Get(headerRequestID)); ok {
		failure = unauthorized.withOutcome(OutcomeUnknown)
	}
	failure.write(w, "")
	s.log.Info("ended", "remote", r.RemoteAddr, "outcome", string(failure.outcome), "reason", string(failure.reason))
}

// undecidedFailure returns the failure of a request that the owner of its ID
// did not decide on. If the ID may name a non-idempotent call, the outcome
// "not_run" is not certain.
func (q *request) undecidedFailure(f *Failure) *Failure {
	if _, ok := parseCallID(q.r.Header.Get(headerRequestID)); ok {
		return f.withOutcome(OutcomeUnknown)
	}
	return f
}
