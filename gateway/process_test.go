package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/porttest"
	"greengagedock.example/routing"
)

// silentSource is a store that never answers.
type silentSource struct{}

func (silentSource) List(ctx context.Context, _ Collector) (routing.Revision, error) {
	<-ctx.Done()
	return routing.Revision{}, ctx.Err()
}

func (silentSource) Watch(ctx context.Context, _ routing.Revision, _ time.Duration, _ Collector) (routing.Revision, error) {
	<-ctx.Done()
	return routing.Revision{}, ctx.Err()
}

// If one listener can't be opened, those opened before it are closed.
func TestFailedStartClosesListeners(t *testing.T) {
	c := qt.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer taken.Close()
	callers, err := porttest.Address()
	c.Assert(err, qt.IsNil)

	settings := NewSettings("entry-1", "a", "r").WithAddresses(callers, taken.Addr().String(), "", "", "").WithMemoryBytes(1 << 20)
	logs := NewAsyncLogWriter(io.Discard)
	defer logs.Close()
	adapters := Platform{Source: silentSource{}, Directory: func(Directory) http.Handler { return http.NotFoundHandler() }}
	_, err = Start(settings, adapters, logs, hclog.NewNullLogger())
	c.Assert(err, qt.ErrorIs, ErrStart)
	c.Assert(err, qt.ErrorMatches, "peers: .*")
	again, err := net.Listen("tcp", callers)
	c.Assert(err, qt.IsNil)
	again.Close()
}
