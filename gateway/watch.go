package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// watchWait is the mean time that one watch waits for changes. A watch may
	// silently stop delivering changes, so some watcher must soon start a new
	// one; but every call to the store has a cost.
	watchWait = 1600 * time.Millisecond
	// standbyInterval is how often an entry that does not watch the store checks
	// whether it should.
	standbyInterval = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed read.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
	// minOutage is the shortest time without a response from the store in which
	// published servers may have expired.
	minOutage = time.Second
)

// watch keeps the cache up to date from the store until ctx ends.
func (c *control) watch(ctx context.Context, source Source) {
	revision := int64(0)
	delay := minRetryDelay
	respondedAt := c.timers.Now()
	failing := false
	for ctx.Err() == nil {
		if !c.shouldWatch(&revision) {
			sleep(ctx, standbyInterval)
			respondedAt = c.timers.Now()
			continue
		}
		next, err := c.readStore(ctx, source, revision, failing && c.timers.Now().Sub(respondedAt) > minOutage)
		now := c.timers.Now()
		if errors.Is(err, ErrCompacted) {
			c.log.Info("store history compacted; reading all items", "revision", revision)
			revision = 0
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			if !failing {
				c.log.Warn("store read failed; retrying", "revision", revision, "error", err)
			}
			failing = true
			c.storeFailing.Store(true)
			sleep(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		if failing {
			c.log.Info("store responds again", "revision", next, "away", now.Sub(respondedAt))
		}
		failing = false
		c.storeFailing.Store(false)
		respondedAt = now
		delay = minRetryDelay
		revision = next
	}
}

// shouldWatch reports whether this entry should watch the store. When it starts to
// watch, revision is set to that of the cache, since changes received from peers
// need not be read again.
func (c *control) shouldWatch(revision *int64) bool {
	watches := true
	c.do(func(now time.Time) {
		watches = c.cache.revision == 0 || c.members.watchesStore(now)
		if !c.watching.Load() {
			*revision = c.cache.revision
		}
	})
	if watches != c.watching.Swap(watches) {
		c.log.Info("store watch changed", "watching", watches, "revision", *revision)
	}
	return watches
}

// readStore lists all items if revision is 0, else waits for changes after it, and
// returns the revision to continue from. After an outage it does not wait, and the
// store counts as recovered once it responds.
func (c *control) readStore(ctx context.Context, source Source, revision int64, outage bool) (int64, error) {
	var items []Item
	var next int64
	var err error
	if revision == 0 {
		items, next, err = source.List(ctx)
	} else {
		wait := watchWait/2 + rand.N(watchWait)
		if outage {
			wait = time.Millisecond // detect recovery at once
		}
		items, next, err = source.Watch(ctx, revision, wait)
	}
	if err != nil {
		return 0, err
	}
	c.do(func(now time.Time) {
		c.storeAnsweredAt = now
		if outage {
			c.cache.recoveredAt = now
		}
		if revision == 0 {
			c.cache.replace(now, items, next)
		} else {
			c.cache.applyChanges(now, items, next)
		}
		c.cacheChanged(now)
	})
	return next, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
