package routing

import "time"

// Server is one incarnation of a backend server as published.
type Server struct {
	id       string
	service  string
	address  string
	domain   string
	slots    int
	leaving  bool
	coldFor  time.Duration
	born     int64
	revision int64
}

// NewServer returns a server that takes requests at the address.
func NewServer(id, service, address, domain string, slots int) Server {
	return Server{id: id, service: service, address: address, domain: domain, slots: slots}
}

// WithDraining returns the server with whether it is about to stop.
func (s Server) WithDraining(leaving bool) Server {
	s.leaving = leaving
	return s
}

// WithCold returns the server with how long it is to stay cold.
func (s Server) WithCold(coldFor time.Duration) Server {
	s.coldFor = coldFor
	return s
}

// WithIncarnation returns the server with its start in Unix milliseconds and the revision that told of it.
func (s Server) WithIncarnation(born, revision int64) Server {
	s.born, s.revision = born, revision
	return s
}

// ID returns the id of this incarnation's entry.
func (s Server) ID() string { return s.id }

// Service returns the service that it carries.
func (s Server) Service() string { return s.service }

// Address returns its IP and port.
func (s Server) Address() string { return s.address }

// Domain returns its failure domain.
func (s Server) Domain() string { return s.domain }

// Slots returns how many requests it runs at once.
func (s Server) Slots() int { return s.slots }

// Draining returns whether it is about to stop.
func (s Server) Draining() bool { return s.leaving }

// ColdFor returns how long it was to stay cold when it published that.
func (s Server) ColdFor() time.Duration { return s.coldFor }

// StartUnixMilli returns the start of this incarnation in Unix milliseconds, 0 if unknown.
func (s Server) StartUnixMilli() int64 { return s.born }

// Revision returns the revision of the store at which this was published.
func (s Server) Revision() int64 { return s.revision }
