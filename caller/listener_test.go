package caller

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// pipeListener returns a new pipe from each Accept.
type pipeListener struct{ net.Listener }

func (pipeListener) Accept() (net.Conn, error) {
	conn, _ := net.Pipe()
	return conn, nil
}

func (pipeListener) Close() error { return nil }

func TestListenerLimitsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		listener := newLimitedListener(pipeListener{}, 1)
		first, err := listener.Accept()
		c.Assert(err, qt.IsNil)
		accepted := make(chan error, 1)
		accept := func() {
			_, err := listener.Accept()
			accepted <- err
		}
		go accept()
		synctest.Wait()
		c.Assert(accepted, qt.HasLen, 0)
		first.Close()
		first.Close()
		c.Assert(<-accepted, qt.IsNil)
		go accept()
		synctest.Wait()
		c.Assert(accepted, qt.HasLen, 0)
		listener.Close()
		c.Assert(errors.Is(<-accepted, net.ErrClosed), qt.IsTrue)
	})
}
