package endlesstest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
)

// writeBytes is about the length of one write.
const writeBytes = 4096

// Server answers each request with a beginning and then repeats a text until the client
// closes the connection. Serve returns one.
type Server struct {
	address string
	ended   chan struct{}
	once    sync.Once
}

// Serve starts a server that listens on loopback until the test ends. The beginning may
// depend on the request; repeated must not be empty.
func Serve(t testing.TB, beginning func(r *http.Request) string, repeated string) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &Server{address: listener.Addr().String(), ended: make(chan struct{})}
	text := []byte(strings.Repeat(repeated, max(1, writeBytes/len(repeated))))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, beginning, text)
		}
	}()
	return s
}

// ServeText is Serve with the same beginning for all requests.
func ServeText(t testing.TB, beginning, repeated string) *Server {
	return Serve(t, func(*http.Request) string { return beginning }, repeated)
}

func (s *Server) serve(conn net.Conn, beginning func(r *http.Request) string, text []byte) {
	defer s.once.Do(func() { close(s.ended) })
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, err = io.WriteString(conn, beginning(r))
	for err == nil {
		_, err = conn.Write(text)
	}
}

// Address returns the server's IP and port.
func (s *Server) Address() string { return s.address }

// Ended is closed once the first connection has been closed by its client.
func (s *Server) Ended() <-chan struct{} { return s.ended }

// Allocated returns how many bytes the process allocates while a function runs.
func Allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
