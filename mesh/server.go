package mesh

import (
	"container/list"
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
	limits  Limits

	mu     sync.Mutex
	closed bool
	// conns holds the accepted connections, and with nil those of tunnels to their servers.
	conns map[net.Conn]*inbound
	// accepted is the number of accepted connections, waiting holds those that wait for a
	// message, and messages is the memory of messages and calls.
	accepted   int
	waiting    list.List
	messages   int64
	dialTunnel TunnelDialer
	tunnels    int
}

// NewServer returns a server that passes calls to the handler.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, conns: make(map[net.Conn]*inbound), log: hclog.NewNullLogger()}
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
		in := s.accept(conn)
		if in == nil {
			conn.Close()
			continue
		}
		go s.serve(in)
	}
}

// ServeConn serves the calls on one connection until it ends.
func (s *Server) ServeConn(conn net.Conn) {
	in := s.accept(conn)
	if in == nil {
		conn.Close()
		return
	}
	s.serve(in)
}

// Close closes all connections and refuses new ones. Tunnels are reset: an entry that does not
// understand frames would take their end for that of the server's connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn, in := range s.conns {
		if in != nil && in.tunnel {
			reset(conn)
		}
	}
	for conn := range s.conns {
		conn.Close()
	}
}

// setTunnel records that an entry receives the bytes of a tunnel on a connection.
func (s *Server) setTunnel(in *inbound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in.tunnel = true
}

// addServer adds the connection of a tunnel to its server.
func (s *Server) addServer(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = nil
	return true
}

func (s *Server) serve(in *inbound) {
	conn := in.conn
	var writeMu sync.Mutex
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.remove(in)
	}()
	r := newMessageReader(conn)
	r.reserve = func(bytes int64) bool { return s.reserveMessage(in, bytes) }
	answer := func(call, response envelope) {
		if len(call.Understands) > 0 {
			response.Understands = s.kinds.all()
		}
		s.traffic.count(call.Kind, len(response.Body), len(call.Body))
		writeMu.Lock()
		defer writeMu.Unlock()
		if err := writeEnvelope(conn, response); err != nil {
			conn.Close()
		}
	}
	for {
		call, err := r.next()
		if err != nil {
			return
		}
		memory := callBytes + r.memory()
		if !s.beginCall(in, memory) {
			// Written here, so that no further call is read before it is.
			answer(call, envelope{ID: call.ID, Error: errBusy.Error()})
			continue
		}
		if call.Kind == kindTunnel {
			defer s.endCall(in, memory)
			s.serveTunnel(in, call)
			return
		}
		go func() {
			response, responseMemory := s.respond(call)
			defer s.endCall(in, memory+responseMemory)
			answer(call, response)
		}()
	}
}

// longReply is a reply that may take much memory; EncodedBytes is about its encoded length.
type longReply interface{ EncodedBytes() int }

// respond returns the response to a call and the memory that it has reserved for it. It returns an
// error if the handler panics: one call must not end the process.
func (s *Server) respond(call envelope) (response envelope, memory int64) {
	defer func() {
		if cause := recover(); cause != nil {
			s.log.Error("call handler panicked", "kind", call.Kind, "bytes", len(call.Body), "panic", cause, "stack", string(debug.Stack()))
			response = envelope{ID: call.ID, Error: eris.Wrap(errPanic, call.Kind).Error()}
		}
	}()
	reply, err := s.handler(call.Kind, call.Body)
	if err != nil {
		return envelope{ID: call.ID, Error: err.Error()}, 0
	}
	if long, ok := reply.(longReply); ok {
		if memory = messageByteFactor * int64(long.EncodedBytes()); !s.reserveResponse(memory) {
			return envelope{ID: call.ID, Error: errBusy.Error()}, 0
		}
	}
	body, err := encode(reply)
	switch {
	case err != nil:
		return envelope{ID: call.ID, Error: err.Error()}, memory
	case len(body) > maxBodyBytes:
		// The caller would end the connection, on which other responses may be due.
		return envelope{ID: call.ID, Error: eris.Wrapf(errTooLong, "%s: %d bytes", call.Kind, len(body)).Error()}, memory
	}
	return envelope{ID: call.ID, Body: body}, memory
}
