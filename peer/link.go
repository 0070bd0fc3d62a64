package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = time.Second
	// writeTimeout bounds one write to a peer; a slower peer is disconnected.
	writeTimeout = 2 * time.Second
	// minRedialBackoff and maxRedialBackoff bound the exponential backoff
	// between connection attempts.
	minRedialBackoff = 50 * time.Millisecond
	maxRedialBackoff = time.Second
	// linkQueueFrames is how many frames may wait for one peer. A full queue
	// breaks the connection, so that no frame is lost within it.
	linkQueueFrames = 4096
)

// link is the outbound connection to one peer. While a connection lasts its
// frames arrive in order and none is lost; each new connection is reported by a
// linkUp event.
type link struct {
	entry     string
	address   string
	hello     []byte
	queue     chan []byte
	broken    chan struct{}
	onConnect func(entry string)
	log       hclog.Logger
}

// send queues a frame, or breaks the connection if the queue is full.
func (l *link) send(frame []byte) {
	select {
	case l.queue <- frame:
	default:
		select {
		case l.broken <- struct{}{}:
		default:
		}
	}
}

// run keeps the connection open until ctx ends.
func (l *link) run(ctx context.Context) {
	backoff := minRedialBackoff
	for ctx.Err() == nil {
		opened := time.Now()
		err := l.runConnection(ctx)
		if time.Since(opened) > maxRedialBackoff {
			backoff = minRedialBackoff
		}
		l.log.Debug("connection to peer ended", "peer", l.entry, "address", l.address, "reason", err)
		sleep(ctx, backoff)
		backoff = min(2*backoff, maxRedialBackoff)
	}
}

// runConnection opens a connection and writes queued frames to it until it
// breaks.
func (l *link) runConnection(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	l.discardQueue()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	}()
	writer := bufio.NewWriter(conn)
	if _, err := writer.Write(l.hello); err != nil {
		return err
	}
	l.onConnect(l.entry)
	return l.writeFrames(ctx, conn, writer, closed)
}

// discardQueue discards the frames queued for the previous connection and a
// pending request to break it.
func (l *link) discardQueue() {
	for {
		select {
		case <-l.queue:
		case <-l.broken:
		default:
			return
		}
	}
}

// writeFrames writes queued frames and flushes whenever the queue is empty.
func (l *link) writeFrames(ctx context.Context, conn net.Conn, writer *bufio.Writer, closed <-chan struct{}) error {
	for {
		if len(l.queue) == 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := writer.Flush(); err != nil {
				return err
			}
		}
		select {
		case frame := <-l.queue:
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := writer.Write(frame); err != nil {
				return err
			}
		case <-l.broken:
			return errQueueFull
		case <-closed:
			return io.EOF
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
