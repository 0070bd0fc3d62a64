package mesh

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"
)

// ErrNotUnderstood is returned for a call of a kind that the entry does not understand. It
// was not sent.
var ErrNotUnderstood = eris.New("mesh: call not understood by the entry")

// Kinds lists the kinds of calls that an entry understands. The zero value states none and
// sends all.
type Kinds struct {
	originals []string
	later     []string
}

// NewKinds returns the kinds that entries of all versions understand, and those that came
// later, which are sent only to entries that state them.
func NewKinds(originals, later []string) Kinds { return Kinds{originals: originals, later: later} }

// all returns all kinds.
func (k Kinds) all() []string { return slices.Concat(k.originals, k.later) }

// original reports whether a kind may be sent to an entry of any version.
func (k Kinds) original(kind string) bool {
	return len(k.originals) == 0 || slices.Contains(k.originals, kind)
}

// isKnown reports whether the first response on the connection has arrived.
func (s *statement) isKnown() bool {
	select {
	case <-s.known:
		return true
	default:
		return false
	}
}

// waitUnderstood returns nil once the entry has stated that it understands a kind. What an
// entry states comes with the response to the first call on a connection, for which it waits.
func (p *peerConn) waitUnderstood(ctx context.Context, kind string) error {
	if _, err := p.connect(ctx); err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	p.mu.Lock()
	s := p.statement
	p.mu.Unlock()
	select {
	case <-s.known:
	case <-ctx.Done():
		return eris.Wrap(ErrUnreachable, "nothing stated yet")
	}
	if !slices.Contains(s.understands, kind) {
		return ErrNotUnderstood
	}
	return nil
}

// isOlder reports whether the entry is connected and has answered without stating anything.
func (p *peerConn) isOlder() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil && p.statement.isKnown() && len(p.statement.understands) == 0
}
