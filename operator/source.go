package operator

// Source provides the state of an entry instance to the admin server. Its
// methods must be safe for concurrent use.
type Source interface {
	// Healthy returns the reason why the process should be replaced, nil if it is healthy.
	Healthy() error
	// Ready returns the reason why callers should not be sent to the entry, nil if it is ready.
	Ready() error
	// Status returns the entry's state.
	Status() Status
	// Config returns the published items that are active and those that were refused.
	Config() Config
	// BackendServers returns the servers that the entry keeps, sorted by id.
	BackendServers() []BackendServer
}

// Drainer starts the graceful shutdown of an entry instance.
type Drainer interface {
	// Drain starts the shutdown and returns immediately; further calls have no effect.
	Drain()
}
