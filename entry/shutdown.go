package entry

import (
	"context"
	"time"

	"greengagedock.example/peer"
	"greengagedock.example/registry"
)

const (
	// drainNotice is how long an entry that shuts down tells its peers so before
	// it refuses new requests.
	drainNotice = 1500 * time.Millisecond
	// flushTime is how long the last released slots have to reach their keepers.
	flushTime = 500 * time.Millisecond
	// endNotice is how long the word that this entry stops has to reach its peers.
	endNotice = 100 * time.Millisecond
	// lingerMargin is what a linger leaves of the shutdown deadline.
	lingerMargin = time.Second
	// closeTime bounds the writing of the last answers to their connections.
	closeTime = 5 * time.Second
)

// Shutdown ends the entry without cutting a request. It tells its peers and
// is no address any more, takes requests for a short notice still, then
// refuses new ones, finishes those that are open, lingers and goes; until
// then it grants the slots of the servers that it keeps. When ctx ends first,
// what is still open is cut and ctx's error returned.
func (p *Process) Shutdown(ctx context.Context) error {
	p.leaving.Store(true)
	p.log.Info("entry draining", "open_requests", p.server.OpenRequests())
	p.control.Deliver(peer.Draining{})
	wait(ctx, drainNotice)
	refusing := p.timers.Now()
	cut := 0
	err := p.server.Drain(ctx)
	if err != nil {
		cut = p.server.OpenRequests()
	} else {
		err = wait(ctx, p.linger(ctx, p.timers.Now().Sub(refusing)))
	}
	p.control.Deliver(peer.Stopping{})
	wait(ctx, endNotice)
	closing, cancel := context.WithTimeout(ctx, closeTime)
	defer cancel()
	p.stop(closing)
	p.log.Info("entry drained", "cut_requests", cut)
	return err
}

// linger returns how much longer the entry stays after it has refused new
// requests for a time. A caller may hold an id of a non-repeatable call whose
// home this entry is for as long as an address answer lives; gone, the entry
// could not tell such a caller that the call has not run.
func (p *Process) linger(ctx context.Context, refused time.Duration) time.Duration {
	s := p.control.Snapshot()
	if !hasNonRepeatable(s.Documents()) || !p.hasSuccessor(s) {
		return flushTime
	}
	_, life := s.Addresses("")
	stay := max(life-refused, flushTime)
	if deadline, ok := ctx.Deadline(); ok {
		stay = min(stay, time.Until(deadline)-lingerMargin)
	}
	return max(stay, 0)
}

// hasNonRepeatable reports whether a document has a call that runs at most once.
func hasNonRepeatable(documents []*registry.Document) bool {
	for _, document := range documents {
		for _, call := range document.Calls() {
			if !call.Repeatable() {
				return true
			}
		}
	}
	return false
}

// hasSuccessor reports whether another entry takes callers.
func (p *Process) hasSuccessor(s *peer.Snapshot) bool {
	for _, e := range s.Entries() {
		if e.Instance().ID() != p.settings.ID() && !e.Silent() && !e.Draining() {
			return true
		}
	}
	return false
}

// wait waits for d, and returns ctx's error if it ends before.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
