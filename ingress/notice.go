package ingress

import (
	"greengagedock.example/routing"
	"greengagedock.example/upstream"
)

// noteResponse reports what a server states about itself in the response to a request
// with an id.
func (s *Server) noteResponse(id, service string, server routing.Incarnation, metadata upstream.ResponseMetadata) {
	if metadata.Misdirected() || server.ID() == "" {
		return
	}
	if metadata.Leaving() && !s.views.View().Leaving(server) {
		s.log.Info("server leaving", "id", id, "service", service, "server", server.ID(), "started", server.StartUnixMilli())
		s.scheduler.Notice(service, routing.NewLeaving(server, s.timers.Now()))
	}
	if problem := metadata.RateLimitProblem(); problem != "" {
		s.log.Warn("server states an odd rate limit", "id", id, "service", service, "server", server.ID(), "problem", problem)
	}
	if perSecond, ok := metadata.RateLimit(); ok {
		s.log.Info("server limits requests", "id", id, "service", service, "server", server.ID(), "started", server.StartUnixMilli(), "per_second", perSecond)
	}
	if problem := metadata.RetryAfterProblem(); problem != "" {
		s.log.Warn("server states an odd time of refusal", "id", id, "service", service, "server", server.ID(), "problem", problem, "used", metadata.RetryAfter())
	}
	if wait := metadata.RetryAfter(); wait > 0 {
		now := s.timers.Now()
		s.log.Info("server refuses requests", "id", id, "service", service, "server", server.ID(), "started", server.StartUnixMilli(), "for", wait)
		s.scheduler.Notice(service, routing.NewRefusing(server, now.Add(wait), now))
	}
}
