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
	// watchWait is how long one watch of the platform waits for a change.
	watchWait = 10 * time.Second
	// retryWait is the pause after a failed read of the platform.
	retryWait = time.Second
	// relayedWait is the pause between reads where others watch for this entry.
	relayedWait = 60 * time.Second
	// fullReadEvery is the number of reads after which everything is read
	// again, in case a replica's revisions went back.
	fullReadEvery = 30
)

// watcher reads what the platform publishes.
type watcher struct {
	control *peer.Control
	client  *registry.Client
	log     hclog.Logger
	after   int64
	reads   int
}

// run reads until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		watches := w.control.Snapshot().WatchesPlatform()
		pause := w.read(ctx, watches)
		if pause == 0 && !watches {
			pause = relayedWait/2 + rand.N(relayedWait)
		}
		w.rest(ctx, pause)
	}
}

// read reads once and returns the pause that is due after it.
func (w *watcher) read(ctx context.Context, watches bool) time.Duration {
	var wait time.Duration
	if watches && w.after > 0 {
		wait = watchWait
	}
	after := w.after
	w.reads++
	if w.reads%fullReadEvery == 0 {
		after, wait = 0, 0
	}
	items, revision, err := w.client.Read(ctx, after, wait)
	if err != nil {
		w.log.Warn("platform not read", "error", err)
		return retryWait/2 + rand.N(retryWait)
	}
	w.after = max(w.after, revision)
	w.control.Deliver(peer.NewPlatformRead(items...))
	return 0
}

// rest waits for a pause, but no longer than until this entry has to watch itself.
func (w *watcher) rest(ctx context.Context, pause time.Duration) {
	for end := time.Now().Add(pause); time.Now().Before(end); {
		select {
		case <-time.After(min(retryWait, time.Until(end))):
		case <-ctx.Done():
			return
		}
		if pause > 2*retryWait && w.control.Snapshot().WatchesPlatform() {
			return
		}
	}
}
