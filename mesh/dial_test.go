package mesh

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A call must not wait for another call's dial beyond its own context: an entry that
// is cut off makes each dial take its whole timeout.
func TestCallWaitsForAnotherDialNoLongerThanItsContext(t *testing.T) {
	c := qt.New(t)
	p := (&Client{}).peer("127.0.0.1:1") // never dialed: the lock below is not released
	release := p.lockDial(context.Background())
	c.Assert(release, qt.IsNotNil)
	defer release()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err := p.connect(ctx)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(time.Since(start) < time.Second, qt.IsTrue)
}

// A failed dial delays the next one, unless the entry has been heard since.
func TestHeardEntryIsDialedAtOnce(t *testing.T) {
	c := qt.New(t)
	address := unusedAddress(c)
	var client Client
	call := func() error { return client.Call(context.Background(), address, "beat", 1, new(string)) }
	c.Assert(call(), qt.ErrorIs, ErrUnreachable)
	listener, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	server := NewServer(func(string, []byte) (any, error) { return "up", nil })
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	defer listener.Close()
	c.Assert(call(), qt.ErrorMatches, ".*not redialed yet.*")
	client.MarkReachable(address)
	c.Assert(call(), qt.IsNil)
}
