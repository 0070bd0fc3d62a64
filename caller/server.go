package caller

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"greengagedock.example/backend"
	"greengagedock.example/timer"
)

// ErrServer is the error that every failure of a Server wraps.
var ErrServer = eris.New("caller: server")

// Server answers callers at one entry.
type Server struct {
	directories SnapshotSource
	slots       Slots
	client      *backend.Client
	limits      Limits
	log         hclog.Logger
	timers      *timer.Service

	handler        http.Handler
	http           *http.Server
	forwards       http.RoundTripper
	keyring        keyring
	usages         usages
	accountBudgets budgets[accountKey]
	serverBudgets  budgets[string]
	memory         memory
	requests       atomic.Uint64
	open           gauge
	homeMu         sync.Mutex
	home           DedupTable
}

// NewServer returns a server that decides by the newest directory, asks slots
// for leave to send and sends through the client.
func NewServer(directories SnapshotSource, slots Slots, client *backend.Client, limits Limits, log hclog.Logger, timers *timer.Service) *Server {
	s := &Server{
		directories: directories,
		slots:       slots,
		client:      client,
		limits:      limits,
		log:         log,
		timers:      timers,
		forwards:    newForwards(),
	}
	s.handler = s.routes()
	s.http = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: limits.HeaderTimeout(),
		IdleTimeout:       limits.IdleTimeout(),
		MaxHeaderBytes:    limits.MaxHeader(),
		ErrorLog:          log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return s
}

// Handler returns the handler of all calls.
func (s *Server) Handler() http.Handler { return s.handler }

// OpenRequests returns the number of open requests.
func (s *Server) OpenRequests() int { return s.open.count() }

// Serve answers callers on the listener until Shutdown, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(newLimitedListener(listener, s.limits.MaxConnections()))
	if err == http.ErrServerClosed {
		return nil
	}
	return eris.Wrap(ErrServer, err.Error())
}

// Drain refuses new requests and waits until those that are open have ended,
// with their cancels, or ctx ends. Callers may still ask which address to
// use; each answer asks its caller to close the connection, so that no
// request is lost on a connection that is closed under it.
func (s *Server) Drain(ctx context.Context) error {
	s.open.drain()
	select {
	case <-s.open.empty():
		return nil
	case <-ctx.Done():
		return eris.Wrapf(ErrServer, "%d requests open at the end of draining: %v", s.open.count(), ctx.Err())
	}
}

// Shutdown drains and then closes the listeners and connections.
func (s *Server) Shutdown(ctx context.Context) error {
	drained := s.Drain(ctx)
	if err := s.http.Shutdown(ctx); err != nil {
		s.http.Close()
	}
	return drained
}

// serial returns an id that no other request of any entry has.
func (s *Server) serial(self backend.Owner) string {
	n := s.requests.Add(1)
	return self.Entry() + "-" + strconv.FormatUint(self.Incarnation(), 36) + "-" + strconv.FormatUint(n, 36)
}

// gauge counts what is open and, when draining, tells when nothing is.
type gauge struct {
	mu       sync.Mutex
	open     int
	work     int
	draining bool
	none     chan struct{}
}

// enter counts one more request and reports false, counting nothing, while draining.
func (g *gauge) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	g.open++
	g.work++
	return true
}

func (g *gauge) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.work--
	g.settle()
}

// hold counts work that outlives its request, until it is let go.
func (g *gauge) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.work++
}

func (g *gauge) letGo() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.work--
	g.settle()
}

func (g *gauge) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

func (g *gauge) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

func (g *gauge) drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return
	}
	g.draining = true
	g.none = make(chan struct{})
	g.settle()
}

// settle closes the channel once there is no work left.
func (g *gauge) settle() {
	if !g.draining || g.work > 0 {
		return
	}
	select {
	case <-g.none:
	default:
		close(g.none)
	}
}

func (g *gauge) empty() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.none
}
