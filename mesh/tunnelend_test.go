package mesh

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"greengagedock.example/timer"
	"greengagedock.example/upstream"
)

// bodyFraming is how a server states where its response's body ends.
type bodyFraming string

const (
	withLength   bodyFraming = "length"
	inChunks     bodyFraming = "chunked"
	byConnection bodyFraming = "none"
)

// tunnelEnding is what ends a response that passes a tunnel.
type tunnelEnding string

const (
	serverCloses   tunnelEnding = "server closes"
	serverResets   tunnelEnding = "server resets"
	relayKilled    tunnelEnding = "relay killed"
	relayStopped   tunnelEnding = "relay stopped"
	listenerClosed tunnelEnding = "relay's listener closed"
	callPanicked   tunnelEnding = "relay contains a panic"
)

const (
	firstHalf  = "id: 1\ndata: first\n\n"
	secondHalf = "id: 2\ndata: second\n\n"
)

// killableProxy passes the connections to an entry on. When it is killed, it ends them as the
// system does those of a killed process.
type killableProxy struct {
	address string
	mu      sync.Mutex
	conns   []*net.TCPConn
}

func newKillableProxy(c *qt.C, target string) *killableProxy {
	listener := listen(c)
	p := &killableProxy{address: listener.Addr().String()}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				from.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, from.(*net.TCPConn), to.(*net.TCPConn))
			p.mu.Unlock()
			go passRaw(to, from)
			go passRaw(from, to)
		}
	}()
	return p
}

func (p *killableProxy) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.CloseWrite()
		conn.Close()
	}
}

// passRaw passes bytes on with their end, as an entry without frames does.
func passRaw(to, from net.Conn) {
	if _, err := io.Copy(to, from); err != nil {
		reset(to)
		return
	}
	_ = to.(*net.TCPConn).CloseWrite()
}

// serveEarlierTunnel serves one tunnel as an entry of a version without frames.
func serveEarlierTunnel(conn net.Conn) {
	var call envelope
	if msgpack.NewDecoder(&byteReader{r: conn}).Decode(&call) != nil {
		return
	}
	var address string
	if msgpack.Unmarshal(call.Body, &address) != nil {
		return
	}
	server, err := net.Dial("tcp", address)
	if err != nil || writeEnvelope(conn, envelope{ID: call.ID}) != nil || conn.SetDeadline(time.Time{}) != nil {
		return
	}
	go passRaw(server, conn)
	passRaw(conn, server)
}

// tunnelNetwork reaches all servers through an entry.
type tunnelNetwork struct {
	upstream.Dialer
	relay string
}

func (n tunnelNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := OpenTunnel(ctx, n.Dialer, n.relay, address)
	if err != nil {
		return nil, err
	}
	return relayedConn{conn.(tunnel), n.relay}, nil
}

// plainHeaders states no metadata.
type plainHeaders struct{}

func (plainHeaders) EncodeRequest(http.Header, upstream.RequestMetadata) {}

func (plainHeaders) DecodeResponse(int, http.Header) upstream.ResponseMetadata {
	return upstream.NewResponseMetadata("")
}

// tunnelEndingCase is one way in which a response that passes a tunnel ends.
type tunnelEndingCase struct {
	framing      bodyFraming
	ending       tunnelEnding
	earlierRelay bool
}

// read returns what a request through the tunnel gets of its response, and the error at its end.
func (e tunnelEndingCase) read(t *testing.T) (string, error) {
	finish := make(chan struct{})
	b := newTunnelBed(t, func(conn *net.TCPConn) {
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, e.head()+e.part(firstHalf))
		<-finish
		if e.ending == serverResets {
			_ = conn.SetLinger(0)
			return
		}
		_, _ = io.WriteString(conn, e.part(secondHalf)+e.end())
	})
	entry := b.address
	if e.earlierRelay {
		listener := listen(b.c)
		entry = listener.Addr().String()
		go func() {
			if conn, err := listener.Accept(); err == nil {
				serveEarlierTunnel(conn)
			}
		}()
	}
	relay := newKillableProxy(b.c, entry)
	client := upstream.NewClient(plainHeaders{}, &timer.Service{}, upstream.Dialer{})
	client.SetNetwork(tunnelNetwork{relay: relay.address})
	request := upstream.NewRequest("", http.MethodGet, "/", "host", http.Header{}, nil)
	response, err := client.Send(context.Background(), b.server, request, upstream.NewRequestMetadata("i-1", "", time.Second))
	b.c.Assert(err, qt.IsNil)
	defer response.Close()
	first := make([]byte, len(firstHalf))
	_, err = io.ReadFull(response, first)
	b.c.Assert(err, qt.IsNil)
	switch e.ending {
	case relayKilled:
		relay.kill()
		defer close(finish)
	case relayStopped:
		b.entry.Close()
		defer close(finish)
	case listenerClosed:
		b.closeListener()
		close(finish)
	case callPanicked:
		var reply string
		_ = NewClient(upstream.Dialer{}).Call(context.Background(), b.address, "panic", "", &reply)
		close(finish)
	default:
		close(finish)
	}
	rest, err := io.ReadAll(response)
	return string(first) + string(rest), err
}

func (e tunnelEndingCase) head() string {
	head := "HTTP/1.1 200 OK\r\n"
	switch e.framing {
	case withLength:
		head += "Content-Length: " + strconv.Itoa(len(firstHalf+secondHalf)) + "\r\n"
	case inChunks:
		head += "Transfer-Encoding: chunked\r\n"
	case byConnection:
		head += "Connection: close\r\n"
	}
	return head + "\r\n"
}

func (e tunnelEndingCase) part(body string) string {
	if e.framing == inChunks {
		return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return body
}

func (e tunnelEndingCase) end() string {
	if e.framing == inChunks {
		return "0\r\n\r\n"
	}
	return ""
}

// Guards against MIXED and ORDER: a response that is cut because the relay of its tunnel ends
// must not look whole, however its body is framed and whichever version the relay has.
func TestResponseCutAtRelayIsNotWhole(t *testing.T) {
	for _, framing := range []bodyFraming{withLength, inChunks, byConnection} {
		for _, ending := range []tunnelEnding{serverCloses, serverResets, relayKilled, relayStopped, listenerClosed, callPanicked} {
			for _, earlier := range []bool{false, true} {
				ofCurrentRelay := ending == relayStopped || ending == listenerClosed || ending == callPanicked
				if earlier && ofCurrentRelay {
					continue
				}
				test := tunnelEndingCase{framing, ending, earlier}
				t.Run(strings.ReplaceAll(fmt.Sprintf("%s/%s/earlier=%v", framing, ending, earlier), " ", "_"), func(t *testing.T) {
					c := qt.New(t)
					body, err := test.read(t)
					cut := ending == serverResets || ending == relayKilled || ending == relayStopped
					// Through an earlier relay, the end of the server's connection can't be told
					// from that of the relay.
					unknown := earlier && framing == byConnection
					c.Check(err != nil, qt.Equals, cut || unknown, qt.Commentf("%q: %v", body, err))
					if !cut {
						c.Check(body, qt.Equals, firstHalf+secondHalf)
					}
				})
			}
		}
	}
}

// Guards against MIXED while versions differ: an entry without frames gets the server's bytes
// as they are, and a reset when the relay stops before them.
func TestEarlierEntryGetsTunnelWithoutFrames(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		b := newTunnelBed(t, func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, firstHalf)
			if !stopped {
				conn.Close()
			}
		})
		conn := b.openAsEarlierEntry()
		received := make([]byte, len(firstHalf))
		_, err := io.ReadFull(conn, received)
		b.c.Assert(err, qt.IsNil)
		b.c.Assert(string(received), qt.Equals, firstHalf)
		if stopped {
			b.entry.Close()
		}
		_, err = conn.Read(received)
		b.c.Assert(err == io.EOF, qt.Equals, !stopped, qt.Commentf("%v", err))
	}
}

// Guards against a response that is taken for that of the next request: bytes that follow one
// in the same frame are not seen on the connection.
func TestBytesLeftInFrameAreUnread(t *testing.T) {
	b := newTunnelBed(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "answer and more")
		conn.Close()
	})
	conn := relayedConn{b.open().(tunnel), b.address}
	first := make([]byte, len("answer"))
	_, err := io.ReadFull(conn, first)
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(conn.HasUnread(), qt.IsTrue)
	rest, err := io.ReadAll(conn)
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(string(rest), qt.Equals, " and more")
}
