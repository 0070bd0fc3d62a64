package entry

import (
	"context"
	"sync"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/peer"
	"greengagedock.example/timer"
)

const (
	// pollInterval is the time between two reads of one backend server's load report.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds one read.
	pollTimeout = time.Second
)

// poller reads the load reports of the backend servers that this entry keeps.
type poller struct {
	control *peer.Control
	client  *backend.Client
	timers  *timer.Service
	mu      sync.Mutex
	reading map[string]bool
}

// run reads every kept server at each interval until ctx ends.
func (p *poller) run(ctx context.Context) {
	tick := p.timers.Every(pollInterval)
	defer tick.Stop()
	for {
		for _, poll := range p.control.Snapshot().PolledServers() {
			if p.begin(poll.Server()) {
				go p.read(ctx, poll)
			}
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

// begin reports whether no read of the server is going on, and notes one.
func (p *poller) begin(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reading[server] {
		return false
	}
	p.reading[server] = true
	return true
}

// read delivers one report, or that there was none.
func (p *poller) read(ctx context.Context, poll peer.PolledServer) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.reading, poll.Server())
	}()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := p.client.LoadReport(ctx, poll.Server(), poll.Address())
	if err != nil {
		p.control.Deliver(peer.NewServerUnreachable(poll.Server()))
		return
	}
	p.control.Deliver(peer.NewLoadReported(report))
}
