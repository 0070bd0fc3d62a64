package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// watchWaitEach, for each entry, is how long one call waits for changes: a
	// watch may go deaf, and some entry must soon ask anew. Each call has a price.
	watchWaitEach  = 300 * time.Millisecond
	watchWaitLeast = 1500 * time.Millisecond
	watchWaitMost  = 8 * time.Second
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
		next, err := c.read(ctx, source, revision, failing && c.timers.Now().Sub(answered) > outageLeast)
		now := c.timers.Now()
		if errors.Is(err, ErrHistoryGone) {
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

// read reads all items at first, then waits for changes, and returns the revision to go on from.
func (c *control) read(ctx context.Context, source Source, revision int64, outage bool) (int64, error) {
	var items []Item
	var next int64
	var err error
	if revision == 0 {
		items, next, err = source.List(ctx)
	} else {
		wait := c.watchWait()
		if outage {
			wait = time.Millisecond // tells at once that the store is back
		}
		items, next, err = source.Watch(ctx, revision, wait)
	}
	if err != nil {
		return 0, err
	}
	c.do(func(now time.Time) {
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

// watchWait returns how long the next call waits; chance keeps entries apart.
func (c *control) watchWait() time.Duration {
	audible := 0
	c.do(func(now time.Time) { audible = len(c.members.audible(now, addressSilence)) })
	wait := min(max(watchWaitLeast, time.Duration(audible+1)*watchWaitEach), watchWaitMost)
	return wait/2 + rand.N(wait)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
