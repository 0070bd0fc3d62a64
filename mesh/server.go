package mesh

import (
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

// acceptRetryDelay is how long a server waits after a failed accept, as while the process
// has no file descriptor left.
const acceptRetryDelay = 50 * time.Millisecond

// errPanic is wrapped by the error that answers a call whose handler panicked.
var errPanic = eris.New("mesh: handler panicked")

// Handler handles a call of the given kind and returns the response to encode.
// Each call runs in its own goroutine.
type Handler func(kind string, body []byte) (any, error)

// Server serves the calls of other entries.
type Server struct {
	handler Handler
	traffic Traffic
	kinds   Kinds
	log     hclog.Logger

	mu     sync.Mutex
	closed bool
	// conns holds the connections, and whether an entry receives the bytes of a tunnel there.
	conns      map[net.Conn]bool
	dialTunnel TunnelDialer
	tunnels    int
}

// NewServer returns a server that passes calls to the handler.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, conns: make(map[net.Conn]bool), log: hclog.NewNullLogger()}
}

// WithKinds has the server state the kinds of calls that it understands to each caller that
// states its own. It must be called before Serve.
func (s *Server) WithKinds(kinds Kinds) *Server {
	s.kinds = kinds
	return s
}

// WithLog has the server log panics of its handler and failed accepts. It must be called
// before Serve.
func (s *Server) WithLog(log hclog.Logger) *Server {
	s.log = log
	return s
}

// Traffic returns the traffic of the served calls.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Serve accepts connections on the listener and serves their calls until the
// listener or the server is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The other entries reach this one only through this listener.
			s.log.Error("accepting a connection failed; retrying", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.add(conn) {
			conn.Close()
			return nil
		}
		go s.serve(conn)
	}
}

// ServeConn serves the calls on one connection until it ends.
func (s *Server) ServeConn(conn net.Conn) {
	if !s.add(conn) {
		conn.Close()
		return
	}
	s.serve(conn)
}

// Close closes all connections and refuses new ones. Tunnels are reset: an entry that does not
// understand frames would take their end for that of the server's connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn, tunnel := range s.conns {
		if tunnel {
			reset(conn)
		}
	}
	for conn := range s.conns {
		conn.Close()
	}
}

// setTunnel records that an entry receives the bytes of a tunnel on a connection.
func (s *Server) setTunnel(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = true
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = false
	return true
}

func (s *Server) serve(conn net.Conn) {
	var writeMu sync.Mutex
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	r := newMessageReader(conn)
	for {
		call, err := r.next()
		if err != nil {
			return
		}
		if call.Kind == kindTunnel {
			s.serveTunnel(conn, call)
			return
		}
		go func() {
			response := s.respond(call)
			if len(call.Understands) > 0 {
				response.Understands = s.kinds.all()
			}
			s.traffic.count(call.Kind, len(response.Body), len(call.Body))
			writeMu.Lock()
			defer writeMu.Unlock()
			if err := writeEnvelope(conn, response); err != nil {
				conn.Close()
			}
		}()
	}
}

// respond returns the response to a call, an error if its handler panics: one call must not
// end the process.
func (s *Server) respond(call envelope) (response envelope) {
	defer func() {
		if cause := recover(); cause != nil {
			s.log.Error("call handler panicked", "kind", call.Kind, "bytes", len(call.Body), "panic", cause, "stack", string(debug.Stack()))
			response = envelope{ID: call.ID, Error: eris.Wrap(errPanic, call.Kind).Error()}
		}
	}()
	reply, err := s.handler(call.Kind, call.Body)
	if err != nil {
		return envelope{ID: call.ID, Error: err.Error()}
	}
	body, err := encode(reply)
	if err != nil {
		return envelope{ID: call.ID, Error: err.Error()}
	}
	return envelope{ID: call.ID, Body: body}
}
