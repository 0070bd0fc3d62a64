package mesh

import (
	"errors"
	"net"
	"sync"
)

// Handler carries out a call and returns its answer; it runs in a goroutine of its own.
type Handler func(kind string, body []byte) (any, error)

// Server answers the calls of other entries.
type Server struct {
	handler Handler

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]bool
}

// NewServer returns a server that has the handler carry out calls.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, conns: make(map[net.Conn]bool)}
}

// Serve answers the calls on the listener's connections until Close.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if !s.add(conn) {
			conn.Close()
			return nil
		}
		go s.serve(conn)
	}
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) serve(conn net.Conn) {
	var writing sync.Mutex
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	r := newReceiver(conn)
	for {
		call, err := r.next()
		if err != nil {
			return
		}
		go func() {
			answer := s.answer(call)
			writing.Lock()
			defer writing.Unlock()
			if err := writeEnvelope(conn, answer); err != nil {
				conn.Close()
			}
		}()
	}
}

func (s *Server) answer(call envelope) envelope {
	reply, err := s.handler(call.Kind, call.Body)
	if err != nil {
		return envelope{ID: call.ID, Problem: err.Error()}
	}
	body, err := encode(reply)
	if err != nil {
		return envelope{ID: call.ID, Problem: err.Error()}
	}
	return envelope{ID: call.ID, Body: body}
}
