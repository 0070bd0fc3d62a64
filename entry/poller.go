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
	// pollInterval is the time between two polls of a backend server's load report.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
)

// poller polls the load reports of the backend servers that this entry keeps.
type poller struct {
	control *peer.Control
	client  *backend.Client
	// doubt has the way to a server at an address checked.
	doubt    func(address string)
	timers   *timer.Service
	mu       sync.Mutex
	inFlight map[string]bool
}

// run polls every kept server at each interval until ctx is done.
func (p *poller) run(ctx context.Context) {
	tick := p.timers.Every(pollInterval)
	defer tick.Stop()
	for {
		for _, poll := range p.control.Snapshot().PolledServers() {
			if p.tryBegin(poll.Server()) {
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

// tryBegin marks a poll of the server as in flight; it returns false if one already is.
func (p *poller) tryBegin(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[server] {
		return false
	}
	p.inFlight[server] = true
	return true
}

// read polls one server and delivers its report, or the failure to get one, to the control goroutine.
func (p *poller) read(ctx context.Context, poll peer.PolledServer) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.inFlight, poll.Server())
	}()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := p.client.LoadReport(ctx, poll.Server(), poll.Address())
	if err != nil {
		p.doubt(poll.Address())
		p.control.Deliver(peer.NewServerUnreachable(poll.Server()))
		return
	}
	p.control.Deliver(peer.NewLoadReported(report))
}
