package routing

import "time"

// Server is a published incarnation of a backend server.
type Server struct {
	id             string
	service        string
	address        string
	domain         string
	slots          int
	draining       bool
	coldFor        time.Duration
	startUnixMilli int64
	revision       Revision
}

// NewServer returns a server that accepts requests at the address, an IP and port.
func NewServer(id, service, address, domain string, slots int) Server {
	return Server{id: id, service: service, address: address, domain: domain, slots: slots}
}

// WithDraining returns the server with whether it is draining.
func (s Server) WithDraining(draining bool) Server {
	s.draining = draining
	return s
}

// WithCold returns the server with how long it remains cold.
func (s Server) WithCold(coldFor time.Duration) Server {
	s.coldFor = coldFor
	return s
}

// WithIncarnation returns the server with its start time in Unix milliseconds and the store revision at which it was published.
func (s Server) WithIncarnation(startUnixMilli int64, revision Revision) Server {
	s.startUnixMilli, s.revision = startUnixMilli, revision
	return s
}

// ID returns the id under which the incarnation is published.
func (s Server) ID() string { return s.id }

// Incarnation returns the identity of the server.
func (s Server) Incarnation() Incarnation {
	return Incarnation{id: s.id, startUnixMilli: s.startUnixMilli}
}

// Service returns the name of the service that the server belongs to.
func (s Server) Service() string { return s.service }

// Address returns the server's IP and port.
func (s Server) Address() string { return s.address }

// Domain returns the server's failure domain.
func (s Server) Domain() string { return s.domain }

// Slots returns how many requests the server runs concurrently.
func (s Server) Slots() int { return s.slots }

// Draining reports whether the server is about to stop and takes no new requests.
func (s Server) Draining() bool { return s.draining }

// ColdFor returns how long the server remains cold, counted from its publication.
func (s Server) ColdFor() time.Duration { return s.coldFor }

// StartUnixMilli returns the start time of the incarnation in Unix milliseconds, 0 if unknown.
func (s Server) StartUnixMilli() int64 { return s.startUnixMilli }

// Revision returns the store revision at which the server was published.
func (s Server) Revision() Revision { return s.revision }
