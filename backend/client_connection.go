package backend

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStartByPassed is the error of an attempt whose slot's start-by time passed
// before its first byte was written.
var ErrStartByPassed = eris.New("backend: slot is past its start-by time")

// connection is a connection to a backend server that passes a gate before
// the first byte of each request.
type connection struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write writes b unless the gate of the request that it begins is shut.
func (c *connection) Write(b []byte) (int, error) {
	if g := c.gate.Swap(nil); g != nil {
		if err := g.pass(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// gate decides at the last step whether a request may be written, and
// remembers whether any of its bytes may have left.
type gate struct {
	now     func() time.Time
	startBy time.Time
	passed  atomic.Bool
	late    atomic.Bool
}

func (g *gate) pass() error {
	if g.now().After(g.startBy) {
		g.late.Store(true)
		return ErrStartByPassed
	}
	g.passed.Store(true)
	return nil
}

// trace sets the gate on the connection that a request is given.
func (g *gate) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*connection); ok {
			conn.gate.Store(g)
			return
		}
		g.passed.Store(true)
	}}
}

// failure returns the error of a request that got no answer.
func (g *gate) failure(ctx context.Context, err error) *AttemptError {
	if cause := context.Cause(ctx); errors.Is(cause, ErrStalled) {
		err = cause
	}
	switch {
	case g.passed.Load():
		return &AttemptError{outcome: OutcomeFailed, err: err}
	case g.late.Load():
		return &AttemptError{outcome: OutcomeNotStarted, err: ErrStartByPassed}
	default:
		return &AttemptError{outcome: OutcomeNotStarted, err: err}
	}
}
