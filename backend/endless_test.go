package backend

import (
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/endlesstest"
)

// readEndless reads a response to its end or the first error.
func readEndless(response *Response, stream bool) error {
	if !stream {
		_, err := response.Body(1 << 20)
		return err
	}
	events := response.Stream(func() error { return nil })
	for {
		if _, err := events.Next(); err != nil {
			return err
		}
	}
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
			server := endlesstest.ServeText(t, test.beginning, test.repeated)
			start := time.Now()
			allocated := endlesstest.Allocated(func() {
				response, failure := send(c, new(Client), server.Address(), start.Add(time.Minute), same)
				if failure == nil {
					err := readEndless(response, test.stream)
					response.Close()
					c.Assert(err, qt.IsNotNil)
					c.Assert(err, qt.Not(qt.Equals), io.EOF)
				}
				<-server.Ended()
			})
			c.Assert(time.Since(start) < maxTime, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			c.Assert(allocated < maxAllocation, qt.IsTrue, qt.Commentf("%d bytes", allocated))
		})
	}
}
