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
	"greengagedock.example/http1"
	"greengagedock.example/timer"
)

// ErrServer is wrapped by every error of a Server.
var ErrServer = eris.New("caller: server")

// Server serves callers at one entry.
type Server struct {
	snapshots SnapshotSource
	slots     Slots
	client    *backend.Client
	limits    Limits
	log       hclog.Logger
	timers    *timer.Service

	handler          http.Handler
	http             *http.Server
	forwardTransport http.RoundTripper
	keyring          keyring
	accountLimiter   accountLimiter
	accountBudgets   retryBudgets[accountKey]
	serverBudgets    retryBudgets[string]
	clients          *http1.Clients
	bodyMemory       bodyMemory
	answerMemory     answerMemory
	requestCount     atomic.Uint64
	tracker          workTracker
	dedupMu          sync.Mutex
	dedup            DedupTable
}

// NewServer returns a server that routes by the newest snapshot, acquires slots
// from slots and sends attempts with the client.
func NewServer(snapshots SnapshotSource, slots Slots, client *backend.Client, limits Limits, log hclog.Logger, timers *timer.Service) *Server {
	s := &Server{
		snapshots:        snapshots,
		slots:            slots,
		client:           client,
		limits:           limits,
		log:              log,
		timers:           timers,
		forwardTransport: newForwardTransport(),
	}
	s.handler = s.routes()
	s.http = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: limits.HeaderTimeout(),
		IdleTimeout:       limits.IdleTimeout(),
		MaxHeaderBytes:    limits.MaxHeader(),
		ErrorLog:          log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Error}),
	}
	s.clients = http1.NewClients(http1.NewLimits(limits.MaxConnections(), limits.MaxHeaderMemory()), log)
	s.clients.Attach(s.http)
	return s
}

// Handler returns the HTTP handler of the caller API.
func (s *Server) Handler() http.Handler { return s.handler }

// OpenRequests returns the number of open requests.
func (s *Server) OpenRequests() int { return s.tracker.count() }

// Serve serves callers on the listener until Shutdown, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(s.clients.Listen(listener, http1.NoHeadLimit))
	if err == http.ErrServerClosed {
		return nil
	}
	return eris.Wrap(ErrServer, err.Error())
}

// Drain refuses new requests and waits until the open ones and their cancels
// have ended, or ctx ends. Address requests are still served. Every response
// asks the caller to close the connection, so that no request is lost on a
// connection that the server closes.
func (s *Server) Drain(ctx context.Context) error {
	s.tracker.drain()
	select {
	case <-s.tracker.drained():
		return nil
	case <-ctx.Done():
		return eris.Wrapf(ErrServer, "%d requests open at the end of draining: %v", s.tracker.count(), ctx.Err())
	}
}

// Shutdown drains the server and then closes its listeners and connections.
func (s *Server) Shutdown(ctx context.Context) error {
	drainErr := s.Drain(ctx)
	if err := s.http.Shutdown(ctx); err != nil {
		s.http.Close()
	}
	return drainErr
}

// newUniqueID returns an ID that no other request of any entry has.
func (s *Server) newUniqueID(self backend.Owner) string {
	n := s.requestCount.Add(1)
	return self.Entry() + "-" + strconv.FormatUint(self.Incarnation(), 36) + "-" + strconv.FormatUint(n, 36)
}

// workTracker counts open requests and pending work and, while draining,
// signals when none is left.
type workTracker struct {
	mu       sync.Mutex
	requests int
	pending  int
	draining bool
	idle     chan struct{}
}

// begin counts a new request. While draining it counts nothing and returns
// false.
func (t *workTracker) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.requests++
	t.pending++
	return true
}

func (t *workTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests--
	t.pending--
	t.closeIfIdle()
}

// addWork counts work that outlives its request, until endWork.
func (t *workTracker) addWork() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending++
}

func (t *workTracker) endWork() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending--
	t.closeIfIdle()
}

func (t *workTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests
}

func (t *workTracker) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

func (t *workTracker) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return
	}
	t.draining = true
	t.idle = make(chan struct{})
	t.closeIfIdle()
}

// closeIfIdle closes the idle channel if the server is draining and no work is
// left.
func (t *workTracker) closeIfIdle() {
	if !t.draining || t.pending > 0 {
		return
	}
	select {
	case <-t.idle:
	default:
		close(t.idle)
	}
}

func (t *workTracker) drained() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle
}
