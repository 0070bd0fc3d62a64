package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newEndlessServer returns the address of a server that answers with a beginning and then
// repeats a text until the client closes the connection, which ended tells.
func newEndlessServer(c *qt.C, beginning, repeated string) (address string, ended chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	ended = make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer close(ended)
		defer conn.Close()
		if _, err = http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err = fmt.Fprint(conn, beginning)
		text := []byte(strings.Repeat(repeated, 4096/len(repeated)))
		for err == nil {
			_, err = conn.Write(text)
		}
	}()
	return listener.Addr().String(), ended
}

// Guards against answers without end, of which a few use up the memory of an entry or hold
// a processor until the deadline: whatever a server sends in place of a head, a body or an
// event, the attempt fails soon and its connection is closed.
func TestAnswersWithoutEndAreEnded(t *testing.T) {
	const (
		head          = "HTTP/1.1 200 X\r\nX-Request-Id: r1.1\r\n"
		maxTime       = 700 * time.Millisecond
		maxAllocation = 8 << 20
	)
	for name, test := range map[string]struct {
		beginning, repeated string
		stream              bool
	}{
		"status line":     {"HTTP/1.1 200 ", "x", false},
		"header lines":    {head, "A: b\r\n", false},
		"one header line": {head + "A: ", "b", false},
		"no protocol":     {"", "\x00", false},
		"informational":   {"", "HTTP/1.1 103 X\r\n\r\n", false},
		"unframed body":   {head + "\r\n", "x", false},
		"chunked body":    {head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n", false},
		"chunk header":    {head + "Transfer-Encoding: chunked\r\n\r\n", "0", false},
		"trailer":         {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", false},
		"refusal":         {"HTTP/1.1 429 X\r\nX-Request-Id: r1.1\r\n\r\n", "x", false},
		"one event":       {head + "\r\ndata: ", "x", true},
		"comments":        {head + "\r\n", ": x\n\n", true},
		"blank lines":     {head + "\r\n", "\n", true},
		"one line":        {head + "\r\n", "\x00", true},
		"repeated event":  {head + "\r\n", testEvent("r1.1", 0), true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, ended := newEndlessServer(c, test.beginning, test.repeated)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			response, failure := send(c, new(Client), address, start.Add(time.Minute), same)
			if failure == nil {
				var err error
				if test.stream {
					stream := response.Stream(func() error { return nil })
					for err == nil {
						_, err = stream.Next()
					}
				} else {
					_, err = response.Body(1 << 20)
				}
				response.Close()
				c.Assert(err, qt.IsNotNil)
				c.Assert(err, qt.Not(qt.Equals), io.EOF)
			}
			<-ended
			runtime.ReadMemStats(&after)
			c.Assert(time.Since(start) < maxTime, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			c.Assert(after.TotalAlloc-before.TotalAlloc < maxAllocation, qt.IsTrue, qt.Commentf("%d bytes", after.TotalAlloc-before.TotalAlloc))
		})
	}
}
