package ingress

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"greengagedock.example/timer"
	"greengagedock.example/upstream"
)

// ErrServer is the error that every failure of a Server wraps.
var ErrServer = eris.New("ingress: server")

// Limits bound what one entry does.
type Limits struct {
	retries    RetryBudget
	bodyMemory int64
	stall      time.Duration
	free       time.Duration
}

// NewLimits returns limits: the bound on repeats, the bytes that all bodies may
// take, how long a server waits for another that helps it before it says so, and
// how soon memory that no request uses must be free.
func NewLimits(retries RetryBudget, bodyMemory int64, stall, free time.Duration) Limits {
	return Limits{retries: retries, bodyMemory: bodyMemory, stall: stall, free: free}
}

// Server answers callers at one entry.
type Server struct {
	views     Views
	scheduler Scheduler
	memory    KVReserver
	client    *upstream.Client
	headers   HeaderDecoder
	recorder  Recorder
	log       hclog.Logger
	timers    *timer.Service
	budget    budget
	bodies    bodies
	stall     time.Duration
	free      time.Duration
	http      *http.Server
	open      atomic.Int64
	serial    atomic.Uint64
}

// NewServer returns a server that routes by views, asks slots for places, reserves memory and sends through the client.
func NewServer(views Views, slots Scheduler, memory KVReserver, client *upstream.Client, headers HeaderDecoder, limits Limits, recorder Recorder, log hclog.Logger, timers *timer.Service) *Server {
	s := &Server{views: views, scheduler: slots, memory: memory, client: client, headers: headers, recorder: recorder, log: log, timers: timers}
	s.budget.bound = limits.retries
	s.bodies.free.Store(limits.bodyMemory)
	s.stall = limits.stall
	s.free = limits.free
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.connState,
		ConnContext:       withConnection,
		ErrorLog:          log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return s
}

// OpenRequests returns the number of open requests.
func (s *Server) OpenRequests() int { return int(s.open.Load()) }

// Serve answers callers on the listener until Shutdown, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(connections{listener, s}); err != http.ErrServerClosed {
		return eris.Wrap(ErrServer, err.Error())
	}
	return nil
}

// DisableKeepAlives asks callers to close their connections with the next answer.
func (s *Server) DisableKeepAlives() {
	s.http.SetKeepAlivesEnabled(false)
}

// Shutdown closes the listeners and waits until no request is open or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		s.http.Close()
		return eris.Wrapf(ErrServer, "%d requests open at the end: %v", s.open.Load(), err)
	}
	return nil
}

// ServeHTTP answers one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	defer s.open.Add(-1)
	if !reading(r) {
		panic(http.ErrAbortHandler) // closed as the last byte of its header came
	}
	q := &request{server: s, w: w, r: r, began: s.timers.Now()}
	q.serve()
}

// hostName returns a Host header's name without its port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
