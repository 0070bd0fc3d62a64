package gateway

import "time"

// Settings is the configuration of one entry.
type Settings struct {
	id               string
	domain           string
	region           string
	callerAddress    string
	peerAddress      string
	directoryAddress string
	readinessAddress string
	metricsAddress   string
	seeds            []string
	shutdownGrace    time.Duration
	addressTTL       time.Duration
	retryRatio       float64
	retrySlack       int
	retryWindow      time.Duration
	timeouts         Timeouts
	memoryBytes      int64
	maxDescriptors   int
	cpuCores         float64
}

// NewSettings returns the settings of an entry in a failure domain of a region.
func NewSettings(id, domain, region string) Settings {
	return Settings{id: id, domain: domain, region: region}
}

// WithAddresses returns the settings with the IP:PORT addresses on which the
// entry listens; one that is empty is not opened.
func (s Settings) WithAddresses(callers, peers, directory, readiness, metrics string) Settings {
	s.callerAddress, s.peerAddress, s.directoryAddress, s.readinessAddress, s.metricsAddress = callers, peers, directory, readiness, metrics
	return s
}

// WithSeeds returns the settings with the peer addresses of the entries through
// which it discovers the others.
func (s Settings) WithSeeds(seeds ...string) Settings {
	s.seeds = seeds
	return s
}

// WithShutdownGrace returns the settings with the time from the stop signal
// within which the process must exit.
func (s Settings) WithShutdownGrace(grace time.Duration) Settings {
	s.shutdownGrace = grace
	return s
}

// WithAddressTTL returns the settings with the maximum time for which callers may
// cache a directory response.
func (s Settings) WithAddressTTL(ttl time.Duration) Settings {
	s.addressTTL = ttl
	return s
}

// WithRetries returns the settings with the retry budget that all entries share:
// in each window, ratio retries per request plus slack.
func (s Settings) WithRetries(ratio float64, slack int, window time.Duration) Settings {
	s.retryRatio, s.retrySlack, s.retryWindow = ratio, slack, window
	return s
}

// WithBounds returns the settings with the times from which timeouts are derived.
func (s Settings) WithBounds(bounds Bounds) Settings {
	s.timeouts = NewTimeouts(bounds)
	return s
}

// WithMemoryBytes returns the settings with the memory limit of the process.
func (s Settings) WithMemoryBytes(limit int64) Settings {
	s.memoryBytes = limit
	return s
}

// WithMaxDescriptors returns the settings with the number of descriptors that the process may
// have open, 0 for no limit.
func (s Settings) WithMaxDescriptors(limit int) Settings {
	s.maxDescriptors = limit
	return s
}

// WithCPUCores returns the settings with the CPU time that the process may use,
// in cores.
func (s Settings) WithCPUCores(cores float64) Settings {
	s.cpuCores = cores
	return s
}

// ID returns the entry's id.
func (s Settings) ID() string { return s.id }

// Domain returns the entry's failure domain.
func (s Settings) Domain() string { return s.domain }

// Region returns the entry's region.
func (s Settings) Region() string { return s.region }

// CallerAddress returns the IP:PORT address that serves callers.
func (s Settings) CallerAddress() string { return s.callerAddress }

// PeerAddress returns the IP:PORT address that serves the calls of other entries.
func (s Settings) PeerAddress() string { return s.peerAddress }

// DirectoryAddress returns the IP:PORT address of the directory, which tells
// callers where to connect.
func (s Settings) DirectoryAddress() string { return s.directoryAddress }

// ReadinessAddress returns the IP:PORT address of the readiness check.
func (s Settings) ReadinessAddress() string { return s.readinessAddress }

// MetricsAddress returns the IP:PORT address that serves the metrics.
func (s Settings) MetricsAddress() string { return s.metricsAddress }

// Seeds returns the peer addresses of the entries through which this one
// discovers the others.
func (s Settings) Seeds() []string { return s.seeds }

// ShutdownGrace returns the time from the stop signal within which the process
// must exit.
func (s Settings) ShutdownGrace() time.Duration { return s.shutdownGrace }

// AddressTTL returns the maximum time for which callers may cache a directory
// response, 0 if not set.
func (s Settings) AddressTTL() time.Duration { return s.addressTTL }

// RetryRatio returns the retries allowed per request.
func (s Settings) RetryRatio() float64 { return s.retryRatio }

// RetrySlack returns the retries allowed per window in addition to the ratio.
func (s Settings) RetrySlack() int { return s.retrySlack }

// RetryWindow returns the window in which requests and retries are counted.
func (s Settings) RetryWindow() time.Duration { return s.retryWindow }

// Timeouts returns the timeouts of the entry.
func (s Settings) Timeouts() Timeouts { return s.timeouts }

// MemoryBytes returns the memory limit of the process.
func (s Settings) MemoryBytes() int64 { return s.memoryBytes }

// MaxDescriptors returns the number of descriptors that the process may have open, 0 for no limit.
func (s Settings) MaxDescriptors() int { return s.maxDescriptors }

// CPUCores returns the CPU time that the process may use, in cores; 0 if unknown.
func (s Settings) CPUCores() float64 { return s.cpuCores }
