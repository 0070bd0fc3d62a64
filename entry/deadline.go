package entry

import (
	"context"
	"time"

	"greengagedock.example/registry"
)

// deadlineCheckInterval is the time between two checks of the documents' deadlines.
const deadlineCheckInterval = time.Second

// checkDeadlines logs a warning, once, when an active document allows a
// request a longer deadline than a graceful shutdown has.
func (p *Process) checkDeadlines(ctx context.Context) {
	tick := p.timers.Every(deadlineCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		service, longest := longestDeadline(p.control.Snapshot().Documents())
		if longest > p.settings.ShutdownDeadline() {
			p.log.Warn("shutdown deadline is shorter than a request deadline: a graceful shutdown may cut off requests",
				"shutdown_deadline", p.settings.ShutdownDeadline(), "service", service, "deadline", longest)
			return
		}
	}
}

// longestDeadline returns the longest deadline of all models and calls, and the service that it belongs to.
func longestDeadline(documents []*registry.Document) (service string, longest time.Duration) {
	for _, document := range documents {
		for _, model := range document.Models() {
			if model.Deadline() > longest {
				service, longest = document.Service(), model.Deadline()
			}
		}
		for _, call := range document.Calls() {
			if call.Deadline() > longest {
				service, longest = document.Service(), call.Deadline()
			}
		}
	}
	return service, longest
}
