package mesh

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"greengagedock.example/brokentest"
)

// Guards against MIXED: a server resets its connection while bytes for it pass a tunnel, and the
// reset is reported to the writing of these alone. No entry may get that as a clean end, whether
// it understands frames or not.
func TestResetReportedToWriterIsNoCleanEnd(t *testing.T) {
	const (
		part      = "HTTP/1.1 200 OK\r\n\r\npart"
		bodyBytes = 600_000 // more than the relay can pass on, and less than it and the system receive
	)
	for _, framed := range []bool{true, false} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(fmt.Sprint("framed=", framed, ",", delay), func(t *testing.T) {
				b := newTunnelBed(t, func(*net.TCPConn) {})
				server := brokentest.Serve(t, func(*http.Request) brokentest.Answer {
					return brokentest.NewAnswer(part, brokentest.Reset).Early()
				})
				b.server = server.Address()
				b.entry.ServeTunnels(brokentest.NewNetwork(syscall.ECONNRESET, delay).Dial)
				var conn net.Conn
				if framed {
					conn = b.open()
				} else {
					conn = b.openAsEarlierEntry()
				}
				go func() {
					_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, make([]byte, bodyBytes)) // fails with the reset
				}()
				received, err := io.ReadAll(conn)
				b.c.Assert(err, qt.IsNotNil)
				b.c.Assert(len(received) <= len(part), qt.IsTrue)
			})
		}
	}
}

// openAsEarlierEntry opens a tunnel to the bed's server as an entry of a version without frames.
func (b *tunnelBed) openAsEarlierEntry() net.Conn {
	conn, err := net.Dial("tcp", b.address)
	b.c.Assert(err, qt.IsNil)
	b.c.Cleanup(func() { conn.Close() })
	body, err := encode(b.server)
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(writeEnvelope(conn, envelope{ID: 1, Kind: kindTunnel, Body: body}), qt.IsNil)
	var response envelope
	b.c.Assert(msgpack.NewDecoder(&byteReader{r: conn}).Decode(&response), qt.IsNil)
	b.c.Assert(response, qt.DeepEquals, envelope{ID: 1})
	b.c.Assert(conn.SetDeadline(time.Time{}), qt.IsNil)
	return conn
}
