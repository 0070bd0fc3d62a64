package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"greengagedock.example/peer"
	"greengagedock.example/registry"
)

const (
	// watchTimeout is how long one long-polling read of the platform waits for a change.
	watchTimeout = 10 * time.Second
	// retryDelay is the mean delay after a failed read of the platform.
	retryDelay = time.Second
	// relayedReadInterval is the mean time between reads while other entries watch the
	// platform and relay changes to this one.
	relayedReadInterval = 60 * time.Second
	// fullReadEvery is the number of reads after which everything is read
	// again, in case a replica went back to an earlier revision.
	fullReadEvery = 30
)

// watcher reads the items that the platform publishes.
type watcher struct {
	control  *peer.Control
	client   *registry.Client
	log      hclog.Logger
	revision int64
	reads    int
}

// run reads until ctx is done.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		watches := w.control.Snapshot().WatchesPlatform()
		delay := w.read(ctx, watches)
		if delay == 0 && !watches {
			delay = relayedReadInterval/2 + rand.N(relayedReadInterval)
		}
		w.sleep(ctx, delay)
	}
}

// read reads the platform once and returns the delay before the next read.
func (w *watcher) read(ctx context.Context, watches bool) time.Duration {
	var wait time.Duration
	if watches && w.revision > 0 {
		wait = watchTimeout
	}
	after := w.revision
	w.reads++
	if w.reads%fullReadEvery == 0 {
		after, wait = 0, 0
	}
	items, revision, err := w.client.Read(ctx, after, wait)
	if err != nil {
		w.log.Warn("platform read failed", "error", err)
		return retryDelay/2 + rand.N(retryDelay)
	}
	w.revision = max(w.revision, revision)
	w.control.Deliver(peer.NewPlatformRead(items...))
	return 0
}

// sleep waits for the delay, but returns early once this entry has to watch the platform itself.
func (w *watcher) sleep(ctx context.Context, delay time.Duration) {
	for end := time.Now().Add(delay); time.Now().Before(end); {
		select {
		case <-time.After(min(retryDelay, time.Until(end))):
		case <-ctx.Done():
			return
		}
		if delay > 2*retryDelay && w.control.Snapshot().WatchesPlatform() {
			return
		}
	}
}
