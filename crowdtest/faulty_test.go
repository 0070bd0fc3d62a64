package crowdtest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/platform"
)

// faultyAnswer is bytes that are no whole answer: a beginning and a text that is repeated, without
// end or up to a number of bytes, after which nothing comes.
type faultyAnswer struct {
	name      string
	path      string
	beginning string
	repeated  string
	bytes     int // 0 for no end
}

const (
	faultyHead   = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nRunner-Seal: s\r\n"
	faultyStream = faultyHead + "Content-Type: text/event-stream\r\n"
	chunked      = "Transfer-Encoding: chunked\r\n\r\n"
)

var faultyAnswers = []faultyAnswer{
	{"head_lines", "/faulty/", faultyHead, "A: b\r\n", 0},
	{"head_lines_held", "/faulty/", faultyHead, "A: b\r\n", 120 << 10},
	{"head_line", "/faulty/", faultyHead + "A: ", "b", 0},
	{"head_line_held", "/faulty/", faultyHead + "A: ", "b", 120 << 10},
	{"interim", "/faulty/", "", "HTTP/1.1 103 X\r\n\r\n", 0},
	{"no_answer", "/faulty/", "", "\x00", 0},
	{"other_answers_body", "/faulty/", "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n", "x", 0},
	{"body", "/faulty/", faultyHead + "\r\n", "x", 0},
	{"body_held", "/faulty/", faultyHead + "\r\n", "x", 250 << 10},
	{"chunked_body_held", "/faulty/", faultyHead + chunked, "1\r\nx\r\n", 1200 << 10},
	{"chunk_extension", "/faulty/", faultyHead + chunked + "1;", "x", 0},
	{"trailer", "/faulty/", faultyHead + chunked + "0\r\n", "A: b\r\n", 0},
	{"refusal", "/faulty/", "HTTP/1.1 503 X\r\nAttempt-Id: ID\r\nNot-Run: 1\r\n\r\n", "x", 0},
	{"event", "/faulty/stream/", faultyStream + "\r\nid: 1\ndata: ", "x", 0},
	{"event_held", "/faulty/stream/", faultyStream + "\r\nid: 1\ndata: ", "x", 250 << 10},
	{"comments", "/faulty/stream/", faultyStream + "\r\n", ":\n\n", 0},
	{"chunked_event_held", "/faulty/stream/", faultyStream + chunked, "1\r\nx\r\n", 1200 << 10},
}

// faultyServers give an answer to all requests at once, some time after the first.
type faultyServers struct {
	answer   faultyAnswer
	requests atomic.Int64
	first    sync.Once
	answers  chan struct{} // closed when the answers begin
}

// gatherTime is the time from the first request of a crowd until all are answered.
const gatherTime = time.Second

// faultyServerCount is the number of servers, which together take a request of each client.
const faultyServerCount = 8

// readyPath is the path of a request that the server answers as it should.
const readyPath = "/faulty/ready"

// listen starts one of the servers and returns its address.
func (s *faultyServers) listen(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (s *faultyServers) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == platform.HealthPath || r.URL.Path == readyPath {
		_ = write(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nRunner-Seal: s\r\nRunner-Id: f\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return
	}
	s.respond(conn, id)
}

// respond gives the answer to a request with an id on its connection, which is then closed.
func (s *faultyServers) respond(conn net.Conn, id string) {
	defer conn.Close()
	s.requests.Add(1)
	s.first.Do(func() { time.AfterFunc(gatherTime, func() { close(s.answers) }) })
	<-s.answers
	text := strings.Repeat(s.answer.repeated, max(1, 4096/len(s.answer.repeated)))
	err := write(conn, strings.ReplaceAll(s.answer.beginning, "ID", id))
	for sent := 0; err == nil && (s.answer.bytes == 0 || sent < s.answer.bytes); sent += len(text) {
		err = write(conn, text)
	}
	if err == nil {
		_, _ = conn.Read(make([]byte, 1)) // returns when the entry closes the connection
	}
}

// Guards against the end of an entry that keeps what faulty servers send: bytes that are no
// answer, without end or as many as it takes of them, in the answers to many requests at once.
func TestCrowdGatewayFaultyServers(t *testing.T) {
	for _, answer := range faultyAnswers {
		t.Run(answer.name, func(t *testing.T) {
			g := startGateway(t)
			servers := &faultyServers{answer: answer, answers: make(chan struct{})}
			// A scheduler that sees only a part of the servers' load gives out a quarter of their places.
			for n := range faultyServerCount {
				g.store.Put(fmt.Sprint("servers/f-", n), map[string]any{
					"Service": "faulty", "Addr": servers.listen(g.process.c), "Zone": "a", "Version": "v1", "Slots": 4 * gatewayClients / faultyServerCount, "State": "ready", "Seq": 1, "born": 1,
				})
			}
			await(g.process.c, "faulty servers in use", func() error { return g.send(readyPath, nil, "") })
			g.process.play(crowd{clients: gatewayClients, send: func(conn net.Conn, _ int) error {
				err := write(conn, "POST "+answer.path+"x HTTP/1.1\r\nHost: "+host+"\r\nContent-Length: 0\r\n", strings.Join(fields(heldLimit), "\r\n")+"\r\n\r\n")
				<-servers.answers
				return err
			}}, g.address(portCallers), gatewayBounds, g.call)
			t.Logf("%d requests", servers.requests.Load())
		})
	}
}
