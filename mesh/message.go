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
	// ErrUnreachable is returned when the entry could not be reached or did not
	// respond in time.
	ErrUnreachable = eris.New("mesh: entry not reachable")
	// ErrRefused is returned when the call or its response could not be encoded
	// or decoded, or the entry returned an error.
	ErrRefused = eris.New("mesh: call refused")
)

// maxMessageBytes bounds one message. It leaves room beyond everything that is
// published, which one message may carry.
const maxMessageBytes = 8 << 20

// maxBodyBytes bounds the body of a message that is sent, so that the message is not refused.
const maxBodyBytes = maxMessageBytes - 64<<10

// errTooLong is the error for a body over maxBodyBytes.
var errTooLong = eris.New("mesh: message too long")

// envelope is one message. A request has a kind; its response has the same ID,
// no kind, and either an error or a body.
type envelope struct {
	ID    uint64
	Kind  string
	Error string
	Body  msgpack.RawMessage
	// Understands lists the kinds of calls that the sender understands. Only the first
	// request on a connection has it, and the response to that.
	Understands []string
}

// originalEnvelopeFields is the number of fields of an envelope that every version has.
const originalEnvelopeFields = 4

func init() { RegisterMessage[envelope](originalEnvelopeFields) }

// encode returns a value as msgpack, with structs encoded as arrays without
// field names.
func encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(value)
	return buffer.Bytes(), err
}

// limitedReader returns an error once a message exceeds maxMessageBytes.
type limitedReader struct {
	r         io.Reader
	remaining int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, eris.Errorf("mesh: message over %d bytes", maxMessageBytes)
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// messageReader decodes messages from a stream.
type messageReader struct {
	limit *limitedReader
	from  *bufio.Reader
	// reserve reserves memory for a message as far as it was read, and reports whether there
	// is any; nil if there always is.
	reserve func(bytes int64) bool
	// last is the estimated memory of the last message.
	last int64
}

func newMessageReader(r io.Reader) *messageReader {
	limit := &limitedReader{r: r}
	return &messageReader{limit: limit, from: bufio.NewReader(limit)}
}

// memory returns the memory of the last message in bytes.
func (r *messageReader) memory() int64 { return r.last }

func (r *messageReader) next() (envelope, error) {
	var e envelope
	var message bytes.Buffer
	r.limit.remaining = maxMessageBytes
	value := newValueReader(r.from, &message)
	value.reserve, value.reserved = r.reserve, ordinaryMessageBytes
	if err := value.read(); err != nil {
		return e, err
	}
	r.last = value.memory
	err := msgpack.Unmarshal(message.Bytes(), &e)
	return e, err
}
