package caller

import (
	"net/http"
	"time"
)

// drainComeBack is when a caller that was refused while draining may come back.
const drainComeBack = time.Second

var (
	unauthorized = newFailure(http.StatusUnauthorized, OutcomeNotRun, ReasonUnauthorized, "the key is not known")
	draining     = newFailure(http.StatusServiceUnavailable, OutcomeNotRun, ReasonDraining,
		"the entry is shutting down: ask for another address").in(drainComeBack)
)

// endpoint answers a request whose account and headers are known.
type endpoint func(q *request)

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	s.handle(mux, http.MethodGet, "/v1/address", s.address)
	s.handle(mux, http.MethodGet, "/v1/models", s.models)
	s.handle(mux, http.MethodPost, "/v1/completions", s.completions("prompt"))
	s.handle(mux, http.MethodPost, "/v1/chat/completions", s.completions("messages"))
	mux.HandleFunc("/v1/services/{service}/{path...}", s.admit(s.service))
	mux.HandleFunc("/", s.admit(func(q *request) {
		q.fail(newFailure(http.StatusNotFound, OutcomeNotRun, ReasonNotFound, "there is no such path"))
	}))
	return mux
}

func (s *Server) handle(mux *http.ServeMux, method, path string, answer endpoint) {
	mux.HandleFunc(path, s.admit(func(q *request) {
		if q.r.Method == method || method == http.MethodGet && q.r.Method == http.MethodHead {
			answer(q)
			return
		}
		q.w.Header().Set("Allow", method)
		q.fail(newFailure(http.StatusMethodNotAllowed, OutcomeNotRun, ReasonMethodNotAllowed, "the path takes %s only", method))
	}))
}

// admit lets known accounts pass and tells all others the same.
func (s *Server) admit(answer endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.open.isDraining() {
			w.Header().Set("Connection", "close")
		}
		view := s.directories.Snapshot()
		who := s.keyring.find(view.Documents(), r)
		if who == nil {
			s.refuseUnknown(w, r)
			return
		}
		q, failure := s.newRequest(w, r, who, view)
		if failure != nil {
			q.fail(q.truthful(failure))
			return
		}
		answer(q)
	}
}

// refuseUnknown refuses an unknown account. Another entry may know its key
// already and run a call of the same id, so a call with such an id gets "unknown".
func (s *Server) refuseUnknown(w http.ResponseWriter, r *http.Request) {
	failure := unauthorized
	if _, ok := parseCallID(r.Header.Get(headerRequestID)); ok {
		failure = unauthorized.with(OutcomeUnknown)
	}
	failure.write(w, "")
	s.log.Info("ended", "remote", r.RemoteAddr, "outcome", string(failure.outcome), "reason", string(failure.reason))
}

// truthful returns the failure of a request that its home did not decide on:
// where the id may name a non-repeatable call, "not run" is not certain.
func (q *request) truthful(f *Failure) *Failure {
	if _, ok := parseCallID(q.r.Header.Get(headerRequestID)); ok {
		return f.with(OutcomeUnknown)
	}
	return f
}
