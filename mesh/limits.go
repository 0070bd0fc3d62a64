package mesh

import (
	"container/list"
	"net"

	"github.com/rotisserie/eris"
)

const (
	// ordinaryMessageBytes is the memory of a message that its connection accounts for. Only
	// what a message takes beyond it is reserved.
	ordinaryMessageBytes = 8 << 10
	// A message takes messageByteFactor bytes for each byte on the wire, for the buffer, which
	// doubles, and what is decoded from it, and elementBytes for each value.
	messageByteFactor = 4
	elementBytes      = 48
	// callBytes is about the memory of a call that is handled, beyond its message.
	callBytes = 4 << 10
	// reserveStep is the granularity in which memory is reserved while a message is read.
	reserveStep = 16 << 10
)

var (
	errMessageMemory = eris.New("mesh: memory for messages exhausted")
	errBusy          = eris.New("mesh: too many calls")
)

// Limits bound what all who connect to a Server may take together. The zero value has no bounds.
type Limits struct {
	connections   int
	messageMemory int64
}

// NewLimits returns limits of the number of connections, beside those to servers that tunnels
// lead to, and of the memory of messages and calls in bytes, 0 for no limit.
func NewLimits(connections int, messageMemory int64) Limits {
	return Limits{connections: connections, messageMemory: messageMemory}
}

// inbound is a connection that a Server accepted. Its fields are guarded by the server's mutex.
type inbound struct {
	conn net.Conn
	// tunnel is whether an entry receives the bytes of a tunnel there.
	tunnel bool
	// place is the connection's place among those that wait for a message, the one that has
	// waited longest first; nil while a call or a tunnel is served on it.
	place *list.Element
	calls int
	// reserved is the memory of the message that is being read.
	reserved int64
}

// WithLimits has the server close the connection that has waited longest for a message, or the
// rest of one, if a limit is reached, and refuse calls. It must be called before Serve.
func (s *Server) WithLimits(limits Limits) *Server {
	s.limits = limits
	return s
}

// accept adds an accepted connection. It returns nil if the server is closed, or as many
// connections are open as may be and none of them waits.
func (s *Server) accept(conn net.Conn) *inbound {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	if s.limits.connections > 0 && s.accepted >= s.limits.connections {
		first := s.waiting.Front()
		if first == nil {
			return nil
		}
		s.remove(first.Value.(*inbound))
	}
	in := &inbound{conn: conn}
	s.conns[conn] = in
	s.accepted++
	in.place = s.waiting.PushBack(in)
	return in
}

// remove closes and removes an accepted connection; s.mu must be held.
func (s *Server) remove(in *inbound) {
	in.conn.Close()
	if s.conns[in.conn] != in {
		return
	}
	delete(s.conns, in.conn)
	s.accepted--
	s.setReserved(in, 0)
	s.setWaiting(in, false)
}

// setWaiting moves a connection to the end of those that wait, or out of them; s.mu must be held.
func (s *Server) setWaiting(in *inbound, waiting bool) {
	if in.place != nil {
		s.waiting.Remove(in.place)
		in.place = nil
	}
	if waiting && s.conns[in.conn] == in {
		in.place = s.waiting.PushBack(in)
	}
}

// setReserved sets the memory of the message that is read on a connection; s.mu must be held.
func (s *Server) setReserved(in *inbound, bytes int64) {
	s.messages += bytes - in.reserved
	in.reserved = bytes
}

// reserveMessage reserves the memory of a part of a message that has been read, and closes
// connections for it that have waited longer for the rest of one. It reports false if there is
// not enough.
func (s *Server) reserveMessage(in *inbound, bytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[in.conn] != in {
		return false
	}
	bytes = max(0, bytes-ordinaryMessageBytes)
	for s.limits.messageMemory > 0 && s.messages-in.reserved+bytes > s.limits.messageMemory {
		holder := s.longestHolding(in)
		if holder == nil {
			return false
		}
		s.remove(holder)
	}
	s.setReserved(in, bytes)
	return true
}

// longestHolding returns the connection that has waited longest of those with reserved memory,
// nil if none has waited longer than in.
func (s *Server) longestHolding(in *inbound) *inbound {
	for e := s.waiting.Front(); e != nil && e != in.place; e = e.Next() {
		if holder := e.Value.(*inbound); holder.reserved > 0 {
			return holder
		}
	}
	return nil
}

// beginCall passes the memory of the message that was read on to its call, which takes bytes. It
// reports false if there is not enough for another call.
func (s *Server) beginCall(in *inbound, bytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setReserved(in, 0)
	if s.limits.messageMemory > 0 && s.messages+bytes > s.limits.messageMemory {
		s.setWaiting(in, in.calls == 0)
		return false
	}
	s.messages += bytes
	in.calls++
	s.setWaiting(in, false)
	return true
}

// reserveResponse reserves the memory of a long response until endCall. It reports false if there
// is not enough.
func (s *Server) reserveResponse(bytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits.messageMemory > 0 && s.messages+bytes > s.limits.messageMemory {
		return false
	}
	s.messages += bytes
	return true
}

// endCall ends a call that beginCall has begun.
func (s *Server) endCall(in *inbound, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.messages -= bytes
	in.calls--
	if in.calls == 0 {
		s.setWaiting(in, true)
	}
}
