package entry

import (
	"context"
	"time"

	"greengagedock.example/registry"
)

// deadlineInterval is the time between two looks at the documents' deadlines.
const deadlineInterval = time.Second

// checkDeadlines warns once when a document in force has a deadline longer
// than a graceful shutdown may take.
func (p *Process) checkDeadlines(ctx context.Context) {
	tick := p.timers.Every(deadlineInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		service, longest := longestDeadline(p.control.Snapshot().Documents())
		if longest > p.settings.ShutdownDeadline() {
			p.log.Warn("shutdown deadline too short: a planned stop may cut requests",
				"shutdown_deadline", p.settings.ShutdownDeadline(), "service", service, "deadline", longest)
			return
		}
	}
}

// longestDeadline returns the longest deadline of all models and calls, and its service.
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
