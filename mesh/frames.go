package mesh

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

// A response without a length ends with its connection, and the system closes the connections
// of a process that is killed as cleanly as a server closes its own. So the bytes from the
// server pass a tunnel in frames: each is its length in frameHeaderBytes, big-endian, and so
// many bytes. A frame without bytes is the clean end of the server's connection; a connection
// that ends without one was cut.

// understandsFrames is what an entry states with the call for a tunnel, and the other one in
// its response, if it understands frames.
const understandsFrames = "tunnel_frames"

const (
	frameHeaderBytes = 2
	// frameReaderBytes is the size of the buffer in which frames are received.
	frameReaderBytes = 4 << 10
)

// ErrTunnelCut is the error of reading from a tunnel that ended without the clean end of its
// server's connection.
var ErrTunnelCut = eris.New("mesh: tunnel ended before the server's connection")

// writeFrames passes bytes on in frames, and a clean end as one.
func writeFrames(to io.Writer, from io.Reader) error {
	frame := make([]byte, frameHeaderBytes+tunnelBufferBytes)
	for {
		n, err := from.Read(frame[frameHeaderBytes:])
		if n > 0 || err == io.EOF {
			if writeErr := writeFrame(to, frame[:frameHeaderBytes+n]); writeErr != nil {
				return writeErr
			}
		}
		switch {
		case err == io.EOF && n > 0:
			return writeFrame(to, frame[:frameHeaderBytes])
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// writeFrame writes a frame after setting its length.
func writeFrame(to io.Writer, frame []byte) error {
	binary.BigEndian.PutUint16(frame, uint16(len(frame)-frameHeaderBytes))
	_, err := to.Write(frame)
	return err
}

// streamConn is a connection whose directions end one by one.
type streamConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

// framedConn is a tunnel that receives frames.
type framedConn struct {
	streamConn
	reader *bufio.Reader
	left   int // bytes of the current frame that were not read yet
	ended  bool
}

func newFramedConn(conn streamConn) *framedConn {
	return &framedConn{streamConn: conn, reader: bufio.NewReaderSize(conn, frameReaderBytes)}
}

// Read reads what the server sent. It returns io.EOF only after the clean end of the server's
// connection.
func (c *framedConn) Read(p []byte) (int, error) {
	if c.left == 0 && !c.ended {
		var header [frameHeaderBytes]byte
		if _, err := io.ReadFull(c.reader, header[:]); err != nil {
			return 0, cutIfEnded(err)
		}
		c.left = int(binary.BigEndian.Uint16(header[:]))
		c.ended = c.left == 0
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, cutIfEnded(err)
}

// HasUnread reports whether bytes were received that Read has not returned.
func (c *framedConn) HasUnread() bool { return c.left > 0 || c.ended || c.reader.Buffered() > 0 }

// unframedConn is a tunnel through an entry of a version without frames. Its end may be that
// of the other entry, so it never counts as the clean end of the server's connection.
type unframedConn struct{ streamConn }

// Read reads what the server sent; it never returns io.EOF.
func (c unframedConn) Read(p []byte) (int, error) {
	n, err := c.streamConn.Read(p)
	return n, cutIfEnded(err)
}

// cutIfEnded returns ErrTunnelCut for the end of a connection.
func cutIfEnded(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return ErrTunnelCut
	}
	return err
}
