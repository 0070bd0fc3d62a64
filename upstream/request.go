package upstream

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// PrefillWorker is a server that prefills a part of a prompt, in KV memory that
// may have been reserved there.
type PrefillWorker struct {
	address     string
	reservation string
}

// NewPrefillWorker returns a worker at an IP and port; the reservation may be empty.
func NewPrefillWorker(address, reservation string) PrefillWorker {
	return PrefillWorker{address: address, reservation: reservation}
}

// Address returns the worker's IP and port.
func (w PrefillWorker) Address() string { return w.address }

// Reservation returns the id of the KV reservation at the worker, empty for none.
func (w PrefillWorker) Reservation() string { return w.reservation }

// RequestMetadata is what an entry states about a request that it sends to a backend server.
type RequestMetadata struct {
	account        string
	server         string
	timeLeft       time.Duration
	lastEventID    string
	prefillWorkers []PrefillWorker
	priority       int
}

// NewRequestMetadata returns the metadata of a request to the server's
// incarnation for a client account, which may be empty.
func NewRequestMetadata(server, account string, timeLeft time.Duration) RequestMetadata {
	return RequestMetadata{server: server, account: account, timeLeft: timeLeft, priority: -1}
}

// WithLastEventID returns the metadata with the id of the event after which a stream resumes.
func (m RequestMetadata) WithLastEventID(id string) RequestMetadata {
	m.lastEventID = id
	return m
}

// WithPrefillWorkers returns the metadata with the servers that prefill parts of the prompt.
func (m RequestMetadata) WithPrefillWorkers(workers ...PrefillWorker) RequestMetadata {
	m.prefillWorkers = workers
	return m
}

// reserves reports whether the request holds memory at other servers.
func (m RequestMetadata) reserves() bool {
	return slices.ContainsFunc(m.prefillWorkers, func(w PrefillWorker) bool { return w.reservation != "" })
}

// WithPriority returns the metadata with the priority at the server; 0 is the most urgent.
func (m RequestMetadata) WithPriority(priority int) RequestMetadata {
	m.priority = priority
	return m
}

// Account returns the client account's name.
func (m RequestMetadata) Account() string { return m.account }

// Server returns the id of the server's incarnation.
func (m RequestMetadata) Server() string { return m.server }

// TimeLeft returns how long the caller still waits.
func (m RequestMetadata) TimeLeft() time.Duration { return m.timeLeft }

// LastEventID returns the id of the event after which a stream resumes, empty for its start.
func (m RequestMetadata) LastEventID() string { return m.lastEventID }

// PrefillWorkers returns the servers that prefill parts of the prompt.
func (m RequestMetadata) PrefillWorkers() []PrefillWorker { return m.prefillWorkers }

// Priority returns the priority at the server, -1 for the server's default.
func (m RequestMetadata) Priority() int { return m.priority }

// ResponseMetadata is what a backend server states about a response in headers of the platform.
type ResponseMetadata struct {
	attemptID    string
	notRun       bool
	misdirected  bool
	faultAddress string
	keepAlive    time.Duration
	leaving      bool
	retryAfter   time.Duration
	// retryProblem is why the stated time is not used as it is.
	retryProblem string
	// rateLimit is the stated limit in requests a second if hasRateLimit is set.
	rateLimit    float64
	hasRateLimit bool
	// rateLimitProblem is why the stated limit can't be used.
	rateLimitProblem string
	load             ServerLoad
	hasLoad          bool
}

// ServerLoad is how many requests a backend server has, as it states in a response.
type ServerLoad struct {
	running int
	waiting int
	slots   int
}

// NewServerLoad returns a load of running and waiting requests at a server with so many slots.
func NewServerLoad(running, waiting, slots int) ServerLoad {
	return ServerLoad{running: running, waiting: waiting, slots: slots}
}

// Running returns the number of requests that have a slot.
func (l ServerLoad) Running() int { return l.running }

// Waiting returns the number of requests that wait for a slot.
func (l ServerLoad) Waiting() int { return l.waiting }

// Slots returns the number of slots.
func (l ServerLoad) Slots() int { return l.slots }

// NewResponseMetadata returns the metadata of a response to the attempt.
func NewResponseMetadata(attemptID string) ResponseMetadata {
	return ResponseMetadata{attemptID: attemptID}
}

// WithNotRun returns the metadata of a request that did not run: misdirected if
// another incarnation has the address, and with the address of the server that
// caused the failure if that is another one.
func (m ResponseMetadata) WithNotRun(misdirected bool, faultAddress string) ResponseMetadata {
	m.notRun, m.misdirected, m.faultAddress = true, misdirected, faultAddress
	return m
}

// WithKeepAlive returns the metadata with the time for which the server keeps an
// idle connection open, 0 if not stated.
func (m ResponseMetadata) WithKeepAlive(d time.Duration) ResponseMetadata {
	m.keepAlive = d
	return m
}

// WithLeaving returns the metadata with whether the server takes no new requests until its end.
func (m ResponseMetadata) WithLeaving(leaving bool) ResponseMetadata {
	m.leaving = leaving
	return m
}

// WithRetryAfter returns the metadata with the time for which the server wants no
// requests, 0 if it states none, and with why a stated value is not used as it is.
func (m ResponseMetadata) WithRetryAfter(wait time.Duration, problem string) ResponseMetadata {
	m.retryAfter, m.retryProblem = wait, problem
	return m
}

// WithRateLimit returns the metadata with the number of requests a second that the server
// takes from all entries together.
func (m ResponseMetadata) WithRateLimit(perSecond float64) ResponseMetadata {
	m.rateLimit, m.hasRateLimit = perSecond, true
	return m
}

// WithRateLimitProblem returns the metadata with why a stated rate limit can't be used.
func (m ResponseMetadata) WithRateLimitProblem(problem string) ResponseMetadata {
	m.rateLimitProblem = problem
	return m
}

// WithLoad returns the metadata with the load that the server states.
func (m ResponseMetadata) WithLoad(load ServerLoad) ResponseMetadata {
	m.load, m.hasLoad = load, true
	return m
}

// Load returns the load that the server states, and false if it states none.
func (m ResponseMetadata) Load() (ServerLoad, bool) { return m.load, m.hasLoad }

// NotRun reports whether the server states that the request did not run.
func (m ResponseMetadata) NotRun() bool { return m.notRun }

// Misdirected reports whether another incarnation has the address.
func (m ResponseMetadata) Misdirected() bool { return m.misdirected }

// Leaving reports whether the server takes no new requests until its end.
func (m ResponseMetadata) Leaving() bool { return m.leaving }

// RetryAfter returns the time for which the server wants no requests, 0 if it states none.
func (m ResponseMetadata) RetryAfter() time.Duration { return m.retryAfter }

// RetryAfterProblem returns why the time that the server states is not used as it is,
// empty if it is.
func (m ResponseMetadata) RetryAfterProblem() string { return m.retryProblem }

// RateLimit returns the number of requests a second that the server takes from all entries
// together, and false if it states none.
func (m ResponseMetadata) RateLimit() (perSecond float64, ok bool) {
	return m.rateLimit, m.hasRateLimit
}

// RateLimitProblem returns why a stated rate limit can't be used, "" if it can or there is none.
func (m ResponseMetadata) RateLimitProblem() string { return m.rateLimitProblem }

// FaultAddress returns the address of the server that caused the failure, empty
// if it is the one that responded.
func (m ResponseMetadata) FaultAddress() string { return m.faultAddress }

// HeaderCodec encodes request metadata into headers and decodes response metadata from them.
type HeaderCodec interface {
	EncodeRequest(header http.Header, m RequestMetadata)
	DecodeResponse(status int, header http.Header) ResponseMetadata
}

// Request is a caller's request as it is sent to a backend server.
type Request struct {
	attemptID string
	method    string
	target    string
	host      string
	header    http.Header
	body      []byte
}

// NewRequest returns a request; target is the path and query as received.
func NewRequest(attemptID, method, target, host string, header http.Header, body []byte) Request {
	return Request{attemptID: attemptID, method: method, target: target, host: host, header: header, body: body}
}

// hopByHopHeaders are hop-by-hop header fields and fields that this package writes itself.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect", "Proxy-Authenticate", "Proxy-Authorization",
}

// endToEndHeader returns a copy of the header without hop-by-hop fields.
func endToEndHeader(header http.Header) http.Header {
	out := header.Clone()
	for _, value := range header["Connection"] {
		for name := range splitTokens(value) {
			out.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// write writes the request with the given header.
func (r Request) write(w *bufio.Writer, header http.Header) error {
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.target, r.host)
	if err := header.Write(w); err != nil {
		return err
	}
	if len(r.body) > 0 || r.method == http.MethodPost || r.method == http.MethodPut || r.method == http.MethodPatch {
		w.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n")
	}
	w.WriteString("\r\n")
	w.Write(r.body)
	return w.Flush()
}
