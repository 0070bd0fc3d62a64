package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"greengagedock.example/http1"
)

const (
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 4 << 10
	// maxBytesBeforeResponse bounds what a server may send until the head of its response has
	// ended: the head itself, informational responses and those to earlier requests.
	maxBytesBeforeResponse = 128 << 10
	// maxStrayResponses bounds the responses to earlier requests that are skipped on one connection.
	maxStrayResponses = 4
	// defaultIdleTimeout applies if the server states no keep-alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// maxAttemptsKept is the number of attempts that a connection remembers.
	maxAttemptsKept = 2 * maxStrayResponses
	// maxRefusedKept is the number of refused attempts after which a connection is not reused.
	maxRefusedKept = 256
	// idleMargin is subtracted from the server's keep-alive timeout, so that the
	// server does not close the connection while a request is sent.
	idleMargin = 600 * time.Millisecond
)

// connection is one connection to a backend server.
type connection struct {
	tcp         net.Conn
	limiter     *readLimiter
	unread      *unreadBytes
	reader      *bufio.Reader
	writer      *bufio.Writer
	server      string
	address     string
	relay       string // empty for a direct connection
	idleAt      time.Time
	idleTimeout time.Duration
	sending     *sending // of the last request
	headMemory  headReservation
	// attempts holds the ids of the last attempts, in a ring of maxAttemptsKept.
	attempts []string
	next     int
	// refused holds the ids of the attempts that the server refused here. They are sent again
	// at any later time, unlike others, and the refusal may arrive once more.
	refused map[string]bool
	// reserved is set while the connection's request holds memory at other servers.
	reserved bool
}

func newConnection(c net.Conn, address, server string) *connection {
	limiter := &readLimiter{r: c}
	unread := &unreadBytes{r: limiter}
	return &connection{
		tcp: c, limiter: limiter, unread: unread, server: server, address: address, relay: relayOf(c), idleTimeout: defaultIdleTimeout,
		reader: bufio.NewReaderSize(unread, bufferBytes), writer: bufio.NewWriterSize(c, bufferBytes),
	}
}

// reusable reports whether an idle connection can take another request. Bytes after a
// complete response would be read as the start of the next one.
func (c *connection) reusable(now time.Time) bool {
	return now.Sub(c.idleAt) < c.idleTimeout && c.reader.Buffered() == 0 && len(c.unread.bytes) == 0 && !readable(c.tcp)
}

// exchange writes the request and reads the header of its response. A large
// body is written concurrently, since a server may respond before it has read
// the whole request.
func (c *connection) exchange(r Request, header http.Header, headers HeaderCodec) (*http.Response, ResponseMetadata, error) {
	c.carry(r.attemptID)
	c.sending = &sending{ended: make(chan struct{})}
	if len(r.body) <= bufferBytes {
		c.sending.end(r.write(c.writer, header))
	} else {
		go func(s *sending) { s.end(r.write(c.writer, header)) }(c.sending)
	}
	c.limiter.limit(maxBytesBeforeResponse)
	for range maxStrayResponses {
		response, err := c.readResponse(r.method)
		if err != nil {
			return nil, ResponseMetadata{}, err
		}
		metadata := headers.DecodeResponse(response.StatusCode, response.Header)
		if metadata.attemptID == r.attemptID {
			c.limiter.unlimit()
			return response, metadata, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, ResponseMetadata{}, errStrayResponses
		}
	}
	return nil, ResponseMetadata{}, errStrayResponses
}

// readLimiter limits the bytes that are read from a server while the head of a response is
// expected.
type readLimiter struct {
	r       io.Reader
	limited bool
	left    int
}

func (l *readLimiter) limit(bytes int) { l.limited, l.left = true, bytes }

func (l *readLimiter) unlimit() { l.limited = false }

// Read reads from the server, and fails once it has sent more than the limit.
func (l *readLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errNoHead
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// carry records that the connection carries an attempt.
func (c *connection) carry(attemptID string) {
	if len(c.attempts) < maxAttemptsKept {
		c.attempts = append(c.attempts, attemptID)
		return
	}
	c.attempts[c.next] = attemptID
	c.next = (c.next + 1) % maxAttemptsKept
}

// refuse records that the server has refused an attempt.
func (c *connection) refuse(attemptID string) {
	if c.refused == nil {
		c.refused = make(map[string]bool)
	}
	c.refused[attemptID] = true
}

// carried reports whether the connection has carried an attempt lately, or ever if the server
// refused it. A second response to it may still arrive, so that it can't be sent there again.
func (c *connection) carried(attemptID string) bool {
	return c.refused[attemptID] || slices.Contains(c.attempts, attemptID)
}

// unreadBytes reads bytes that were put back before it goes on with its reader.
type unreadBytes struct {
	bytes []byte
	r     io.Reader
}

// Read reads the bytes and then the reader.
func (u *unreadBytes) Read(p []byte) (int, error) {
	if len(u.bytes) == 0 {
		return u.r.Read(p)
	}
	n := copy(p, u.bytes)
	if u.bytes = u.bytes[n:]; len(u.bytes) == 0 {
		u.bytes = nil // idle connections keep no head
	}
	return n, nil
}

// readResponse reads the header of the next response, skipping interim (1xx) ones.
func (c *connection) readResponse(method string) (*http.Response, error) {
	for {
		head, interim, err := c.readHead()
		if err != nil {
			return nil, err
		}
		if interim {
			continue
		}
		c.putBack(head)
		return http.ReadResponse(c.reader, &http.Request{Method: method})
	}
}

// readHead returns the bytes of the head of the next response, and whether that is an interim
// one. It checks each line before http.ReadResponse decides by the head where the body ends.
func (c *connection) readHead() (head []byte, interim bool, err error) {
	var check http1.ResponseHead
	lines := 0
	for line := 0; ; {
		part, err := c.reader.ReadSlice('\n')
		if !c.headMemory.grow(http1.HeadMemory(len(head)+len(part), lines)) {
			return nil, false, errHeadMemory
		}
		head = append(head, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, false, err
		}
		ended, err := check.Add(head[line:])
		if err != nil || ended {
			return head, check.Interim(), err
		}
		line = len(head)
		lines++
	}
}

// putBack has the reader read some bytes before those that follow.
func (c *connection) putBack(bytes []byte) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never more than is buffered
	c.unread.bytes = slices.Concat(bytes, buffered, c.unread.bytes)
	c.reader.Reset(c.unread)
}

// sending is the writing of one request, which may go on while its response is read.
type sending struct {
	err   error
	ended chan struct{} // closed once err is set
}

func (s *sending) end(err error) {
	s.err = err
	close(s.ended)
}

// wait waits until the writing has ended and returns its error.
func (s *sending) wait() error {
	<-s.ended
	return s.err
}

// succeeded reports whether the whole request has been written already.
func (s *sending) succeeded() bool {
	select {
	case <-s.ended:
		return s.err == nil
	default:
		return false
	}
}

// splitTokens returns an iterator over the comma-separated tokens of a header value.
func splitTokens(value string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for token := range strings.SplitSeq(value, ",") {
			if !yield(strings.TrimSpace(token)) {
				return
			}
		}
	}
}

// dial opens a connection to a server.
func dial(ctx context.Context, network Network, address, server string) (*connection, error) {
	c, err := network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConnection(c, address, server), nil
}
