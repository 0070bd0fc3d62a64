package ingress

import (
	"greengagedock.example/routing"
	"greengagedock.example/upstream"
)

// noteResponse reports what a server states about itself in the response to a request
// with an id.
func (s *Server) noteResponse(id, service string, server routing.Incarnation, metadata upstream.ResponseMetadata) {
	if !metadata.Leaving() || metadata.Misdirected() || server.ID() == "" {
		return
	}
	if s.views.View().Leaving(server) {
		return
	}
	s.log.Info("server leaving", "id", id, "service", service, "server", server.ID(), "started", server.StartUnixMilli())
	s.scheduler.Notice(service, routing.NewLeaving(server, s.timers.Now()))
}
