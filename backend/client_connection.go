package backend

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/http1"
)

// ErrStartByPassed is the error of an attempt whose slot's start-by time
// passed before its first byte was written.
var ErrStartByPassed = eris.New("backend: slot is past its start-by time")

// connection is a connection to a backend server that checks a guard before
// the first byte of each request.
type connection struct {
	net.Conn
	guard atomic.Pointer[writeGuard]
}

// Write writes b unless it begins a request whose start-by time has passed.
func (c *connection) Write(b []byte) (int, error) {
	if g := c.guard.Swap(nil); g != nil {
		if err := g.check(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// writeGuard prevents the first byte of a request from being written after
// its start-by time, and records whether any bytes may have been sent.
type writeGuard struct {
	now     func() time.Time
	startBy time.Time
	written atomic.Bool
	expired atomic.Bool
}

func (g *writeGuard) check() error {
	if g.now().After(g.startBy) {
		g.expired.Store(true)
		return ErrStartByPassed
	}
	g.written.Store(true)
	return nil
}

// trace returns a trace that sets the guard on the connection on which the
// request is written.
func (g *writeGuard) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if checked, ok := info.Conn.(*http1.ResponseConn); ok {
			if conn, ok := checked.NetConn().(*connection); ok {
				conn.guard.Store(g)
				return
			}
		}
		g.written.Store(true)
	}}
}

// attemptError returns the error of a request that got no response.
func (g *writeGuard) attemptError(ctx context.Context, err error) *AttemptError {
	if cause := context.Cause(ctx); errors.Is(cause, ErrStalled) {
		err = cause
	}
	switch {
	case g.written.Load():
		return &AttemptError{outcome: OutcomeFailed, err: err}
	case g.expired.Load():
		return &AttemptError{outcome: OutcomeNotStarted, err: ErrStartByPassed}
	default:
		return &AttemptError{outcome: OutcomeNotStarted, err: err}
	}
}
