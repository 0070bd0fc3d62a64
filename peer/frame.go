package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"greengagedock.example/mesh"
)

// maxFrameBytes bounds one frame: the largest published value and its envelope.
const maxFrameBytes = 2 << 20

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

// readFrame reads one message. It returns io.EOF at the end of the stream.
func readFrame(r io.Reader) (message, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return nil, eris.Wrapf(ErrFrame, "%d bytes are over %d", length, maxFrameBytes)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
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
