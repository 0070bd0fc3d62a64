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

	"greengagedock.example/http1"
)

// ErrServer is wrapped by every error of a Server.
var ErrServer = eris.New("operator: admin server failed")

// Limits of the admin server.
const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
	// maxConnections and maxHeaderMemory bound all operators together.
	maxConnections  = 256
	maxHeaderMemory = 4 << 20
)

// Server is the admin server of an entry instance.
type Server struct {
	source    Source
	drainer   Drainer
	decisions *DecisionLog
	log       hclog.Logger
	http      *http.Server
	clients   *http1.Clients
}

// boundAddressKey is the context key of the address of the listener that accepted a request.
type boundAddressKey struct{}

// NewServer returns a server that reports the state of source and the logged
// decisions, and drains the entry through drainer.
func NewServer(source Source, drainer Drainer, decisions *DecisionLog, log hclog.Logger) *Server {
	s := &Server{source: source, drainer: drainer, decisions: decisions, log: log}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       withBoundAddress,
		ErrorLog:          log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	s.clients = http1.NewClients(http1.NewLimits(maxConnections, maxHeaderMemory), log)
	s.clients.Attach(s.http)
	return s
}

// Handler returns the handler of all endpoints. It refuses to drain on a
// connection that Serve did not accept.
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

// Serve serves operators on the listener until Shutdown, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(s.clients.Listen(listener, http1.NoHeadLimit)); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(ErrServer, err.Error())
	}
	return nil
}

// Shutdown stops the server gracefully; when ctx is done it closes the open connections and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		s.http.Close()
		return eris.Wrap(ErrServer, err.Error())
	}
	return nil
}

func withBoundAddress(listener net.Listener) context.Context {
	return context.WithValue(context.Background(), boundAddressKey{}, listener.Addr())
}

// onAdminAddress reports whether Serve accepted the request's connection on
// the address that its listener is bound to.
func onAdminAddress(r *http.Request) bool {
	bound, _ := r.Context().Value(boundAddressKey{}).(net.Addr)
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	return bound != nil && local != nil && bound.String() == local.String()
}
