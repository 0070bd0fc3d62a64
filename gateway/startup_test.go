package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"greengagedock.example/porttest"
)

// startTestEntry starts an entry that serves other entries at the listener's address,
// which is closed before, and has the given seeds.
func startTestEntry(c *qt.C, id string, listener net.Listener, seeds ...string) *Process {
	address := listener.Addr().String()
	listener.Close()
	settings := NewSettings(id, "a", "r").WithAddresses("", address, "", "", "").WithMemoryBytes(1 << 20).WithSeeds(seeds...)
	logs := NewAsyncLogWriter(io.Discard)
	adapters := Platform{Source: silentSource{}, Directory: func(Directory) http.Handler { return http.NotFoundHandler() }}
	p, err := Start(settings, adapters, logs, hclog.NewNullLogger())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		p.cancel()
		close(p.stop)
		p.peerServer.Close()
		for _, listener := range p.listeners {
			listener.Close()
		}
		logs.Close()
	})
	return p
}

// knownAfter returns how long it takes until the entry knows a number of others.
func knownAfter(p *Process, others int, limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		known := 0
		p.control.do(func(time.Time) { known = len(p.control.members.byID) })
		if known >= others {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// listenLocal opens a listener of plain TCP, whose packets dropPackets can drop.
func listenLocal(c *qt.C) net.Listener {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	address, err := porttest.Address()
	c.Assert(err, qt.IsNil)
	listener, err := config.Listen(context.Background(), "tcp", address)
	c.Assert(err, qt.IsNil)
	return listener
}

// dropPackets drops all packets that arrive for a listener, as if its instance were
// without power, until the returned function is called.
func dropPackets(c *qt.C, listener net.Listener) (restore func()) {
	raw, err := listener.(syscall.Conn).SyscallConn()
	c.Assert(err, qt.IsNil)
	set := func(option func(fd int) error) {
		var optionErr error
		c.Assert(raw.Control(func(fd uintptr) { optionErr = option(int(fd)) }), qt.IsNil)
		c.Assert(optionErr, qt.IsNil)
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	set(func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})
	return func() {
		set(func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
	}
}

// Pattern: all entries lose power and start again within half a second, the seeds last.
// An entry knows a seed within three of the heartbeats of its start once that is up, whatever failed to
// dial before, however long the seed was down.
func TestSeedThatStartsLaterIsKnownAtOnce(t *testing.T) {
	for name, down := range map[string]time.Duration{"shortly": 370 * time.Millisecond, "for long": 1700 * time.Millisecond} {
		for _, silent := range []bool{false, true} {
			t.Run(name+map[bool]string{false: ", refused", true: ", silent"}[silent], func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				own, seed := listenLocal(c), listenLocal(c)
				up := func() {}
				if silent {
					up = dropPackets(c, seed)
				} else {
					seed.Close()
				}
				first := startTestEntry(c, "e1", own, seed.Addr().String())
				time.Sleep(down)
				up()
				startTestEntry(c, "e2", seed)
				c.Assert(knownAfter(first, 1, 3*time.Second) < 3*startupInterval, qt.IsTrue)
			})
		}
	}
}

// stateOf returns an entry's state as another one knows it.
func stateOf(p *Process, id string) (state memberState) {
	p.control.do(func(time.Time) {
		if known := p.control.members.byID[id]; known != nil {
			state = known.State
		}
	})
	return state
}

// Pattern: all entries start again at the same moment and are ready within milliseconds of
// each other. Each knows at once that the others are ready: until then it takes itself for
// the scheduler, and places requests on the servers that the others choose as well.
func TestReadinessIsKnownAtOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	own, seed := listenLocal(c), listenLocal(c)
	address := seed.Addr().String()
	first := startTestEntry(c, "e1", own, address)
	second := startTestEntry(c, "e2", seed)
	c.Assert(knownAfter(first, 1, 3*time.Second) < 3*time.Second, qt.IsTrue)
	c.Assert(knownAfter(second, 1, 3*time.Second) < 3*time.Second, qt.IsTrue)
	time.Sleep(startupRounds * startupInterval) // heartbeats are further apart by now
	for i := range 6 {
		state := []memberState{memberReady, memberStarting}[i%2]
		second.control.do(func(time.Time) { second.control.setState(state) })
		start := time.Now()
		for stateOf(first, "e2") != state && time.Since(start) < heartbeatInterval {
			time.Sleep(time.Millisecond)
		}
		c.Assert(time.Since(start) < heartbeatInterval/4, qt.IsTrue, qt.Commentf("%s after %v", state, time.Since(start)))
		time.Sleep(time.Duration(i) * heartbeatInterval / 6)
	}
}
