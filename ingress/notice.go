package ingress

import (
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/routing"
	"greengagedock.example/upstream"
)

// rateLimitRefreshInterval is the time after which a rate limit that a server states again
// is reported again: a report may be lost, and other entries compare its age with answers
// that state no limit.
const rateLimitRefreshInterval = 250 * time.Millisecond

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
		s.noteRateLimit(id, service, server, routing.NewRateLimit(perSecond, s.timers.Now()))
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

// noteLoad reports the load that a server states in a response.
func (s *Server) noteLoad(service string, server routing.Incarnation, metadata upstream.ResponseMetadata) {
	load, ok := metadata.Load()
	if !ok || metadata.Misdirected() || server.ID() == "" {
		return
	}
	s.scheduler.Load(service, dispatch.NewObservedLoad(server.ID(), load.Running(), load.Waiting(), s.timers.Now()))
}

// noteRateLimit reports the rate limit that a server states in the response to a request
// with an id, if it is new or was not reported for a while.
func (s *Server) noteRateLimit(id, service string, server routing.Incarnation, limit routing.RateLimit) {
	known := s.views.View().RateLimit(server)
	if limit.PerSecond() != known.PerSecond() {
		s.log.Info("server limits requests", "id", id, "service", service, "server", server.ID(), "started", server.StartUnixMilli(), "per_second", limit.PerSecond())
	} else if limit.StatedAt().Sub(known.StatedAt()) < rateLimitRefreshInterval {
		return
	}
	s.scheduler.Notice(service, routing.NewLimiting(server, limit))
}

// noteUnlimited reports the end of a server's rate limit if the response to a request with
// an id states none. The request must have been sent after the limit was last stated: the
// response may be older than that.
func (s *Server) noteUnlimited(id, service string, server routing.Incarnation, sentAt time.Time, metadata upstream.ResponseMetadata) {
	_, states := metadata.RateLimit()
	if states || metadata.RateLimitProblem() != "" || metadata.Misdirected() {
		return
	}
	known := s.views.View().RateLimit(server)
	if !known.Limited() || !sentAt.After(known.StatedAt()) {
		return
	}
	s.log.Info("server limits requests no longer", "id", id, "service", service, "server", server.ID(), "started", server.StartUnixMilli(), "per_second", known.PerSecond(), "stated", sentAt.Sub(known.StatedAt()))
	s.scheduler.Notice(service, routing.NewLimiting(server, routing.NoRateLimit(sentAt)))
}
