package backend

import (
	"bytes"
	"context"
	"expvar"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"greengagedock.example/timer"
)

// Limits of the connections to backend servers.
const (
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	idleConnsPerServer = 64
	headerBytes        = 16 << 10
)

// Headers of the protocols of engines and plain services.
const (
	headerRequestID   = "X-Request-Id"
	headerPriority    = "X-Priority"
	headerTimeLeft    = "X-Time-Left"
	headerNotAfter    = "X-Not-After"
	headerIncarnation = "X-Incarnation"
	headerResumeFrom  = "X-Resume-From"
	headerState       = "X-State"
	headerRetryAfter  = "Retry-After"
)

// Client sends attempts to backend servers over HTTP; its zero value is ready
// to use.
type Client struct {
	clock  timer.Service
	once   sync.Once
	shared *http.Transport
	single *http.Transport
	faults expvar.Map
}

// Faults returns the number of answers or events of each fault seen so far.
func (c *Client) Faults() *expvar.Map { return &c.faults }

// Close closes the idle connections.
func (c *Client) Close() {
	c.open()
	c.shared.CloseIdleConnections()
}

// Send writes the attempt to its slot's server and returns the server's
// answer once its header is here; every other end is an *AttemptError. The
// answer must be closed. Send writes nothing after the slot's start-by time.
func (c *Client) Send(ctx context.Context, attempt Attempt) (*Response, error) {
	c.open()
	gate := &gate{now: c.clock.Now, startBy: attempt.slot.startBy}
	watched, cancel := context.WithCancelCause(ctx)
	traced := httptrace.WithClientTrace(watched, gate.trace())
	request, err := c.request(traced, attempt)
	if err != nil {
		cancel(nil)
		return nil, &AttemptError{outcome: OutcomeNotStarted, err: err}
	}
	sent := c.clock.Now()
	dog := newWatchdog(attempt.firstWait, cancel)
	response, err := c.transport(attempt).RoundTrip(request)
	dog.pause()
	if err != nil {
		cancel(nil)
		return nil, gate.failure(watched, err)
	}
	answer := &Response{client: c, attempt: attempt, response: response, cancel: cancel, dog: dog, sent: sent}
	if err := answer.refusal(); err != nil {
		answer.whole = true
		answer.Close()
		return nil, err
	}
	return answer, nil
}

func (c *Client) request(ctx context.Context, attempt Attempt) (*http.Request, error) {
	url := "http://" + attempt.slot.address + attempt.path
	request, err := http.NewRequestWithContext(ctx, attempt.method, url, nil)
	if err != nil {
		return nil, err
	}
	if len(attempt.body) > 0 {
		request.Body = readCloser{bytes.NewReader(attempt.body)}
		request.ContentLength = int64(len(attempt.body))
	}
	if attempt.header != nil {
		request.Header = attempt.header.Clone()
	}
	attempt.setHeaders(request.Header, c.clock.Now())
	return request, nil
}

// transport returns connections that are never reused for attempts that must
// not be repeated, because only on those net/http never writes a request twice.
func (c *Client) transport(attempt Attempt) *http.Transport {
	if attempt.single {
		return c.single
	}
	return c.shared
}

func (c *Client) open() {
	c.once.Do(func() {
		c.shared = newTransport()
		c.single = newTransport()
		c.single.DisableKeepAlives = true
	})
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &connection{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerBytes,
	}
}

// setHeaders sets the attempt's headers for a request written at now.
func (a Attempt) setHeaders(header http.Header, now time.Time) {
	header.Set(headerRequestID, a.slot.id)
	header.Set(headerTimeLeft, a.deadline.Sub(now).String())
	header.Set(headerNotAfter, a.slot.startBy.Sub(now).String())
	if a.slot.incarnation != "" {
		header.Set(headerIncarnation, a.slot.incarnation)
	}
	if a.priority != 0 {
		header.Set(headerPriority, strconv.Itoa(a.priority))
	}
	if a.resumeFrom > 0 {
		header.Set(headerResumeFrom, strconv.Itoa(a.resumeFrom))
	}
}

// readCloser hides the reader's type, so that net/http cannot rewind the body
// and write it again by itself.
type readCloser struct{ reader *bytes.Reader }

func (r readCloser) Read(p []byte) (int, error) { return r.reader.Read(p) }

func (r readCloser) Close() error { return nil }
