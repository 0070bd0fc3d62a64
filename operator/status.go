package operator

import (
	"encoding/json"
	"time"

	"greengagedock.example/registry"
)

// Status is the state of an entry instance at one moment.
type Status struct {
	id          string
	incarnation string
	place       registry.Location
	version     string
	started     time.Time
	taken       time.Time
	notReady    string
	draining    bool
	requests    int
	authority   bool
	watches     bool
	contact     time.Time
	listVersion int64
	entries     []Entry
	domains     []Domain
}

// NewStatus returns the status of an entry's incarnation, taken at a time.
func NewStatus(id, incarnation string, place registry.Location, taken time.Time) Status {
	return Status{id: id, incarnation: incarnation, place: place, taken: taken}
}

// WithProcess returns the status with the program's version and the time of its start.
func (s Status) WithProcess(version string, started time.Time) Status {
	s.version = version
	s.started = started
	return s
}

// WithReadiness returns the status with why the entry gets no callers, nil if it does.
func (s Status) WithReadiness(notReady error) Status {
	s.notReady = ""
	if notReady != nil {
		s.notReady = notReady.Error()
	}
	return s
}

// WithOpenRequests returns the status with the number of open requests and whether the entry drains.
func (s Status) WithOpenRequests(requests int, draining bool) Status {
	s.requests = requests
	s.draining = draining
	return s
}

// WithQuorumLease returns the status with whether the entry may give work to cold servers that it keeps.
func (s Status) WithQuorumLease(authority bool) Status {
	s.authority = authority
	return s
}

// WithPlatform returns the status with the last read of the platform, zero
// for never, whether the entry watches it, and the version of the entry list.
func (s Status) WithPlatform(contact time.Time, watches bool, listVersion int64) Status {
	s.contact = contact
	s.watches = watches
	s.listVersion = listVersion
	return s
}

// WithEntries returns the status with the listed entries.
func (s Status) WithEntries(entries ...Entry) Status {
	s.entries = entries
	return s
}

// WithDomains returns the status with the failure domains.
func (s Status) WithDomains(domains ...Domain) Status {
	s.domains = domains
	return s
}

// ID returns the entry's published id.
func (s Status) ID() string { return s.id }

// Incarnation returns what the entry drew when it started.
func (s Status) Incarnation() string { return s.incarnation }

// Location returns the entry's region and failure domain.
func (s Status) Location() registry.Location { return s.place }

// Version returns the program's version.
func (s Status) Version() string { return s.version }

// StartedAt returns when the process started.
func (s Status) StartedAt() time.Time { return s.started }

// TakenAt returns the moment that the status speaks of.
func (s Status) TakenAt() time.Time { return s.taken }

// Ready reports whether the entry gets callers.
func (s Status) Ready() bool { return s.notReady == "" }

// NotReadyReason returns why the entry gets no callers, empty if it does.
func (s Status) NotReadyReason() string { return s.notReady }

// Draining reports whether the entry is shutting down.
func (s Status) Draining() bool { return s.draining }

// OpenRequests returns the number of open requests.
func (s Status) OpenRequests() int { return s.requests }

// HasQuorumLease reports whether the entry may give work to cold servers that it keeps.
func (s Status) HasQuorumLease() bool { return s.authority }

// WatchesPlatform reports whether the entry is one of those that watch the platform for the others.
func (s Status) WatchesPlatform() bool { return s.watches }

// PlatformReadAt returns when the platform was last read, zero for never.
func (s Status) PlatformReadAt() time.Time { return s.contact }

// ListVersion returns the version of the entry list in force, 0 for none.
func (s Status) ListVersion() int64 { return s.listVersion }

// Entries returns the listed entries.
func (s Status) Entries() []Entry { return s.entries }

// Domains returns the failure domains.
func (s Status) Domains() []Domain { return s.domains }

type statusValue struct {
	ID          string    `json:"id"`
	Incarnation string    `json:"incarnation"`
	Region      string    `json:"region"`
	Domain      string    `json:"failure_domain"`
	Version     string    `json:"version"`
	Started     time.Time `json:"started,omitzero"`
	Taken       time.Time `json:"taken"`
	Ready       bool      `json:"ready"`
	NotReady    string    `json:"not_ready,omitempty"`
	Draining    bool      `json:"draining"`
	Requests    int       `json:"requests"`
	Authority   bool      `json:"authority"`
	Watches     bool      `json:"watches_platform"`
	Contact     time.Time `json:"platform_read,omitzero"`
	ListVersion int64     `json:"entry_list_version"`
	Entries     []Entry   `json:"entries"`
	Domains     []Domain  `json:"failure_domains"`
}

// MarshalJSON returns the status as the admin address answers it.
func (s Status) MarshalJSON() ([]byte, error) {
	return json.Marshal(statusValue{
		ID: s.id, Incarnation: s.incarnation, Region: s.place.Region(), Domain: s.place.Domain(),
		Version: s.version, Started: s.started, Taken: s.taken,
		Ready: s.Ready(), NotReady: s.notReady, Draining: s.draining, Requests: s.requests,
		Authority: s.authority, Watches: s.watches, Contact: s.contact, ListVersion: s.listVersion,
		Entries: orEmpty(s.entries), Domains: orEmpty(s.domains),
	})
}

// UnmarshalJSON reads the status that an admin address answered.
func (s *Status) UnmarshalJSON(text []byte) error {
	var v statusValue
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	*s = Status{
		id: v.ID, incarnation: v.Incarnation, place: registry.NewLocation(v.Region, v.Domain),
		version: v.Version, started: v.Started, taken: v.Taken,
		notReady: v.NotReady, draining: v.Draining, requests: v.Requests,
		authority: v.Authority, watches: v.Watches, contact: v.Contact, listVersion: v.ListVersion,
		entries: v.Entries, domains: v.Domains,
	}
	return nil
}

// orEmpty returns a slice that is written as an empty array rather than null.
func orEmpty[T any](values []T) []T {
	if values == nil {
		return []T{}
	}
	return values
}
