package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 4 << 10
	// maxStrayAnswers bounds the answers to other requests that are skipped before one's own.
	maxStrayAnswers = 4
	// defaultIdle is how long a connection is kept where the server states no time.
	defaultIdle = 8 * time.Second
	// idleMargin is left of the server's own time, so that it does not close
	// the connection under a request.
	idleMargin = 600 * time.Millisecond
)

// connection is one connection to a backend server.
type connection struct {
	net     net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	server  string
	idleAt  time.Time
	keepFor time.Duration
	written chan error
}

func newConnection(c net.Conn, server string) *connection {
	return &connection{
		net: c, server: server, keepFor: defaultIdle,
		reader: bufio.NewReaderSize(c, bufferBytes), writer: bufio.NewWriterSize(c, bufferBytes),
	}
}

// fresh reports whether an idle connection may carry another request.
func (c *connection) fresh(now time.Time) bool {
	return now.Sub(c.idleAt) < c.keepFor && !ended(c.net)
}

// exchange writes the request and reads the header of its answer. The body is
// written beside the reading, since a server may answer before it has read all.
func (c *connection) exchange(r Request, header http.Header, headers HeaderCodec) (*http.Response, ResponseMetadata, error) {
	c.written = make(chan error, 1)
	if len(r.body) <= bufferBytes {
		c.written <- r.write(c.writer, header)
	} else {
		go func() { c.written <- r.write(c.writer, header) }()
	}
	for range maxStrayAnswers {
		response, err := c.readAnswer(r.method)
		if err != nil {
			return nil, ResponseMetadata{}, err
		}
		notice := headers.DecodeResponse(response.StatusCode, response.Header)
		if notice.attempt == r.attempt {
			return response, notice, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, ResponseMetadata{}, errStray
		}
	}
	return nil, ResponseMetadata{}, errStray
}

// readAnswer reads the header of the next answer that is not an interim one.
func (c *connection) readAnswer(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
}

// settled reports whether the whole request was written, without waiting.
func (c *connection) settled() bool {
	select {
	case err := <-c.written:
		return err == nil
	default:
		return false
	}
}

// splitTokens returns the comma-separated tokens of a header's value.
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
func dial(ctx context.Context, address, server string) (*connection, error) {
	c, err := Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConnection(c, server), nil
}
