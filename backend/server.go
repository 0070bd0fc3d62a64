package backend

import "greengagedock.example/registry"

// Load is an amount of concurrent work on one backend server.
type Load struct {
	requests int
	tokens   int
}

// NewLoad returns a load of concurrent requests and the KV memory they take in tokens.
func NewLoad(requests, tokens int) Load { return Load{requests: requests, tokens: tokens} }

// Requests returns the number of concurrent requests.
func (l Load) Requests() int { return l.requests }

// Tokens returns the KV memory taken, in tokens.
func (l Load) Tokens() int { return l.tokens }

// Add returns the sum of both loads.
func (l Load) Add(m Load) Load {
	return Load{requests: l.requests + m.requests, tokens: l.tokens + m.tokens}
}

// Sub returns the load less m, each part at least 0.
func (l Load) Sub(m Load) Load {
	return Load{requests: max(l.requests-m.requests, 0), tokens: max(l.tokens-m.tokens, 0)}
}

// part returns the load's n-th part of d, rounded down.
func (l Load) part(n, d int) Load {
	return Load{requests: l.requests * n / d, tokens: l.tokens * n / d}
}

// Within reports whether the load is no more than the limit in each part.
func (l Load) Within(limit Load) bool {
	return l.requests <= limit.requests && l.tokens <= limit.tokens
}

// Capacity is the load that a backend server of a service bears, and the
// number of whole answers after which a fresh one counts as warm.
type Capacity struct {
	cold      Load
	warm      Load
	warmAfter int
}

// NewCapacity returns the bearing that a service document states.
func NewCapacity(cold, warm Load, warmAfter int) Capacity {
	return Capacity{cold: cold, warm: warm, warmAfter: warmAfter}
}

// Cold returns the load that a freshly started server bears.
func (b Capacity) Cold() Load { return b.cold }

// Warm returns the load that a warm server bears.
func (b Capacity) Warm() Load { return b.warm }

// WarmAfter returns the number of whole answers that warm a server.
func (b Capacity) WarmAfter() int { return b.warmAfter }

// Server is a backend server as published, with the bearing of its service.
type Server struct {
	id      string
	kind    registry.Kind
	service string
	domain  string
	address string
	bearing Capacity
}

// NewServer returns the server that a published instance is.
func NewServer(instance registry.Instance, bearing Capacity) Server {
	return Server{
		id:      instance.ID(),
		kind:    instance.Kind(),
		service: instance.Service(),
		domain:  instance.Location().Domain(),
		address: instance.Address(),
		bearing: bearing,
	}
}

// ID returns the server's published name.
func (s Server) ID() string { return s.id }

// Kind returns whether the server is an engine or a plain service.
func (s Server) Kind() registry.Kind { return s.kind }

// Service returns the service that the server belongs to.
func (s Server) Service() string { return s.service }

// Domain returns the server's failure domain.
func (s Server) Domain() string { return s.domain }

// Address returns the server's IP and port.
func (s Server) Address() string { return s.address }

// Capacity returns the load that the server bears, cold and warm.
func (s Server) Capacity() Capacity { return s.bearing }
