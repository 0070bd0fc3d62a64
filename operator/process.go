package operator

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

// ErrServer is the error that every failure of a Server wraps.
var ErrServer = eris.New("operator: server")

// Bounds of the admin address.
const (
	headerTimeout  = 5 * time.Second
	answerTimeout  = 30 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

// Server answers operators on the admin address of an entry instance.
type Server struct {
	source    Source
	drainer   Drainer
	decisions *DecisionLog
	log       hclog.Logger
	http      *http.Server
}

// addressKey is the context key of the admin address that a request came in on.
type addressKey struct{}

// NewServer returns a server that answers from the source and the decisions,
// and drains by the drainer.
func NewServer(source Source, drainer Drainer, decisions *DecisionLog, log hclog.Logger) *Server {
	s := &Server{source: source, drainer: drainer, decisions: decisions, log: log}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       answerTimeout,
		WriteTimeout:      answerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       withAddress,
		ErrorLog:          log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return s
}

// Handler returns the handler of all calls; draining is refused where Serve
// did not accept the connection.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/config", s.config)
	mux.HandleFunc("GET /v1/servers", s.servers)
	mux.HandleFunc("GET /v1/explain", s.explain)
	mux.HandleFunc("POST /v1/drain", s.drain)
	return http.NewCrossOriginProtection().Handler(mux)
}

// Serve answers operators on the admin address's listener until Shutdown, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(ErrServer, err.Error())
	}
	return nil
}

// Shutdown stops answering once the open calls have ended, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		s.http.Close()
		return eris.Wrap(ErrServer, err.Error())
	}
	return nil
}

func withAddress(listener net.Listener) context.Context {
	return context.WithValue(context.Background(), addressKey{}, listener.Addr())
}

// onAdminAddress reports whether Serve accepted the request's connection on
// the address that its listener is bound to.
func onAdminAddress(r *http.Request) bool {
	bound, _ := r.Context().Value(addressKey{}).(net.Addr)
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	return bound != nil && local != nil && bound.String() == local.String()
}
