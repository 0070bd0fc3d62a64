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

	"greengagedock.example/http1"
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

// Client sends attempts to backend servers over HTTP. The zero value is ready
// to use.
type Client struct {
	clock    timer.Service
	once     sync.Once
	pooled   http1.Transport
	unpooled http1.Transport
	faults   expvar.Map
	dial     func(ctx context.Context, address string) (net.Conn, error)
}

// SetDial has the client open connections to servers' IPs and ports with a function. It is to
// be called before the first attempt.
func (c *Client) SetDial(dial func(ctx context.Context, address string) (net.Conn, error)) {
	c.dial = dial
}

// Dial opens a connection to a server's IP and port, as clients do without SetDial.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Faults returns how many responses or events had each Fault.
func (c *Client) Faults() *expvar.Map { return &c.faults }

// Close closes idle connections; others are opened as they are needed.
func (c *Client) Close() {
	c.setup()
	c.pooled.CloseIdleConnections()
}

// Send sends the attempt to its slot's server and returns the response once
// its header has arrived; any other end is an *AttemptError. The caller must
// close the response. Send writes nothing after the slot's start-by time.
func (c *Client) Send(ctx context.Context, attempt Attempt) (*Response, error) {
	c.setup()
	guard := &writeGuard{now: c.clock.Now, startBy: attempt.slot.startBy}
	cancelCtx, cancel := context.WithCancelCause(ctx)
	traceCtx := httptrace.WithClientTrace(cancelCtx, guard.trace())
	request, err := c.request(traceCtx, attempt)
	if err != nil {
		cancel(nil)
		return nil, &AttemptError{outcome: OutcomeNotStarted, err: err}
	}
	sentAt := c.clock.Now()
	watchdog := newWatchdog(attempt.silent)
	if attempt.silent == nil {
		watchdog = newWatchdog(func() { cancel(ErrStalled) })
	}
	watchdog.start(attempt.firstTimeout, attempt.eventTimeout)
	httpResponse, err := c.transport(attempt).RoundTrip(request)
	watchdog.stop()
	if err != nil {
		cancel(nil)
		return nil, guard.attemptError(cancelCtx, err)
	}
	response := &Response{client: c, attempt: attempt, httpResponse: httpResponse, cancel: cancel, watchdog: watchdog, sentAt: sentAt}
	if err := response.refusalError(); err != nil {
		response.complete = true
		response.Close()
		return nil, err
	}
	return response, nil
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

// transport returns a transport without connection reuse for attempts that
// must be sent at most once, because net/http may resend a request on a
// reused connection.
func (c *Client) transport(attempt Attempt) http1.Transport {
	if attempt.atMostOnce {
		return c.unpooled
	}
	return c.pooled
}

func (c *Client) setup() {
	c.once.Do(func() {
		if c.dial == nil {
			c.dial = Dial
		}
		c.pooled = newTransport(c.dial, true)
		c.unpooled = newTransport(c.dial, false)
	})
}

// newTransport returns a transport that opens connections with dial, and keeps them for later
// requests if reuse is set.
func newTransport(dial func(ctx context.Context, address string) (net.Conn, error), reuse bool) http1.Transport {
	return http1.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &connection{Conn: conn}, nil
		},
		DisableKeepAlives:      !reuse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerBytes,
	})
}

// setHeaders sets the attempt's headers on a request written at now.
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

// readCloser hides the reader's type, so that net/http can't rewind the body
// and resend it.
type readCloser struct{ reader *bytes.Reader }

func (r readCloser) Read(p []byte) (int, error) { return r.reader.Read(p) }

func (r readCloser) Close() error { return nil }
