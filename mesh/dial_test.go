package mesh

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A call must not wait for another call's dial beyond its own context: an entry that
// is cut off makes each dial take its whole timeout.
func TestCallWaitsForAnotherDialNoLongerThanItsContext(t *testing.T) {
	c := qt.New(t)
	p := (&Client{}).peer("192.0.2.1:1") // the dial below holds the lock and never ends
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
