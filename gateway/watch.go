package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// watchWait is the middle of the time that one call waits for changes: a
	// watch may go deaf, and some watcher must soon ask anew. Each call has a price.
	watchWait = 1600 * time.Millisecond
	// standbyInterval is the time between two looks at whether to watch.
	standbyInterval = 100 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed read.
	retryLeast = 150 * time.Millisecond
	retryMost  = 1200 * time.Millisecond
	// outageLeast is how long the store must have been away for entries to have lapsed.
	outageLeast = time.Second
)

// watch reads the store until ctx ends.
func (c *control) watch(ctx context.Context, source Source) {
	revision := int64(0)
	pause := retryLeast
	answered := c.timers.Now()
	failing := false
	for ctx.Err() == nil {
		if !c.shallWatch(&revision) {
			sleep(ctx, standbyInterval)
			answered = c.timers.Now()
			continue
		}
		next, err := c.read(ctx, source, revision, failing && c.timers.Now().Sub(answered) > outageLeast)
		now := c.timers.Now()
		if errors.Is(err, ErrCompacted) {
			c.log.Info("store history gone", "revision", revision)
			revision = 0
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			if !failing {
				c.log.Warn("store lost", "revision", revision, "error", err)
			}
			failing = true
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, retryMost)
			continue
		}
		if failing {
			c.log.Info("store regained", "revision", next, "away", now.Sub(answered))
		}
		failing = false
		answered = now
		pause = retryLeast
		revision = next
	}
}

// shallWatch reports whether this entry watches the store, and from which
// revision: what peers told meanwhile need not be read again.
func (c *control) shallWatch(revision *int64) bool {
	watches := true
	c.do(func(now time.Time) {
		watches = c.mirror.revision == 0 || c.members.watches(now)
		if !c.watching.Load() {
			*revision = c.mirror.revision
		}
	})
	if watches != c.watching.Swap(watches) {
		c.log.Info("store watched", "watching", watches, "revision", *revision)
	}
	return watches
}

// read reads all items at first, then waits for changes, and returns the revision to go on from.
func (c *control) read(ctx context.Context, source Source, revision int64, outage bool) (int64, error) {
	var items []Item
	var next int64
	var err error
	if revision == 0 {
		items, next, err = source.List(ctx)
	} else {
		wait := watchWait/2 + rand.N(watchWait)
		if outage {
			wait = time.Millisecond // tells at once that the store is back
		}
		items, next, err = source.Watch(ctx, revision, wait)
	}
	if err != nil {
		return 0, err
	}
	c.do(func(now time.Time) {
		c.answered = now
		if outage {
			c.mirror.regained = now
		}
		if revision == 0 {
			c.mirror.replace(now, items, next)
		} else {
			c.mirror.change(now, items, next)
		}
		c.published(now)
	})
	return next, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
