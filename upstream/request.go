package upstream

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// PrefillWorker is a server that reads a part of a prompt; a ticket names memory reserved there.
type PrefillWorker struct {
	address     string
	reservation string
}

// NewPrefillWorker returns a helper at an IP and port; the ticket may be empty.
func NewPrefillWorker(address, ticket string) PrefillWorker {
	return PrefillWorker{address: address, reservation: ticket}
}

// Address returns the helper's IP and port.
func (h PrefillWorker) Address() string { return h.address }

// Reservation returns the name of the memory reserved at the helper, empty for none.
func (h PrefillWorker) Reservation() string { return h.reservation }

// RequestMetadata is what an entry itself states about a request that it sends.
type RequestMetadata struct {
	account        string
	server         string
	timeLeft       time.Duration
	lastEventID    string
	prefillWorkers []PrefillWorker
	rank           int
}

// NewRequestMetadata returns a delivery to the server's incarnation for an account, which may be empty.
func NewRequestMetadata(server, account string, timeLeft time.Duration) RequestMetadata {
	return RequestMetadata{server: server, account: account, timeLeft: timeLeft, rank: -1}
}

// WithLastEventID returns the delivery with the event after which a stream is to go on.
func (d RequestMetadata) WithLastEventID(id string) RequestMetadata {
	d.lastEventID = id
	return d
}

// WithPrefillWorkers returns the delivery with the servers that read parts of the prompt.
func (d RequestMetadata) WithPrefillWorkers(helpers ...PrefillWorker) RequestMetadata {
	d.prefillWorkers = helpers
	return d
}

// WithRank returns the delivery with the urgency at the server, 0 first.
func (d RequestMetadata) WithRank(rank int) RequestMetadata {
	d.rank = rank
	return d
}

// Account returns the client account's name.
func (d RequestMetadata) Account() string { return d.account }

// Server returns the id of the server's incarnation.
func (d RequestMetadata) Server() string { return d.server }

// TimeLeft returns how long the caller still waits.
func (d RequestMetadata) TimeLeft() time.Duration { return d.timeLeft }

// LastEventID returns the event after which a stream is to go on, empty for its start.
func (d RequestMetadata) LastEventID() string { return d.lastEventID }

// PrefillWorkers returns the servers that read parts of the prompt.
func (d RequestMetadata) PrefillWorkers() []PrefillWorker { return d.prefillWorkers }

// Rank returns the urgency at the server, -1 for the usual one.
func (d RequestMetadata) Rank() int { return d.rank }

// ResponseMetadata is what the headers of an answer say besides HTTP.
type ResponseMetadata struct {
	attempt      string
	notRun       bool
	misdirected  bool
	faultAddress string
	keepAlive    time.Duration
}

// NewResponseMetadata returns the notice of an answer to the attempt.
func NewResponseMetadata(attempt string) ResponseMetadata { return ResponseMetadata{attempt: attempt} }

// WithNotRun returns the notice of a request that did not run: misdirected if
// another incarnation has the address, with the address at fault if it is another.
func (n ResponseMetadata) WithNotRun(misdirected bool, fault string) ResponseMetadata {
	n.notRun, n.misdirected, n.faultAddress = true, misdirected, fault
	return n
}

// WithKeepAlive returns the notice with how long the server keeps an idle connection, 0 if unsaid.
func (n ResponseMetadata) WithKeepAlive(d time.Duration) ResponseMetadata {
	n.keepAlive = d
	return n
}

// NotRun reports whether the server states that the request did not run.
func (n ResponseMetadata) NotRun() bool { return n.notRun }

// Misdirected reports whether another incarnation has the address.
func (n ResponseMetadata) Misdirected() bool { return n.misdirected }

// FaultAddress returns the address of the server at fault, empty if it is the one asked.
func (n ResponseMetadata) FaultAddress() string { return n.faultAddress }

// HeaderCodec translates what an entry states into headers, and back.
type HeaderCodec interface {
	EncodeRequest(header http.Header, d RequestMetadata)
	DecodeResponse(status int, header http.Header) ResponseMetadata
}

// Request is a caller's request as it is to reach a backend server.
type Request struct {
	attempt string
	method  string
	target  string
	host    string
	header  http.Header
	body    []byte
}

// NewRequest returns a request; target is the path and query as received.
func NewRequest(attempt, method, target, host string, header http.Header, body []byte) Request {
	return Request{attempt: attempt, method: method, target: target, host: host, header: header, body: body}
}

// hopHeaders concern one connection only, or are written by this package.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect", "Proxy-Authenticate", "Proxy-Authorization",
}

// headerWithoutHops returns a copy of the header without what concerns one connection.
func headerWithoutHops(header http.Header) http.Header {
	out := header.Clone()
	for _, value := range header["Connection"] {
		for name := range splitTokens(value) {
			out.Del(name)
		}
	}
	for _, name := range hopHeaders {
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
