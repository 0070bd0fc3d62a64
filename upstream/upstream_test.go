package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/timer"
)

// testHeaders carries the attempt id in "Attempt" and the server in "To".
type testHeaders struct{}

func (testHeaders) EncodeRequest(header http.Header, d RequestMetadata) {
	header.Set("To", d.Server())
}

func (testHeaders) DecodeResponse(status int, header http.Header) ResponseMetadata {
	n := NewResponseMetadata(header.Get("Attempt"))
	if header.Get("Refused") != "" {
		n = n.WithNotRun(false, "")
	}
	return n
}

// rawServer writes what respond returns for each request on its connections; an
// empty text closes the connection.
type rawServer struct {
	address     string
	connections atomic.Int64
}

func newRawServer(c *qt.C, respond func(number int, r *http.Request, body string) string) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	s := &rawServer{address: listener.Addr().String()}
	var number atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					r.RemoteAddr = conn.RemoteAddr().String()
					body, _ := io.ReadAll(r.Body)
					text := respond(int(number.Add(1)), r, string(body))
					if text == "" {
						return
					}
					fmt.Fprint(conn, text)
					if strings.Contains(text, "Connection: close") {
						return
					}
				}
			}()
		}
	}()
	return s
}

func responseText(attempt, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
}

func send(c *qt.C, client *Client, address, attempt string) (string, error) {
	c.Helper()
	r := NewRequest(attempt, http.MethodPost, "/a//b?x=%2f", "h.example", http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Kept": {"1"}}, []byte("in"))
	response, err := client.Send(context.Background(), address, r, NewRequestMetadata("i-1", "", time.Second))
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func TestRequestArrivesUnchanged(t *testing.T) {
	c := qt.New(t)
	server := newRawServer(c, func(_ int, r *http.Request, body string) string {
		return responseText("a1", fmt.Sprint(r.Method, r.RequestURI, r.Host, r.Header, body))
	})
	client := NewClient(testHeaders{}, &timer.Service{}, Dialer{})
	body, err := send(c, client, server.address, "a1")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "POST/a//b?x=%2fh.examplemap[Content-Length:[2] Kept:[1] To:[i-1]]in")
}

func TestConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	server := newRawServer(c, func(number int, _ *http.Request, _ string) string { return responseText(fmt.Sprint(number), "x") })
	client := NewClient(testHeaders{}, &timer.Service{}, Dialer{})
	for i := 1; i <= 3; i++ {
		_, err := send(c, client, server.address, fmt.Sprint(i))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(server.connections.Load(), qt.Equals, int64(1))
	client.Sweep(func(string, string, string) bool { return false })
	_, err := send(c, client, server.address, "4")
	c.Assert(err, qt.IsNil)
	c.Assert(server.connections.Load(), qt.Equals, int64(2))
}

// A second response to an earlier request, late or immediate, must not be taken
// for the response to the current one.
func TestStrayResponsesAreSkipped(t *testing.T) {
	c := qt.New(t)
	server := newRawServer(c, func(number int, _ *http.Request, _ string) string {
		if number == 1 {
			return responseText("1", "one") + responseText("1", "again")
		}
		return responseText("1", "late") + "HTTP/1.1 103 Early Hints\r\n\r\n" + responseText("2", "two")
	})
	client := NewClient(testHeaders{}, &timer.Service{}, Dialer{})
	body, err := send(c, client, server.address, "1")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "one")
	body, err = send(c, client, server.address, "2")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "two")
}

// Guards against REFUSED and TWICE: a server that sends its refusal a second time, as the
// answer to the next request on the connection. A request that is sent to it again has the
// same attempt id, and must not be taken as refused once more while it runs.
func TestStrayRefusalOfSameAttemptIsNoResponse(t *testing.T) {
	c := qt.New(t)
	refusal := "HTTP/1.1 503 X\r\nAttempt: a1\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
	var mu sync.Mutex
	refused := make(map[string]bool) // by connection
	server := newRawServer(c, func(number int, r *http.Request, _ string) string {
		mu.Lock()
		defer mu.Unlock()
		if number == 1 {
			refused[r.RemoteAddr] = true
			return refusal
		}
		stray := ""
		if refused[r.RemoteAddr] {
			stray = refusal
		}
		return stray + responseText(r.Header.Get("Attempt"), "ran")
	})
	client := NewClient(testHeaders{}, &timer.Service{}, Dialer{})
	send := func(attempt string) (*Response, error) {
		r := NewRequest(attempt, http.MethodPost, "/", "h", http.Header{"Attempt": {attempt}}, []byte("in"))
		return client.Send(context.Background(), server.address, r, NewRequestMetadata("i-1", "", time.Second))
	}
	response, err := send("a1")
	c.Assert(err, qt.IsNil)
	c.Assert(response.Metadata().NotRun(), qt.IsTrue)
	_, err = io.ReadAll(response)
	c.Assert(err, qt.IsNil)
	response.Close()
	response, err = send("a1")
	c.Assert(err, qt.IsNil)
	c.Assert(response.Metadata().NotRun(), qt.IsFalse)
	response.Close()

	// The connection serves other attempts, which tell the stray response by its id.
	response, err = send("a2")
	c.Assert(err, qt.IsNil)
	c.Assert(response.Metadata().NotRun(), qt.IsFalse)
	response.Close()
}

// Guards against REFUSED and TWICE: the same after the connection has carried many other
// attempts, as while the refused one waits for the only server to have room.
func TestStrayRefusalIsNoResponseManyAttemptsLater(t *testing.T) {
	c := qt.New(t)
	refusal := "HTTP/1.1 503 X\r\nAttempt: a1\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
	first := ""
	server := newRawServer(c, func(number int, r *http.Request, _ string) string {
		switch {
		case number == 1:
			first = r.RemoteAddr
			return refusal
		case r.Header.Get("Attempt") == "a1" && r.RemoteAddr == first:
			return refusal + responseText("a1", "ran")
		default:
			return responseText(r.Header.Get("Attempt"), "ran")
		}
	})
	client := NewClient(testHeaders{}, &timer.Service{}, Dialer{})
	send := func(attempt string) bool {
		r := NewRequest(attempt, http.MethodPost, "/", "h", http.Header{"Attempt": {attempt}}, []byte("in"))
		response, err := client.Send(context.Background(), server.address, r, NewRequestMetadata("i-1", "", time.Second))
		c.Assert(err, qt.IsNil)
		defer response.Close()
		_, err = io.ReadAll(response)
		c.Assert(err, qt.IsNil)
		return response.Metadata().NotRun()
	}
	c.Assert(send("a1"), qt.IsTrue)
	for i := range 2 * maxAttemptsKept {
		c.Assert(send(fmt.Sprint("b", i)), qt.IsFalse)
	}
	c.Assert(server.connections.Load(), qt.Equals, int64(1))
	c.Assert(send("a1"), qt.IsFalse)
	c.Assert(server.connections.Load(), qt.Equals, int64(2))
}

func TestResponseToAnotherRequestIsNoResponse(t *testing.T) {
	c := qt.New(t)
	server := newRawServer(c, func(int, *http.Request, string) string {
		return "HTTP/1.1 200 OK\r\nAttempt: other\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"
	})
	_, err := send(c, NewClient(testHeaders{}, &timer.Service{}, Dialer{}), server.address, "a1")
	c.Assert(err, qt.ErrorIs, ErrNoResponse)
}

func TestTruncatedAndMalformedResponsesFail(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nAttempt: a1\r\nConnection: close\r\nContent-Length: 10\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nAttempt: a1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no answer at all\r\nConnection: close\r\n\r\n",
		"",
	} {
		server := newRawServer(c, func(int, *http.Request, string) string { return text })
		_, err := send(c, NewClient(testHeaders{}, &timer.Service{}, Dialer{}), server.address, "a1")
		c.Assert(err, qt.IsNotNil, qt.Commentf("%q", text))
	}
}

func TestUnframedResponseEndsWithItsConnection(t *testing.T) {
	c := qt.New(t)
	server := newRawServer(c, func(number int, _ *http.Request, _ string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: %d\r\nConnection: close\r\n\r\nwhole", number)
	})
	client := NewClient(testHeaders{}, &timer.Service{}, Dialer{})
	for i := 1; i <= 2; i++ {
		body, err := send(c, client, server.address, fmt.Sprint(i))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "whole")
	}
	c.Assert(server.connections.Load(), qt.Equals, int64(2))
}

// Only a request of which no byte was sent may be reported as not run.
func TestNotSentDiffersFromNoResponse(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener.Close()
	client := NewClient(testHeaders{}, &timer.Service{}, Dialer{})
	_, err = send(c, client, listener.Addr().String(), "a1")
	c.Assert(err, qt.ErrorIs, ErrNotSent)
	server := newRawServer(c, func(int, *http.Request, string) string { return "" })
	_, err = send(c, client, server.address, "a1")
	c.Assert(err, qt.ErrorIs, ErrNoResponse)
}

// An idle connection that the server has closed must not be reused: a request
// sent on it would be lost, and the caller could not tell whether it ran.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	c := qt.New(t)
	client := NewClient(testHeaders{}, &timer.Service{}, Dialer{})
	local, remote := tcpPair(c)
	conn := newConnection(local, local.RemoteAddr().String(), "i-1")
	client.putIdle(conn)
	c.Assert(client.takeIdle(local.RemoteAddr().String(), "i-1", "a1"), qt.Equals, conn)
	client.putIdle(conn)
	remote.Close()
	for !readable(local) {
		time.Sleep(time.Millisecond)
	}
	c.Assert(client.takeIdle(local.RemoteAddr().String(), "i-1", "a1"), qt.IsNil)
}

func tcpPair(c *qt.C) (local, remote net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	local, err = net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	remote, err = listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		local.Close()
		remote.Close()
	})
	return local, remote
}

func TestSendIsCancelledWithItsContext(t *testing.T) {
	c := qt.New(t)
	arrived := make(chan struct{})
	release := make(chan struct{})
	defer close(release)
	server := newRawServer(c, func(int, *http.Request, string) string {
		close(arrived)
		<-release
		return ""
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	client := NewClient(testHeaders{}, &timer.Service{}, Dialer{})
	_, err := client.Send(ctx, server.address, NewRequest("a1", http.MethodGet, "/", "h", http.Header{}, nil), NewRequestMetadata("i-1", "", time.Second))
	c.Assert(err, qt.ErrorIs, ErrNoResponse)
}
