package gateway

import "time"

// Settings are what one entry is told about itself.
type Settings struct {
	id          string
	domain      string
	region      string
	callers     string
	peers       string
	directory   string
	readiness   string
	metrics     string
	seeds       []string
	grace       time.Duration
	addressTTL  time.Duration
	retryRatio  float64
	retrySlack  int
	retryWindow time.Duration
	stall       time.Duration
	free        time.Duration
	memory      int64
	processor   float64
}

// NewSettings returns the settings of an entry in a failure domain of a region.
func NewSettings(id, domain, region string) Settings {
	return Settings{id: id, domain: domain, region: region}
}

// WithAddresses returns the settings with the IPs and ports on which the entry is heard.
func (s Settings) WithAddresses(callers, peers, directory, readiness, metrics string) Settings {
	s.callers, s.peers, s.directory, s.readiness, s.metrics = callers, peers, directory, readiness, metrics
	return s
}

// WithSeeds returns the settings with the addresses of entries that know others.
func (s Settings) WithSeeds(seeds ...string) Settings {
	s.seeds = seeds
	return s
}

// WithShutdownGrace returns the settings with the time between the signal to stop and the end.
func (s Settings) WithShutdownGrace(grace time.Duration) Settings {
	s.grace = grace
	return s
}

// WithAddressTTL returns the settings with how long callers may keep an answer of the directory.
func (s Settings) WithAddressTTL(ttl time.Duration) Settings {
	s.addressTTL = ttl
	return s
}

// WithRetries returns the settings with the bound on repeats of all entries together.
func (s Settings) WithRetries(ratio float64, slack int, window time.Duration) Settings {
	s.retryRatio, s.retrySlack, s.retryWindow = ratio, slack, window
	return s
}

// WithEngineTimeouts returns the settings with how long a backend server waits for
// another that helps it, and how soon unused memory must be free.
func (s Settings) WithEngineTimeouts(stall, free time.Duration) Settings {
	s.stall, s.free = stall, free
	return s
}

// WithMemoryBytes returns the settings with the bytes of memory that the process may use.
func (s Settings) WithMemoryBytes(memory int64) Settings {
	s.memory = memory
	return s
}

// WithCPUCores returns the settings with the part of a processor that the
// process may use, in cores.
func (s Settings) WithCPUCores(cores float64) Settings {
	s.processor = cores
	return s
}

// ID returns the entry's id.
func (s Settings) ID() string { return s.id }

// Domain returns the entry's failure domain.
func (s Settings) Domain() string { return s.domain }

// Region returns the entry's region.
func (s Settings) Region() string { return s.region }

// CallerAddress returns the IP and port on which callers are heard.
func (s Settings) CallerAddress() string { return s.callers }

// PeerAddress returns the IP and port on which other entries are heard.
func (s Settings) PeerAddress() string { return s.peers }

// DirectoryAddress returns the IP and port that tells callers where to connect.
func (s Settings) DirectoryAddress() string { return s.directory }

// ReadinessAddress returns the IP and port that tells whether the entry is ready.
func (s Settings) ReadinessAddress() string { return s.readiness }

// MetricsAddress returns the IP and port of the metrics.
func (s Settings) MetricsAddress() string { return s.metrics }

// Seeds returns the IPs and ports of entries that know others.
func (s Settings) Seeds() []string { return s.seeds }

// ShutdownGrace returns the time between the signal to stop and the end.
func (s Settings) ShutdownGrace() time.Duration { return s.grace }

// AddressTTL returns how long callers may keep an answer of the directory.
func (s Settings) AddressTTL() time.Duration { return s.addressTTL }

// RetryRatio returns the repeats that are allowed for each request.
func (s Settings) RetryRatio() float64 { return s.retryRatio }

// RetrySlack returns the repeats that are allowed besides.
func (s Settings) RetrySlack() int { return s.retrySlack }

// RetryWindow returns the time in which repeats are counted.
func (s Settings) RetryWindow() time.Duration { return s.retryWindow }

// PrefillStallTimeout returns how long a backend server waits for another that helps it.
func (s Settings) PrefillStallTimeout() time.Duration { return s.stall }

// ReleaseTimeout returns how soon memory that no request uses must be free at the engines.
func (s Settings) ReleaseTimeout() time.Duration { return s.free }

// MemoryBytes returns the bytes of memory that the process may use.
func (s Settings) MemoryBytes() int64 { return s.memory }

// CPUCores returns the part of a processor that the process may use, in cores; 0 if unknown.
func (s Settings) CPUCores() float64 { return s.processor }
