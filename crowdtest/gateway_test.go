package crowdtest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/mesh"
	"greengagedock.example/platform"
	"greengagedock.example/platform/platformtest"
	"greengagedock.example/porttest"
)

// What the settings of the entry under test state: its machine has this memory and these
// descriptors.
const (
	gatewayMemoryMB    = 96
	gatewayDescriptors = 1200
	gatewayClients     = 400
	silentClients      = 1500
	peerClients        = 150
	gatewayBodyBytes   = 1 << 20
)

var gatewayBounds = bounds{memory: gatewayMemoryMB << 20, descriptors: gatewayDescriptors}

// host is the host of all routes.
const host = "crowd.example"

const (
	gatewayKey = "crowd-key"
	// callLimit is how long a client waits for an answer, and heldLimit how long those that
	// hold the places of all servers.
	callLimit = 5 * time.Second
	heldLimit = 60 * time.Second
)

// gateway is an entry as a process, its store and its one backend server.
type gateway struct {
	process *process
	port    int
	store   *platformtest.Store
	// storeAddress is the address of the store.
	storeAddress string
	server       *service
}

// Offsets of the ports.
const (
	portCallers = iota
	portReadiness
	portPeers
	portDirectory
	portFirstOwn
	portMetrics
	gatewayPorts
)

func (g *gateway) address(offset int) string { return loopback(g.port + offset) }

// service is a backend server with few places: requests for /held/ keep theirs until release is
// closed or the entry disconnects, /big/ is answered with bigAnswer, and all others with their id.
type service struct{ release chan struct{} }

// bigAnswer is an answer that fits into no buffer of a socket.
var bigAnswer = strings.Repeat("answer. ", 30_000)

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Runner-Id", "s-1")
	if r.URL.Path == platform.HealthPath {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Runner-Seal", "s-1")
	_, _ = io.Copy(io.Discard, r.Body)
	switch {
	case strings.HasPrefix(r.URL.Path, "/held/"):
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
	case strings.HasPrefix(r.URL.Path, "/big/"):
		_, _ = io.WriteString(w, bigAnswer)
		return
	}
	_, _ = io.WriteString(w, platformtest.ResponseBody(id))
}

// startGateway starts an entry on the users' platform and waits until it is ready.
func startGateway(t *testing.T) *gateway {
	c := qt.New(t)
	g := &gateway{store: platformtest.NewStore(), server: &service{release: make(chan struct{})}}
	platformServer := httptest.NewServer(g.store)
	c.Cleanup(platformServer.Close)
	server := httptest.NewServer(g.server)
	c.Cleanup(server.Close)
	c.Cleanup(server.CloseClientConnections)
	g.publish(server.Listener.Addr().String())
	g.storeAddress = platformServer.Listener.Addr().String()
	g.start(c, "entry-1")
	await(c, "first ordinary request", g.call)
	return g
}

// start starts the entry, which knows others by their seeds, and waits until it is ready.
func (g *gateway) start(c *qt.C, name string, seeds ...string) {
	port, err := porttest.Reserve(gatewayPorts)
	c.Assert(err, qt.IsNil)
	g.port = port
	path := filepath.Join(c.TempDir(), "settings.json")
	c.Assert(os.WriteFile(path, g.settings(c, name, seeds), 0o600), qt.IsNil)
	g.process = startProcess(c, []string{platform.SettingsVariable + "=" + path}, "gateway")
	await(c, "entry ready", func() error { return get("http://"+g.address(portReadiness)+"/v1/ready", http.StatusOK) })
}

// settings returns the settings of an entry.
func (g *gateway) settings(c *qt.C, name string, seeds []string) []byte {
	text, err := json.Marshal(map[string]any{
		"Node": name, "Ip": "127.0.0.1", "Zone": "a", "Region": "r",
		"Listen": map[string]any{
			"Front": g.address(portCallers), "Ready": g.address(portReadiness), "Control": g.address(portPeers), "Directory": g.address(portDirectory),
		},
		"InternalPortRange": []int{g.port + portFirstOwn, g.port + portMetrics},
		"Seeds":             append(seeds, g.address(portPeers)),
		"Limits":            map[string]any{"MemoryMb": gatewayMemoryMB, "MaxFds": gatewayDescriptors, "CpuShare": 1, "Cores": 1},
		"Bounds":            map[string]any{"GraceS": 8, "RetryRatio": 0.2, "RetrySlack": 100, "RetryWindowS": 10, "stall_ms": 1500, "ttl_max_s": 5},
		"Platform":          map[string]any{"Addr": g.storeAddress},
	})
	c.Assert(err, qt.IsNil)
	return text
}

// publish publishes a configuration whose limits on time let a crowd stay until it leaves.
func (g *gateway) publish(server string) {
	route := func(prefix, kind, service string, limit time.Duration) map[string]any {
		return map[string]any{
			"Name": prefix, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": limit.Milliseconds(), "GoalMs": 300, "Service": service, "Attempts": 2, "GapAimMs": 250,
		}
	}
	g.store.PublishServer("s-1", server, false, false, 0, 1)
	g.store.Put("op/config", map[string]any{
		"Version": 1,
		"Routes": []any{
			route("/call/", "idempotent", "desk", heldLimit), route("/held/", "non_idempotent", "desk", heldLimit), route("/big/", "idempotent", "desk", heldLimit),
			route("/faulty/", "non_idempotent", "faulty", heldLimit), route("/faulty/stream/", "stream", "faulty", heldLimit),
		},
		"Services": []any{
			map[string]any{"Name": "desk", "MaxConns": 100},
			map[string]any{"Name": "faulty", "MaxConns": 2 * gatewayClients},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": maxHeaderBytes, "MaxBodyBytes": gatewayBodyBytes, "HeaderTimeoutMs": 60_000, "IdleTimeoutMs": 60_000},
		"Tenants": []any{map[string]any{"Name": "t", "ApiKeys": []string{gatewayKey}}},
	})
}

// client opens a connection for each request, as callers do after a failure.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * callLimit}

// get expects a status from a URL.
func get(url string, status int) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != status {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

var requestCount atomic.Int64

// fields returns the header lines of an ordinary call that is answered within a time.
func fields(limit time.Duration) []string {
	return []string{
		fmt.Sprintf("Attempt-Id: %016x", requestCount.Add(1)),
		"Authorization: Bearer " + gatewayKey,
		fmt.Sprintf("Deadline-Ms: %d", limit.Milliseconds()),
	}
}

// call sends an ordinary request and expects its whole answer.
func (g *gateway) call() error { return g.callWith(nil, "") }

// callWith sends a request with further header lines and a body, and expects its whole answer.
func (g *gateway) callWith(more http.Header, body string) error { return g.send("/call/x", more, body) }

// send is callWith for another path.
func (g *gateway) send(path string, more http.Header, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.address(portCallers)+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Host = host
	for name, values := range more {
		r.Header[name] = values
	}
	for _, field := range fields(callLimit) {
		name, value, _ := strings.Cut(field, ": ")
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	want := platformtest.ResponseBody(r.Header.Get("Attempt-Id"))
	if path == readyPath {
		want = ""
	}
	if response.StatusCode != http.StatusOK || string(text) != want {
		return fmt.Errorf("status %d, %q", response.StatusCode, text)
	}
	return nil
}

// Guards against the end of an entry that runs out of memory: heads of callers that are legal,
// too long or without an end.
func TestCrowdGatewayHeadsOfCallers(t *testing.T) {
	for _, crowd := range headCrowds(gatewayClients, "/call/x", func(int) []string { return fields(heldLimit) }) {
		t.Run(crowd.name, func(t *testing.T) {
			g := startGateway(t)
			g.process.play(crowd, g.address(portCallers), gatewayBounds, g.call)
		})
	}
}

// Guards against the end of an entry by whole requests with legal heads that wait for a place
// at a server.
func TestCrowdGatewayHeadsOfWaitingRequests(t *testing.T) {
	for _, kind := range lineKinds {
		t.Run(string(kind)+"_lines", func(t *testing.T) {
			g := startGateway(t)
			g.process.play(crowd{clients: gatewayClients, servers: true, send: func(conn net.Conn, _ int) error {
				return write(conn, legalHead(kind, "GET", "/held/x", fields(heldLimit)...), "\r\n")
			}}, g.address(portCallers), gatewayBounds, g.call)
		})
	}
}

// Guards against a head that escapes what is reserved for it: a second request that begins in
// what was read with the first one.
func TestCrowdGatewayHeadsBehindAnotherRequest(t *testing.T) {
	g := startGateway(t)
	g.process.play(crowd{clients: gatewayClients, servers: true, send: func(conn net.Conn, _ int) error {
		first := "GET /call/x HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(fields(heldLimit), "\r\n") + "\r\n\r\n"
		return write(conn, first+legalHead(lineValued, "GET", "/held/x", fields(heldLimit)...)+"\r\n")
	}}, g.address(portCallers), gatewayBounds, g.call)
}

// Guards against the same at the other listeners of an entry.
func TestCrowdGatewayHeadsAtOtherListeners(t *testing.T) {
	for _, listener := range []struct {
		name   string
		offset int
		path   string
	}{
		{"directory", portDirectory, "/v1/resolve?Name=" + host + "&Region=r&Zone=a"},
		{"readiness", portReadiness, "/v1/ready"},
		{"metrics", portMetrics, "/metrics"},
	} {
		for _, crowd := range headCrowds(gatewayClients, listener.path, func(int) []string { return nil }) {
			t.Run(listener.name+"/"+crowd.name, func(t *testing.T) {
				g := startGateway(t)
				g.process.play(crowd, g.address(listener.offset), gatewayBounds, func() error {
					return errorsOf(get("http://"+g.address(listener.offset)+listener.path, http.StatusOK), g.call())
				})
			})
		}
	}
}

// Guards against more descriptors than an entry has: connections on which nothing is sent.
func TestCrowdGatewaySilentConnections(t *testing.T) {
	for _, listener := range []struct {
		name   string
		offset int
	}{
		{"callers", portCallers}, {"directory", portDirectory}, {"readiness", portReadiness}, {"metrics", portMetrics}, {"peers", portPeers},
	} {
		t.Run(listener.name, func(t *testing.T) {
			g := startGateway(t)
			g.process.play(silentCrowd(silentClients), g.address(listener.offset), gatewayBounds, func() error {
				return errorsOf(g.call(), g.callPeer())
			})
		})
	}
}

// callPeer calls the entry as another one does, with a kind of call that it refuses.
func (g *gateway) callPeer() error {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	var peers mesh.Client
	defer peers.Drop(g.address(portPeers))
	var reply any
	if err := peers.Call(ctx, g.address(portPeers), "unknown", "", &reply); !errors.Is(err, mesh.ErrRefused) {
		return fmt.Errorf("call of a peer: %w", err)
	}
	return nil
}

// Guards against the end of an entry by bodies: parts of legal bodies whose rest is awaited.
func TestCrowdGatewayBodies(t *testing.T) {
	for _, crowd := range []crowd{
		{name: "rest_awaited", clients: gatewayClients, send: func(conn net.Conn, _ int) error {
			head := "POST /call/x HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(fields(heldLimit), "\r\n") + "\r\nContent-Length: " + strconv.Itoa(gatewayBodyBytes)
			return errorsOf(write(conn, head, "\r\n\r\n"), write(conn, strings.Repeat("b", gatewayBodyBytes-1)))
		}},
		{name: "chunks_of_one_byte", clients: gatewayClients, send: func(conn net.Conn, _ int) error {
			head := "POST /call/x HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(fields(heldLimit), "\r\n") + "\r\nTransfer-Encoding: chunked"
			return errorsOf(write(conn, head, "\r\n\r\n"), write(conn, strings.Repeat("1\r\nb\r\n", 100_000)))
		}},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			g := startGateway(t)
			g.process.play(crowd, g.address(portCallers), gatewayBounds, func() error { return g.callWith(nil, strings.Repeat("b", 1000)) })
		})
	}
}

// Guards against parts of the memory that are bounded one by one but too large together: bodies,
// heads, requests that wait for a place and connections at once, again and again.
func TestCrowdGatewayAllAtOnce(t *testing.T) {
	g := startGateway(t)
	for range 4 {
		g.process.play(crowd{clients: 2 * gatewayClients, servers: true, send: func(conn net.Conn, n int) error {
			switch n % 4 {
			case 0:
				head := "POST /call/x HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(fields(heldLimit), "\r\n") + "\r\nContent-Length: " + strconv.Itoa(gatewayBodyBytes)
				return errorsOf(write(conn, head, "\r\n\r\n"), write(conn, strings.Repeat("b", gatewayBodyBytes-1)))
			case 1:
				return write(conn, legalHead(lineValued, "GET", "/held/x", fields(heldLimit)...), "\r\n")
			case 2:
				return write(conn, legalHead(lineShort, "GET", "/call/x", fields(heldLimit)...))
			default:
				return nil
			}
		}}, g.address(portCallers), gatewayBounds, g.call)
	}
}

// Guards against bodies that are awaited and keep those of others out: one of the largest size is
// served beside a crowd that holds the memory of all bodies.
func TestCrowdGatewayBodiesMakeRoom(t *testing.T) {
	for _, framing := range []string{"Content-Length: 1000", "Transfer-Encoding: chunked"} {
		name, _, _ := strings.Cut(framing, "-")
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			g.process.play(crowd{clients: gatewayClients, send: func(conn net.Conn, n int) error {
				head := "POST /call/x HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(fields(heldLimit), "\r\n") + "\r\n"
				if n%4 == 0 {
					return write(conn, head+framing+"\r\n\r\n")
				}
				return errorsOf(write(conn, head+"Content-Length: "+strconv.Itoa(gatewayBodyBytes)+"\r\n\r\n"), write(conn, strings.Repeat("b", gatewayBodyBytes/2)))
			}}, g.address(portCallers), gatewayBounds, func() error { return g.callWith(nil, strings.Repeat("b", gatewayBodyBytes)) })
		})
	}
}

// Guards against bodies that are awaited for ever: their memory is there again once the time
// that their callers stated is over, although these stay connected.
func TestCrowdGatewayAwaitedBodiesEnd(t *testing.T) {
	g := startGateway(t)
	guests := crowd{clients: gatewayClients, send: func(conn net.Conn, _ int) error {
		head := "POST /call/x HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(fields(time.Second), "\r\n") + "\r\nContent-Length: " + strconv.Itoa(gatewayBodyBytes)
		return errorsOf(write(conn, head, "\r\n\r\n"), write(conn, strings.Repeat("b", gatewayBodyBytes-1)))
	}}.join(g.address(portCallers))
	defer guests.leave()
	await(g.process.c, "a request with a body beside the crowd", func() error {
		return g.callWith(nil, strings.Repeat("b", gatewayBodyBytes))
	})
	g.process.check(gatewayBounds)
}

// Guards against the end of an entry by answers that nobody reads.
func TestCrowdGatewayUnreadAnswers(t *testing.T) {
	g := startGateway(t)
	g.process.play(crowd{clients: gatewayClients, unread: true, send: func(conn net.Conn, _ int) error {
		for range 20 {
			head := "GET /big/x HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(fields(heldLimit), "\r\n") + "\r\n\r\n"
			if err := write(conn, head); err != nil {
				return err
			}
		}
		return nil
	}}, g.address(portCallers), gatewayBounds, g.call)
}

// Guards against the end of an entry at the listener for other entries: messages of which the
// rest is awaited, and calls whose answers nobody reads.
func TestCrowdGatewayPeers(t *testing.T) {
	const (
		claimed = 4 << 20
		sent    = 3 << 20
	)
	for _, crowd := range []crowd{
		{name: "message_awaited", clients: peerClients, send: func(conn net.Conn, _ int) error {
			// An array of five, an id, and a kind of a length.
			return write(conn, "\x95\x01\xdb"+string([]byte{claimed >> 24, claimed >> 16 & 0xff, claimed >> 8 & 0xff, claimed & 0xff}), strings.Repeat("k", sent))
		}},
		{name: "message_of_short_values", clients: peerClients, send: func(conn net.Conn, _ int) error {
			// The fifth field is an array of as many texts of one byte.
			const n = claimed / 2
			return write(conn, "\x95\x01\xa1k\xa0\xc0\xdd"+string([]byte{n >> 24, n >> 16 & 0xff, n >> 8 & 0xff, n & 0xff}), strings.Repeat("\xa1a", n))
		}},
		{name: "answers_unread", clients: peerClients / 3, unread: true, send: func(conn net.Conn, _ int) error {
			return repeat(conn, "\x94\x01\xa9heartbeat\xa0\xc0", endlessBytes/16)
		}},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			g := startGateway(t)
			g.process.play(crowd, g.address(portPeers), gatewayBounds, func() error { return errorsOf(g.call(), g.callPeer()) })
		})
	}
}

// Guards against limits that a client inside the limits meets: in calm, a request whose head is
// of the largest size is served, whatever its lines are, and so is the largest body.
func TestCrowdGatewayServesLargestRequestInCalm(t *testing.T) {
	c := qt.New(t)
	g := startGateway(t)
	for _, kind := range lineKinds {
		head := legalHead(kind, "GET", "/call/x", append(fields(callLimit), "Connection: close")...)
		head += "Fill: " + strings.Repeat("f", maxHeaderBytes-len(head)-len("Fill: \r\n\r\n")) + "\r\n\r\n"
		c.Assert(head, qt.HasLen, maxHeaderBytes)
		conn, err := net.Dial("tcp", g.address(portCallers))
		c.Assert(err, qt.IsNil)
		c.Assert(write(conn, head), qt.IsNil)
		answer, err := io.ReadAll(conn)
		conn.Close()
		c.Assert(err, qt.IsNil)
		c.Check(strings.HasPrefix(string(answer), "HTTP/1.1 200 OK\r\n"), qt.IsTrue, qt.Commentf("%s: %.200s", kind, answer))
	}
	c.Assert(g.callWith(nil, strings.Repeat("b", gatewayBodyBytes)), qt.IsNil)
	g.process.check(gatewayBounds)
}
