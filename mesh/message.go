package mesh

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Errors of calls.
var (
	// ErrUnreachable tells that the entry could not be reached or did not answer in time.
	ErrUnreachable = eris.New("mesh: entry not reachable")
	// ErrRefused tells that the entry could not carry out the call.
	ErrRefused = eris.New("mesh: call refused")
)

// maxMessageBytes bounds one message: all that is published, with room.
const maxMessageBytes = 8 << 20

// envelope is one message; a call has a kind, its answer has none.
type envelope struct {
	ID      uint64
	Kind    string
	Problem string
	Body    msgpack.RawMessage
}

// encode returns a value as msgpack, structs without the names of their fields.
func encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(value)
	return buffer.Bytes(), err
}

// limitedReader fails once a message is longer than it may be.
type limitedReader struct {
	r    io.Reader
	left int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, eris.Errorf("mesh: message over %d bytes", maxMessageBytes)
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// receiver reads messages.
type receiver struct {
	limit   *limitedReader
	decoder *msgpack.Decoder
}

func newReceiver(r io.Reader) *receiver {
	limit := &limitedReader{r: r}
	return &receiver{limit: limit, decoder: msgpack.NewDecoder(bufio.NewReader(limit))}
}

func (r *receiver) next() (envelope, error) {
	var e envelope
	r.limit.left = maxMessageBytes
	err := r.decoder.Decode(&e)
	return e, err
}
