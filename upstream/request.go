package upstream

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Helper is a server that reads a part of a prompt; a ticket names memory reserved there.
type Helper struct {
	address string
	ticket  string
}

// NewHelper returns a helper at an IP and port; the ticket may be empty.
func NewHelper(address, ticket string) Helper { return Helper{address: address, ticket: ticket} }

// Address returns the helper's IP and port.
func (h Helper) Address() string { return h.address }

// Ticket returns the name of the memory reserved at the helper, empty for none.
func (h Helper) Ticket() string { return h.ticket }

// Delivery is what an entry itself states about a request that it sends.
type Delivery struct {
	account   string
	server    string
	timeLeft  time.Duration
	lastEvent string
	helpers   []Helper
	rank      int
}

// NewDelivery returns a delivery to the server's incarnation for an account, which may be empty.
func NewDelivery(server, account string, timeLeft time.Duration) Delivery {
	return Delivery{server: server, account: account, timeLeft: timeLeft, rank: -1}
}

// WithLastEvent returns the delivery with the event after which a stream is to go on.
func (d Delivery) WithLastEvent(id string) Delivery {
	d.lastEvent = id
	return d
}

// WithHelpers returns the delivery with the servers that read parts of the prompt.
func (d Delivery) WithHelpers(helpers ...Helper) Delivery {
	d.helpers = helpers
	return d
}

// WithRank returns the delivery with the urgency at the server, 0 first.
func (d Delivery) WithRank(rank int) Delivery {
	d.rank = rank
	return d
}

// Account returns the client account's name.
func (d Delivery) Account() string { return d.account }

// Server returns the id of the server's incarnation.
func (d Delivery) Server() string { return d.server }

// TimeLeft returns how long the caller still waits.
func (d Delivery) TimeLeft() time.Duration { return d.timeLeft }

// LastEvent returns the event after which a stream is to go on, empty for its start.
func (d Delivery) LastEvent() string { return d.lastEvent }

// Helpers returns the servers that read parts of the prompt.
func (d Delivery) Helpers() []Helper { return d.helpers }

// Rank returns the urgency at the server, -1 for the usual one.
func (d Delivery) Rank() int { return d.rank }

// Notice is what the headers of an answer say besides HTTP.
type Notice struct {
	attempt     string
	notRun      bool
	misdirected bool
	fault       string
	keepAlive   time.Duration
}

// NewNotice returns the notice of an answer to the attempt.
func NewNotice(attempt string) Notice { return Notice{attempt: attempt} }

// WithNotRun returns the notice of a request that did not run: misdirected if
// another incarnation has the address, with the address at fault if it is another.
func (n Notice) WithNotRun(misdirected bool, fault string) Notice {
	n.notRun, n.misdirected, n.fault = true, misdirected, fault
	return n
}

// WithKeepAlive returns the notice with how long the server keeps an idle connection, 0 if unsaid.
func (n Notice) WithKeepAlive(d time.Duration) Notice {
	n.keepAlive = d
	return n
}

// NotRun reports whether the server states that the request did not run.
func (n Notice) NotRun() bool { return n.notRun }

// Misdirected reports whether another incarnation has the address.
func (n Notice) Misdirected() bool { return n.misdirected }

// Fault returns the address of the server at fault, empty if it is the one asked.
func (n Notice) Fault() string { return n.fault }

// Headers translates what an entry states into headers, and back.
type Headers interface {
	EncodeRequest(header http.Header, d Delivery)
	DecodeAnswer(status int, header http.Header) Notice
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
