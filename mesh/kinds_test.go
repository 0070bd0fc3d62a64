package mesh

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A call of a later kind reaches only an entry that states that it understands it, and is not
// sent to one that states nothing, as entries of the version before.
func TestLaterKindsReachOnlyEntriesThatStateThem(t *testing.T) {
	c := qt.New(t)
	old, now := NewKinds([]string{"beat"}, nil), NewKinds([]string{"beat"}, []string{"learned"})
	for _, test := range []struct {
		name           string
		client, server Kinds
		want           error
		older          int
	}{
		{"both understand", now, now, nil, 0},
		{"server has no such kind", now, old, ErrNotUnderstood, 0},
		{"server states nothing", now, Kinds{}, ErrNotUnderstood, 1},
		{"client states nothing", Kinds{}, now, nil, 1},
	} {
		received := make(chan string, 2)
		address, server := serve(c, func(kind string, _ []byte) (any, error) {
			received <- kind
			return kind, nil
		})
		server.WithKinds(test.server)
		client := new(Client).WithKinds(test.client)
		var reply string
		c.Assert(client.Call(context.Background(), address, "beat", 1, &reply), qt.IsNil)
		err := client.Call(context.Background(), address, "learned", 1, &reply)
		if test.want != nil {
			c.Check(err, qt.ErrorIs, test.want, qt.Commentf(test.name))
			c.Check(received, qt.HasLen, 1, qt.Commentf(test.name))
		} else {
			c.Check(err, qt.IsNil, qt.Commentf(test.name))
		}
		c.Check(client.Older(), qt.Equals, test.older, qt.Commentf(test.name))
	}
}

// A call of a later kind waits for what the entry states, however the responses are ordered,
// and no longer than its context; the statement of a connection ends with it.
func TestLaterKindWaitsForStatement(t *testing.T) {
	c := qt.New(t)
	kinds := NewKinds([]string{"slow", "quick"}, []string{"later"})
	release := make(chan struct{})
	address, server := serve(c, func(kind string, _ []byte) (any, error) {
		if kind == "slow" {
			<-release
		}
		return kind, nil
	})
	server.WithKinds(kinds)
	client := new(Client).WithKinds(kinds)
	slow := make(chan error, 1)
	go func() { slow <- client.Call(context.Background(), address, "slow", 1, new(string)) }()
	for ; ; time.Sleep(time.Millisecond) {
		p := client.peer(address)
		p.mu.Lock()
		opened := p.statement != nil && p.statement.opening != 0
		p.mu.Unlock()
		if opened {
			break
		}
	}
	c.Assert(client.Call(context.Background(), address, "quick", 1, new(string)), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	c.Assert(client.Call(ctx, address, "later", 1, new(string)), qt.ErrorIs, ErrUnreachable)
	close(release)
	c.Assert(<-slow, qt.IsNil)
	c.Assert(client.Call(context.Background(), address, "later", 1, new(string)), qt.IsNil)
	client.Drop(address)
	ctx, cancel = context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	c.Assert(client.Call(ctx, address, "later", 1, new(string)), qt.ErrorIs, ErrUnreachable)
}
