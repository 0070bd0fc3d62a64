package ingress

import (
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"greengagedock.example/http1"
	"greengagedock.example/timer"
	"greengagedock.example/upstream"
)

// ErrServer is wrapped by every error of Serve and Shutdown.
var ErrServer = eris.New("ingress: server")

// Limits bound the resources of one entry and its waiting times.
type Limits struct {
	retries     RetryBudget
	bodyMemory  int64
	workerStall time.Duration
	// reservationHold is how long a KV reservation lasts unless it is renewed.
	reservationHold time.Duration
	answerMemory    int64          // 0 for no limit
	clients         *http1.Clients // nil for no limits
}

// NewLimits returns limits with the retry budget of all entries, the bytes that
// all open request bodies may occupy, the time after which a server has reported a
// silent prefill worker, and how long a KV reservation lasts unless it is renewed.
func NewLimits(retries RetryBudget, bodyMemory int64, workerStall, reservationHold time.Duration) Limits {
	return Limits{retries: retries, bodyMemory: bodyMemory, workerStall: workerStall, reservationHold: reservationHold}
}

// WithAnswerMemory returns the limits with the bytes that responses may occupy which are read
// whole before they are forwarded, 0 for no limit.
func (l Limits) WithAnswerMemory(bytes int64) Limits {
	l.answerMemory = bytes
	return l
}

// WithClients returns the limits with those of all clients of the process.
func (l Limits) WithClients(clients *http1.Clients) Limits {
	l.clients = clients
	return l
}

// Server answers the callers of one entry.
type Server struct {
	views        Views
	scheduler    Scheduler
	kvReserver   KVReserver
	client       *upstream.Client
	headers      HeaderDecoder
	recorder     Recorder
	log          hclog.Logger
	timers       *timer.Service
	retryLimiter retryLimiter
	bodyMemory   bodyMemory
	answerMemory answerMemory
	workerStall  time.Duration
	// minSilence is minSilenceTimeout, or less in tests.
	minSilence time.Duration
	// reservationHold is how long a KV reservation lasts unless it is renewed.
	reservationHold time.Duration
	http            *http.Server
	clients         *http1.Clients
	openRequests    atomic.Int64
	open            openConnections
	grace           graceLimits
	// closing is set once callers are asked to close their connections.
	closing    atomic.Bool
	requestSeq atomic.Uint64
}

// NewServer returns a server that routes requests by views, has the scheduler
// place them, reserves KV memory and sends them through the client.
func NewServer(views Views, scheduler Scheduler, kvReserver KVReserver, client *upstream.Client, headers HeaderDecoder, limits Limits, recorder Recorder, log hclog.Logger, timers *timer.Service) *Server {
	s := &Server{views: views, scheduler: scheduler, kvReserver: kvReserver, client: client, headers: headers, recorder: recorder, log: log, timers: timers}
	s.retryLimiter.budget = limits.retries
	s.bodyMemory.available.Store(limits.bodyMemory)
	s.answerMemory.limit = limits.answerMemory
	s.workerStall = limits.workerStall
	s.minSilence = minSilenceTimeout
	s.reservationHold = limits.reservationHold
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.connState,
		ConnContext:       withConnection,
		ErrorLog:          log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	if s.clients = limits.clients; s.clients == nil {
		s.clients = new(http1.Clients)
	}
	s.clients.Attach(s.http)
	return s
}

// OpenRequests returns the number of open requests.
func (s *Server) OpenRequests() int { return int(s.openRequests.Load()) }

// Serve accepts connections on the listener until Shutdown, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if !s.open.listen(listener) {
		return listener.Close()
	}
	err := s.http.Serve(connectionListener{s.clients.Listen(listener, s.HeadLimit), s})
	if err != http.ErrServerClosed && !s.open.isStopping() {
		return eris.Wrap(ErrServer, err.Error())
	}
	return nil
}

// ServeHTTP handles one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	defer s.logPanic(r)
	clearHeaderTimeout(r)
	q := &request{server: s, w: w, r: r, start: s.timers.Now(), answer: answer{memory: &s.answerMemory}}
	q.serve()
}

// logPanic logs a panic, with which net/http closes the caller's connection without a
// response, and passes it on. Aborted responses are logged where they are aborted.
func (s *Server) logPanic(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		s.log.Error("request handler panicked", "caller", r.RemoteAddr, "target", r.RequestURI, "panic", cause, "stack", string(debug.Stack()))
	}
	panic(cause)
}

// hostName returns the host of a Host header in lower case, without the port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
