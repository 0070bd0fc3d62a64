package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/semaphore"

	"greengagedock.example/mesh"
)

// maxFrameBytes bounds one frame: the largest published value and its envelope.
const maxFrameBytes = 2 << 20

const (
	// maxFirstFrameBytes bounds the first frame of a connection, of which nothing is known yet.
	// Longer frames are long ones.
	maxFirstFrameBytes = 64 << 10
	// maxFrameMemory bounds the memory of all long frames that are being read, and
	// longFrameTimeout the wait for it and the reading of one.
	maxFrameMemory   = 16 << 20
	longFrameTimeout = 5 * time.Second
)

// frameHeaderBytes is the size of the big-endian frame length that precedes
// each frame.
const frameHeaderBytes = 4

// ErrFrame is wrapped by the error of every malformed frame.
var ErrFrame = eris.New("peer: malformed frame")

// errUnknownKind is returned for a whole frame with a message of a kind that this version
// does not know.
var errUnknownKind = eris.New("peer: unknown kind of message")

// message is a message from one entry to another; message.go defines the
// implementations.
type message interface {
	kind() messageKind
}

// messageKind names a message on the wire.
type messageKind string

// encodeFrame returns the message as a frame, header included.
func encodeFrame(m message) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, frameHeaderBytes))
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.EncodeString(string(m.kind())); err != nil {
		return nil, eris.Wrapf(ErrFrame, "encode %s: %v", m.kind(), err)
	}
	if err := encoder.Encode(m); err != nil {
		return nil, eris.Wrapf(ErrFrame, "encode %s: %v", m.kind(), err)
	}
	frame := buffer.Bytes()
	length := len(frame) - frameHeaderBytes
	if length > maxFrameBytes {
		return nil, eris.Wrapf(ErrFrame, "encode %s: %d bytes are over %d", m.kind(), length, maxFrameBytes)
	}
	binary.BigEndian.PutUint32(frame, uint32(length))
	return frame, nil
}

// frameMemory bounds the memory of the long frames that are read at once.
type frameMemory struct{ left *semaphore.Weighted }

func newFrameMemory() frameMemory { return frameMemory{semaphore.NewWeighted(maxFrameMemory)} }

// await waits until there is memory for the body of a long frame. The caller must call release.
func (m frameMemory) await(bytes int64) (release func(), err error) {
	ctx, cancel := context.WithTimeout(context.Background(), longFrameTimeout)
	defer cancel()
	if err := m.left.Acquire(ctx, bytes); err != nil {
		return nil, eris.Wrapf(ErrFrame, "no memory for %d bytes: %v", bytes, err)
	}
	return func() { m.left.Release(bytes) }, nil
}

// frameReader reads the frames of one connection. Those longer than maxFirstFrameBytes wait for
// memory.
type frameReader struct {
	from   *bufio.Reader
	conn   net.Conn
	memory frameMemory
}

// first reads the first message of a connection, which is a short one. It returns io.EOF at the
// end of the stream.
func (r frameReader) first() (message, error) { return r.read(maxFirstFrameBytes) }

// next reads one message. It returns io.EOF at the end of the stream.
func (r frameReader) next() (message, error) { return r.read(maxFrameBytes) }

func (r frameReader) read(limit uint32) (message, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r.from, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > limit {
		return nil, eris.Wrapf(ErrFrame, "%d bytes are over %d", length, limit)
	}
	if length > maxFirstFrameBytes {
		release, err := r.memory.await(int64(length))
		if err != nil {
			return nil, err
		}
		defer release()
		if err := r.conn.SetReadDeadline(time.Now().Add(longFrameTimeout)); err != nil {
			return nil, err
		}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r.from, body); err != nil {
		return nil, eris.Wrapf(ErrFrame, "cut after the header: %v", err)
	}
	return decodeBody(body)
}

// decodeBody decodes the message in a frame's body. The error wraps errUnknownKind if the
// message is of an unknown kind, and else ErrFrame.
func decodeBody(body []byte) (message, error) {
	if err := mesh.CheckNesting(body); err != nil {
		return nil, eris.Wrap(ErrFrame, err.Error())
	}
	decoder := msgpack.NewDecoder(bytes.NewReader(body))
	name, err := decoder.DecodeString()
	if err != nil {
		return nil, eris.Wrapf(ErrFrame, "no kind: %v", err)
	}
	m := newMessage(messageKind(name))
	if m == nil {
		return nil, eris.Wrapf(errUnknownKind, "%q", name)
	}
	if err := decoder.Decode(m); err != nil {
		return nil, eris.Wrapf(ErrFrame, "decode %s: %v", name, err)
	}
	return m, nil
}
