package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/routing"
)

var (
	// errEraChanged is returned for changes of another era than the content that they
	// were to continue.
	errEraChanged = eris.New("gateway: store changed its era")
	// errEarlierEra is wrapped by the error for a response of an earlier era than the
	// known one.
	errEarlierEra = eris.New("gateway: response of an earlier era")
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
	// spreadPerEntry is the mean time between reads of the store that all entries begin for the
	// same reason.
	spreadPerEntry = 5 * time.Millisecond
)

// watch keeps the cache up to date from the store until ctx ends.
func (c *control) watch(ctx context.Context, source Source) {
	var revision routing.Revision
	delay := minRetryDelay
	// answeredAt is when the store last answered this entry, or others while it does not watch.
	answeredAt := c.timers.Now()
	// awaySince is since when the store may be away, zero if the last read succeeded.
	var awaySince time.Time
	for ctx.Err() == nil {
		if !c.shouldWatch(&revision) {
			sleep(ctx, standbyInterval)
			answeredAt, awaySince = c.lastStoreAnswer(), time.Time{}
			continue
		}
		began := c.timers.Now()
		next, err := c.readStore(ctx, source, revision, awaySince)
		now := c.timers.Now()
		switch {
		case errors.Is(err, ErrCompacted):
			c.log.Info("store history compacted; reading all items", "revision", revision)
			revision, answeredAt = routing.Revision{}, now
			continue
		case errors.Is(err, errEraChanged):
			c.log.Info("store changed its era", "revision", revision, "era", next.Era())
			revision, answeredAt = c.resume(next), now
			continue
		case err != nil:
			if ctx.Err() != nil {
				return
			}
			if awaySince.IsZero() {
				awaySince = answeredAt
				if !errors.Is(err, ErrSilent) && now.Sub(began) >= minRetryDelay {
					awaySince = now // it let the watch wait until then
				}
				c.log.Warn("store read failed; retrying", "revision", revision, "last_known_answer", now.Sub(awaySince), "error", err)
			}
			c.storeFailing.Store(true)
			sleep(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		if !awaySince.IsZero() {
			c.log.Info("store responds again", "revision", next, "away", now.Sub(awaySince))
		}
		c.storeFailing.Store(false)
		answeredAt, awaySince = now, time.Time{}
		delay = minRetryDelay
		revision = next
	}
}

// lastStoreAnswer returns when the store last answered this entry or another one, now if that is
// not known.
func (c *control) lastStoreAnswer() time.Time {
	at := c.timers.Now()
	c.do(func(time.Time) {
		if last := c.answers.last(); !last.IsZero() {
			at = last
		}
	})
	return at
}

// shouldWatch reports whether this entry should watch the store. When it starts to
// watch, or a peer sent content of a later era, revision is set to that of the cache,
// since changes received from peers need not be read again.
func (c *control) shouldWatch(revision *routing.Revision) bool {
	watches := true
	c.do(func(now time.Time) {
		watches = c.cache.revision.IsZero() || c.members.watchesStore(now) || c.listsStore(now) || c.lag.late(now)
		if !c.watching.Load() || !revision.IsZero() && c.cache.revision.Era() > revision.Era() {
			*revision = c.cache.revision
		}
		if c.listsStore(now) {
			*revision = routing.Revision{}
		}
	})
	if watches != c.watching.Swap(watches) {
		c.log.Info("store watch changed", "watching", watches, "revision", *revision)
	}
	return watches
}

// listsStore reports whether this entry lists the store now, for items that were left out and
// that the configuration has made use of since. Entries do so at different times.
func (c *control) listsStore(now time.Time) bool {
	if !c.cache.wantsList {
		c.listsAt = time.Time{}
		return false
	}
	if c.listsAt.IsZero() {
		c.listsAt = now.Add(c.spread())
	}
	return !now.Before(c.listsAt)
}

// spread returns a random delay for a read of the store that many entries may begin at once.
func (c *control) spread() time.Duration {
	return rand.N(time.Duration(len(c.members.byID)+1) * spreadPerEntry)
}

// resume returns the revision to continue from after a response of another era: that of
// the cache if a peer sent the content of that era, else zero, to read all items.
func (c *control) resume(next routing.Revision) routing.Revision {
	if known := c.View().Revision(); known.Era() == next.Era() {
		return known
	}
	return routing.Revision{}
}

// readStore lists all items if revision is zero, else waits for changes after it, and
// returns the revision to continue from. If the store may be away, it does not wait.
func (c *control) readStore(ctx context.Context, source Source, revision routing.Revision, awaySince time.Time) (routing.Revision, error) {
	items := c.newCollector(revision.IsZero())
	var next routing.Revision
	var err error
	if revision.IsZero() {
		next, err = source.List(ctx, items)
	} else {
		wait := watchWait/2 + rand.N(watchWait)
		if !awaySince.IsZero() {
			wait = time.Millisecond // detect at once that it is back, or was never away
		}
		next, err = source.Watch(ctx, revision, wait, items)
	}
	if err != nil {
		return routing.Revision{}, err
	}
	if !c.do(func(now time.Time) {
		leftOut := c.cache.leftOut
		err = c.applyRead(now, revision, items.items, next, awaySince)
		if err == nil && (!items.list || c.cache.revision == next) {
			c.cache.noteLeftOut(items, c.cache.leftOut-leftOut)
		}
	}) {
		return routing.Revision{}, eris.Wrap(errPanic, "items of the store not applied, or stopping")
	}
	return next, err
}

// applyRead applies what a read of the store returned: all items at the revision next
// if revision is zero, else the changes after it. These do not continue the content
// if the era changed meanwhile: the copy may be older than the revision. The time in which
// the store may have been away begins with awaySince, unless that is zero.
func (c *control) applyRead(now time.Time, revision routing.Revision, items []Item, next routing.Revision, awaySince time.Time) error {
	if next.Era() < c.cache.revision.Era() {
		return eris.Wrapf(errEarlierEra, "%d, known is %d", next.Era(), c.cache.revision.Era())
	}
	whole := revision.IsZero()
	if !whole && next.Era() != revision.Era() {
		return errEraChanged
	}
	c.storeAnsweredAt = now
	c.lag.noteRead()
	switch {
	case !c.cache.revision.IsZero() && next.Era() != c.cache.revision.Era():
		c.cache.recoveredAt, c.outage = now, outage{}
	case !awaySince.IsZero():
		c.noteOutage(now, outage{awaySince, now})
	}
	c.answers.add(now)
	if whole {
		c.cache.replace(now, items, next)
	} else {
		c.cache.applyChanges(now, items, next)
	}
	c.cacheChanged(now)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
