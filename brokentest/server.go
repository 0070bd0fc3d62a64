package brokentest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// End is how a server goes on after an answer.
type End string

// The ends. All but Reset read the request to its end.
const (
	// Keep has the connection wait for the next request.
	Keep End = "keep"
	// Close closes the connection.
	Close End = "close"
	// HalfClose ends the answer's direction at once, and closes the connection later.
	HalfClose End = "half_close"
	// Reset resets the connection.
	Reset End = "reset"
)

// arrivalTime is the time that an answer has to arrive until its connection is reset, which
// drops what was not sent yet.
const arrivalTime = 30 * time.Millisecond

// Answer is the text of an answer and the end of its connection.
type Answer struct {
	text  string
	end   End
	early bool
}

// NewAnswer returns an answer that is sent once the request has been read.
func NewAnswer(text string, end End) Answer { return Answer{text: text, end: end} }

// Early returns the answer as one that is sent before the request's body is read.
func (a Answer) Early() Answer {
	a.early = true
	return a
}

// WithID returns the answer with an id in each place of its text that says ID.
func (a Answer) WithID(id string) Answer {
	a.text = strings.ReplaceAll(a.text, "ID", id)
	return a
}

// Server answers requests with texts that need not be answers of the protocol. Serve returns one.
type Server struct {
	address string
}

// Serve starts a server that listens on loopback until the test ends. It takes the answer to
// each request from a function, which must not read the request's body.
func Serve(t testing.TB, answer func(r *http.Request) Answer) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn), answer)
		}
	}()
	return &Server{address: listener.Addr().String()}
}

// Address returns the server's IP and port.
func (s *Server) Address() string { return s.address }

func serve(conn *net.TCPConn, answer func(r *http.Request) Answer) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !respond(conn, r, answer(r)) {
			return
		}
	}
}

// respond answers one request, and reports whether the connection is kept.
func respond(conn *net.TCPConn, r *http.Request, a Answer) bool {
	readBody := func() error {
		_, err := io.Copy(io.Discard, r.Body)
		return err
	}
	if !a.early && readBody() != nil {
		return false
	}
	if _, err := io.WriteString(conn, a.text); err != nil {
		return false
	}
	switch a.end {
	case Reset:
		time.Sleep(arrivalTime)
		_ = conn.SetLinger(0) // fails only if the connection is closed
		return false
	case HalfClose:
		if conn.CloseWrite() != nil {
			return false
		}
		time.Sleep(arrivalTime)
	}
	return readBody() == nil && a.end == Keep
}
