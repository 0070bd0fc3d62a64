package backend

import "greengagedock.example/registry"

// Load is an amount of concurrent work on one backend server.
type Load struct {
	requests int
	tokens   int
}

// NewLoad returns a load of concurrent requests and of the KV memory that
// they take, in tokens.
func NewLoad(requests, tokens int) Load { return Load{requests: requests, tokens: tokens} }

// Requests returns the number of concurrent requests.
func (l Load) Requests() int { return l.requests }

// Tokens returns the KV memory taken, in tokens.
func (l Load) Tokens() int { return l.tokens }

// Add returns the sum of both loads.
func (l Load) Add(m Load) Load {
	return Load{requests: l.requests + m.requests, tokens: l.tokens + m.tokens}
}

// Sub returns the load less m, each component at least 0.
func (l Load) Sub(m Load) Load {
	return Load{requests: max(l.requests-m.requests, 0), tokens: max(l.tokens-m.tokens, 0)}
}

// part returns n/d of the load, rounded down.
func (l Load) part(n, d int) Load {
	return Load{requests: l.requests * n / d, tokens: l.tokens * n / d}
}

// Within reports whether no component of the load exceeds the limit.
func (l Load) Within(limit Load) bool {
	return l.requests <= limit.requests && l.tokens <= limit.tokens
}

// Capacity is the load that a backend server of a service can take, when cold
// and when warm, and the number of complete answers after which a fresh
// server starts to count as warmer.
type Capacity struct {
	cold      Load
	warm      Load
	warmAfter int
}

// NewCapacity returns the capacity that a service document specifies.
func NewCapacity(cold, warm Load, warmAfter int) Capacity {
	return Capacity{cold: cold, warm: warm, warmAfter: warmAfter}
}

// Cold returns the load that a freshly started server can take.
func (c Capacity) Cold() Load { return c.cold }

// Warm returns the load that a warm server can take.
func (c Capacity) Warm() Load { return c.warm }

// WarmAfter returns the number of complete answers after which the load
// allowed on a server starts to rise.
func (c Capacity) WarmAfter() int { return c.warmAfter }

// Server is a backend server as published, with the capacity specified by its
// service.
type Server struct {
	id       string
	kind     registry.Kind
	service  string
	domain   string
	address  string
	capacity Capacity
}

// NewServer returns the server of a published instance.
func NewServer(instance registry.Instance, capacity Capacity) Server {
	return Server{
		id:       instance.ID(),
		kind:     instance.Kind(),
		service:  instance.Service(),
		domain:   instance.Location().Domain(),
		address:  instance.Address(),
		capacity: capacity,
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

// Capacity returns the load that the server can take, cold and warm.
func (s Server) Capacity() Capacity { return s.capacity }
