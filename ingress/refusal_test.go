package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// repeatingServer refuses the first request on each of its connections and runs the others.
// Around the response to a request that it runs it writes its earlier refusal once more.
type repeatingServer struct {
	// before and after are how often it does so before and after the response.
	before, after int
	// anonymous is set if the refusal has no attempt id.
	anonymous bool
	// silent is set if the request runs without a response.
	silent bool
	conns  atomic.Int32
	runs   atomic.Int32
}

func (s *repeatingServer) listen(c *qt.C) *backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn)
		}
	}()
	return &backend{address: listener.Addr().String()}
}

func (s *repeatingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	refusal := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Id")
		if refusal == "" {
			refusal = strings.Replace(strings.ReplaceAll(refused, "ID", id), "Connection: close\r\n", "", 1)
			if s.anonymous {
				refusal = strings.Replace(refusal, "Id: "+id+"\r\n", "", 1)
			}
			fmt.Fprint(conn, strings.Replace(strings.ReplaceAll(refused, "ID", id), "Connection: close\r\n", "", 1))
			continue
		}
		s.runs.Add(1)
		fmt.Fprint(conn, strings.Repeat(refusal, s.before))
		if s.silent {
			_, _ = reader.ReadByte() // returns when the connection is closed
			return
		}
		time.Sleep(30 * time.Millisecond)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 3\r\n\r\nran", id)
		fmt.Fprint(conn, strings.Repeat(refusal, s.after))
	}
}

// Guards against REFUSED and TWICE: a server writes an earlier refusal once more on a kept
// connection, and the caller of a request that it runs is told that this has not run, or the
// request is sent to another server.
func TestEarlierRefusalOnceMoreRefusesNoRequest(t *testing.T) {
	for _, test := range []struct {
		name   string
		server *repeatingServer
		status int
	}{
		{"before the response", &repeatingServer{before: 1}, http.StatusOK},
		{"three times", &repeatingServer{before: 3}, http.StatusOK},
		{"too often", &repeatingServer{before: maxSends + 1}, http.StatusBadGateway},
		{"after the response", &repeatingServer{after: 1}, http.StatusOK},
		{"without an id", &repeatingServer{before: 1, anonymous: true}, http.StatusOK},
		{"while the request runs", &repeatingServer{before: 1, silent: true}, http.StatusGatewayTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := test.server
			faulty := server.listen(c)
			other := newBackend(c, fullResponse(http.StatusOK, "other"), fullResponse(http.StatusOK, "other"), fullResponse(http.StatusOK, "other"))
			b := newTestbedOn(c, faulty, other, faulty, other, faulty, other)
			b.scheduler.ids = []string{"s1", "s2", "s1", "s2", "s1", "s2"}
			send := func(id string) *http.Response {
				r := b.request(http.MethodPost, "/once/x", "x")
				r.Header.Set("Id", id)
				r.Header.Set("Left", "700ms")
				response, _, err := b.do(r)
				c.Assert(err, qt.IsNil)
				return response
			}
			c.Assert(send("a").StatusCode, qt.Equals, http.StatusOK) // refused by the faulty one
			c.Assert(other.seen(), qt.HasLen, 1)
			time.Sleep(20 * time.Millisecond) // the connection is idle
			c.Assert(send("b").StatusCode, qt.Equals, test.status)
			c.Assert(server.runs.Load(), qt.Equals, int32(1))
			c.Assert(server.conns.Load(), qt.Equals, int32(1)) // else nothing was tried
			c.Assert(other.seen(), qt.HasLen, 1)
		})
	}
}
