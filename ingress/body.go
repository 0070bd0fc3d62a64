package ingress

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/http1"
)

// Errors of reading a request body.
var (
	errTooLarge      = eris.New("ingress: body over the limit")
	errNoMemory      = eris.New("ingress: request body memory exhausted")
	errBodyTruncated = eris.New("ingress: request body truncated")
	errBodyTimeout   = eris.New("ingress: request body not received in time")
)

// evictionWait is how long a body waits for the memory of another one whose connection was closed
// for it.
const evictionWait = 100 * time.Millisecond

// initialBufferBytes is the first buffer size for a body of unknown length; the buffer then doubles.
const initialBufferBytes = 32 << 10

// bodyMemory bounds the memory of all open request bodies together.
type bodyMemory struct {
	available atomic.Int64
}

// reserve reserves n bytes and reports whether they were available.
func (b *bodyMemory) reserve(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.available.Add(n)
	return false
}

func (b *bodyMemory) release(n int64) { b.available.Add(n) }

// acquire reserves n bytes, for which evict may close the connection of another body that is
// awaited. It reports false if there are still too few.
func (b *bodyMemory) acquire(n int64, evict func() bool) bool {
	for !b.reserve(n) {
		if !evict() {
			return false
		}
		for end := time.Now().Add(evictionWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if b.reserve(n) {
				return true
			}
		}
	}
	return true
}

// read reads a whole body of at most limit bytes, 0 for no limit; the caller
// must release the reserved bytes, also after an error.
func (b *bodyMemory) read(r *http.Request, limit int64, clients *http1.Clients) (body []byte, reserved int64, err error) {
	if limit <= 0 {
		limit = math.MaxInt64
	}
	if r.ContentLength > limit {
		return nil, 0, errTooLarge
	}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return nil, 0, nil
	}
	// One byte more than Content-Length, so that EOF is read without growing the buffer.
	size := r.ContentLength + 1
	if r.ContentLength < 0 {
		size = initialBufferBytes
	}
	for {
		if len(body) == cap(body) {
			if !b.acquire(size, func() bool { return clients.EvictBody(r) }) {
				return nil, reserved, errNoMemory
			}
			clients.HoldsBody(r)
			reserved += size
			body = slices.Grow(body, int(size))
			size = int64(cap(body))
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, reserved, errTooLarge
		case err == io.EOF:
			return body, reserved, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, reserved, errBodyTimeout
		case err != nil:
			return nil, reserved, eris.Wrap(errBodyTruncated, err.Error())
		}
	}
}
