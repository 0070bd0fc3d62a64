package ingress

import (
	"io"
	"math"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Errors of reading a caller's body.
var (
	errTooLarge = eris.New("ingress: body over the limit")
	errNoMemory = eris.New("ingress: no memory for bodies")
	errBroken   = eris.New("ingress: body broke off")
)

// readBytes is the step in which memory for a body of unknown length is taken.
const readBytes = 32 << 10

// bodies bounds the memory of all bodies that are open.
type bodies struct {
	free atomic.Int64
}

// take takes memory and reports whether it was there.
func (b *bodies) take(n int64) bool {
	if b.free.Add(-n) >= 0 {
		return true
	}
	b.free.Add(n)
	return false
}

func (b *bodies) give(n int64) { b.free.Add(n) }

// read reads a whole body of at most limit bytes, 0 for no limit; taken is the memory to give back.
func (b *bodies) read(r *http.Request, limit int64) (body []byte, taken int64, err error) {
	if limit <= 0 {
		limit = math.MaxInt64
	}
	if r.ContentLength > limit {
		return nil, 0, errTooLarge
	}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return nil, 0, nil
	}
	// One byte more than stated, so that the end shows without growing.
	size := r.ContentLength + 1
	if r.ContentLength < 0 {
		size = readBytes
	}
	for {
		if len(body) == cap(body) {
			if !b.take(size) {
				return nil, taken, errNoMemory
			}
			taken += size
			body = slices.Grow(body, int(size))
			size = int64(cap(body))
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, taken, errTooLarge
		case err == io.EOF:
			return body, taken, nil
		case err != nil:
			return nil, taken, eris.Wrap(errBroken, err.Error())
		}
	}
}
