package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// framings are the ways to frame a body: with a length, in chunks, or by the end of the
// connection.
var framings = map[string]func(body string) string{
	"length": func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
	"chunks": func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	},
	"unframed": func(body string) string { return "Connection: close\r\n\r\n" + body },
}

// endings are the ways in which a response ends; cut is the number of bytes of its end that
// are missing.
var endings = map[string]struct {
	cut      int
	reset    bool
	trailing string
}{
	"clean":    {},
	"early":    {cut: 9},
	"reset":    {cut: 9, reset: true},
	"trailing": {trailing: "HTTP/1.1 200 X\r\nX-Request-Id: r9.9\r\nContent-Length: 2\r\n\r\nno"},
}

// respond starts a server that answers one request with the text and ends the connection.
func respond(c *qt.C, text string, reset bool) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		io.WriteString(conn, text)
		if reset {
			time.Sleep(20 * time.Millisecond) // a reset drops what was not received yet
			conn.(*net.TCPConn).SetLinger(0)
		}
	}()
	return listener.Addr().String()
}

// A response is whole only if it ends as its framing says: a plain one without a length or
// chunks never is, and a stream is whole with its end marker, however it is framed.
func TestResponsesOfEveryFramingAndEnding(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nX-Request-Id: r1.1\r\n"
	events := testEvent("r1.1", 0) + testEvent("r1.1", 1) + lastEvent("r1.1", 2, 2) + doneText
	for framing, frame := range framings {
		for ending, end := range endings {
			t.Run(framing+" "+ending, func(t *testing.T) {
				c := qt.New(t)
				cutOff := func(text string) string { return text[:len(text)-end.cut] + end.trailing }
				whole := end.cut == 0

				address := respond(c, head+cutOff(frame("an answer of some length")), end.reset)
				response, failure := send(c, new(Client), address, time.Now().Add(time.Minute), same)
				c.Assert(failure == nil, qt.IsTrue)
				body, err := response.Body(1 << 20)
				response.Close()
				if whole && framing != "unframed" {
					c.Assert(err, qt.IsNil)
					c.Assert(string(body), qt.Equals, "an answer of some length")
				} else {
					c.Assert(err, qt.IsNotNil)
				}

				address = respond(c, head+cutOff(frame(events)), end.reset)
				response, failure = send(c, new(Client), address, time.Now().Add(time.Minute), same)
				c.Assert(failure == nil, qt.IsTrue)
				text, err := drain(response.Stream(func() error { return nil }))
				response.Close()
				// In chunks, the missing bytes are the last chunk and not the end marker.
				marked := strings.Contains(cutOff(frame(events)), doneText)
				c.Assert(err == io.EOF, qt.Equals, marked)
				if marked {
					c.Assert(text, qt.Matches, `(?s).*w0 .*w1 .*finish_reason.*`)
				}
			})
		}
	}
}
