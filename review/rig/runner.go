package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stream is how a runner answers a stream.
type stream struct {
	events int
	first  time.Duration
	gap    time.Duration
	// unframed is set for an answer without a length, which ends with its channel.
	unframed bool
}

// runner is a stand-in of a model runner. It serves one request at a time on a channel and as
// many at once as it has slots; it refuses others with Not-Run.
type runner struct {
	id      string
	address string
	slots   int
	stream  stream
	born    int64 // Unix milliseconds

	mu      sync.Mutex
	running int
	runs    map[string]*run // by Attempt-Id
	arrived []arrival
}

// arrival is the arrival of a request, also of one that is refused.
type arrival struct {
	id string
	at time.Time
}

// run is what a runner did for one request.
type run struct {
	count  int
	from   string // the other end of its channel
	events int    // that were sent
	whole  bool
}

// startRunner serves a runner on a free loopback port.
func startRunner(id string, slots int, s stream) *runner {
	r := &runner{id: id, slots: slots, stream: s, born: time.Now().UnixMilli(), runs: make(map[string]*run)}
	listener := listen()
	r.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

// seal returns the Runner-Seal of an answer.
func (r *runner) seal(attempt string) string { return r.id + "." + attempt }

// event returns an event of a stream.
func event(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 56))
}

// serve serves the requests on a channel.
func (r *runner) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt := q.Header.Get("Attempt-Id")
		head := func(status int, extra string) string {
			return fmt.Sprintf("HTTP/1.1 %d %s\r\nRunner-Id: %s\r\n%s", status, http.StatusText(status), r.id, extra)
		}
		empty := "Content-Length: 0\r\n\r\n"
		echo := "Attempt-Id: " + attempt + "\r\n"
		length := q.ContentLength
		if length > 0 {
			if _, err := reader.Discard(int(length)); err != nil {
				return
			}
		}
		switch {
		case q.URL.Path == "/healthz":
			fmt.Fprint(conn, head(200, empty))
			continue
		case q.URL.Path == "/v1/order":
			fmt.Fprint(conn, head(400, empty))
			continue
		case attempt == "":
			fmt.Fprint(conn, head(400, "Not-Run: 1\r\n"+empty))
			continue
		case q.Header.Get("Expect-Runner") != "" && q.Header.Get("Expect-Runner") != r.id:
			fmt.Fprint(conn, head(421, echo+empty))
			continue
		}
		running, ok := r.begin(attempt, conn.RemoteAddr().String())
		if !ok {
			record("%s: %s refused, full", r.id, attempt)
			fmt.Fprint(conn, head(503, echo+"Not-Run: 1\r\n"+empty))
			continue
		}
		record("%s: runs %s", r.id, attempt)
		keep := r.answer(conn, running, attempt, q.Header.Get("Last-Event-Id"), head(200, echo))
		r.end(running, attempt)
		if !keep {
			return
		}
	}
}

func (r *runner) begin(attempt, from string) (*run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived = append(r.arrived, arrival{attempt, time.Now()})
	if r.running >= r.slots {
		return nil, false
	}
	r.running++
	known := r.runs[attempt]
	if known == nil {
		known = &run{}
		r.runs[attempt] = known
	}
	known.count++
	known.from = from
	return known, true
}

func (r *runner) end(of *run, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	record("%s: run of %s ends, %d of %d events sent, whole %v", r.id, attempt, of.events, r.stream.events, of.whole)
}

// seen returns what the runner did for a request.
func (r *runner) seen(attempt string) run {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.runs[attempt]; known != nil {
		return *known
	}
	return run{}
}

// arrivals returns the arrivals of requests so far.
func (r *runner) arrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrived)
}

// cameFrom returns the other end of the channel on which the runner last got a request.
func (r *runner) cameFrom(attempt string) string { return r.seen(attempt).from }

// answer sends the stream from the event after the last one that the client has, and reports
// whether the channel stays open. It stops when the channel is closed by the other side.
func (r *runner) answer(conn net.Conn, of *run, attempt, lastID, head string) bool {
	from, _ := strconv.Atoi(lastID)
	head += "Runner-Seal: " + r.seal(attempt) + "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
	if r.stream.unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	time.Sleep(r.stream.first)
	if _, err := fmt.Fprint(conn, head); err != nil {
		return false
	}
	for n := from + 1; n <= r.stream.events; n++ {
		text := event(n)
		if !r.stream.unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := fmt.Fprint(conn, text); err != nil {
			return false
		}
		r.mu.Lock()
		of.events = n
		r.mu.Unlock()
		if n < r.stream.events {
			time.Sleep(r.stream.gap)
		}
	}
	r.mu.Lock()
	of.whole = true
	r.mu.Unlock()
	if r.stream.unframed {
		return false
	}
	_, err := fmt.Fprint(conn, "0\r\n\r\n")
	return err == nil
}

// publish writes the runner's item in the store, with the address at which it is reached.
func (r *runner) publish(s *store, address string) { r.publishCold(s, address, 0) }

// publishCold is publish for a runner that is cold for a time.
func (r *runner) publishCold(s *store, address string, coldFor time.Duration) {
	s.put("servers/"+r.id, map[string]any{
		"Service": modelService, "Addr": address, "Zone": "zone-a", "Version": "v1", "Slots": r.slots, "State": "ready",
		"ColdLeftMs": coldFor.Milliseconds(), "Stage": "both", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}},
		"Seq": 0, "born": r.born,
	})
}
