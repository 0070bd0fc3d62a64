package operator

import (
	"encoding/json"
	"time"

	"greengagedock.example/registry"
)

// Status is the state of an entry instance at one moment.
type Status struct {
	id              string
	incarnation     string
	location        registry.Location
	version         string
	startedAt       time.Time
	takenAt         time.Time
	notReadyReason  string
	draining        bool
	openRequests    int
	quorumLease     bool
	watchesPlatform bool
	platformReadAt  time.Time
	listVersion     int64
	entries         []Entry
	domains         []Domain
}

// NewStatus returns the status of an entry's incarnation, taken at the given time.
func NewStatus(id, incarnation string, location registry.Location, takenAt time.Time) Status {
	return Status{id: id, incarnation: incarnation, location: location, takenAt: takenAt}
}

// WithProcess returns the status with the program's version and the start time of the process.
func (s Status) WithProcess(version string, startedAt time.Time) Status {
	s.version = version
	s.startedAt = startedAt
	return s
}

// WithReadiness returns the status with the reason why the entry is not ready, nil if it is.
func (s Status) WithReadiness(notReady error) Status {
	s.notReadyReason = ""
	if notReady != nil {
		s.notReadyReason = notReady.Error()
	}
	return s
}

// WithOpenRequests returns the status with the number of open requests and whether the entry drains.
func (s Status) WithOpenRequests(openRequests int, draining bool) Status {
	s.openRequests = openRequests
	s.draining = draining
	return s
}

// WithQuorumLease returns the status with whether the entry holds the lease,
// granted by a majority of the listed entries, without which a keeper grants no
// slots of cold servers.
func (s Status) WithQuorumLease(quorumLease bool) Status {
	s.quorumLease = quorumLease
	return s
}

// WithPlatform returns the status with the time of the last read of the
// platform, zero for never, whether the entry watches it, and the version of
// the active entry list.
func (s Status) WithPlatform(readAt time.Time, watches bool, listVersion int64) Status {
	s.platformReadAt = readAt
	s.watchesPlatform = watches
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

// Incarnation returns the number, in hexadecimal, that identifies this run of the entry.
func (s Status) Incarnation() string { return s.incarnation }

// Location returns the entry's region and failure domain.
func (s Status) Location() registry.Location { return s.location }

// Version returns the program's version.
func (s Status) Version() string { return s.version }

// StartedAt returns when the process started.
func (s Status) StartedAt() time.Time { return s.startedAt }

// TakenAt returns when the status was taken.
func (s Status) TakenAt() time.Time { return s.takenAt }

// Ready reports whether callers may be sent to the entry.
func (s Status) Ready() bool { return s.notReadyReason == "" }

// NotReadyReason returns why callers should not be sent to the entry, empty if it is ready.
func (s Status) NotReadyReason() string { return s.notReadyReason }

// Draining reports whether the entry is shutting down.
func (s Status) Draining() bool { return s.draining }

// OpenRequests returns the number of open requests.
func (s Status) OpenRequests() int { return s.openRequests }

// HasQuorumLease reports whether the entry holds the lease that lets it grant slots of cold servers that it keeps.
func (s Status) HasQuorumLease() bool { return s.quorumLease }

// WatchesPlatform reports whether the entry watches the platform and relays changes to its peers.
func (s Status) WatchesPlatform() bool { return s.watchesPlatform }

// PlatformReadAt returns when the platform was last read, zero for never.
func (s Status) PlatformReadAt() time.Time { return s.platformReadAt }

// ListVersion returns the version of the active entry list, 0 for none.
func (s Status) ListVersion() int64 { return s.listVersion }

// Entries returns the listed entries.
func (s Status) Entries() []Entry { return s.entries }

// Domains returns the failure domains.
func (s Status) Domains() []Domain { return s.domains }

type statusValue struct {
	ID              string    `json:"id"`
	Incarnation     string    `json:"incarnation"`
	Region          string    `json:"region"`
	Domain          string    `json:"failure_domain"`
	Version         string    `json:"version"`
	StartedAt       time.Time `json:"started,omitzero"`
	TakenAt         time.Time `json:"taken"`
	Ready           bool      `json:"ready"`
	NotReadyReason  string    `json:"not_ready,omitempty"`
	Draining        bool      `json:"draining"`
	OpenRequests    int       `json:"requests"`
	QuorumLease     bool      `json:"authority"`
	WatchesPlatform bool      `json:"watches_platform"`
	PlatformReadAt  time.Time `json:"platform_read,omitzero"`
	ListVersion     int64     `json:"entry_list_version"`
	Entries         []Entry   `json:"entries"`
	Domains         []Domain  `json:"failure_domains"`
}

// MarshalJSON encodes the status as the admin server returns it.
func (s Status) MarshalJSON() ([]byte, error) {
	return json.Marshal(statusValue{
		ID: s.id, Incarnation: s.incarnation, Region: s.location.Region(), Domain: s.location.Domain(),
		Version: s.version, StartedAt: s.startedAt, TakenAt: s.takenAt,
		Ready: s.Ready(), NotReadyReason: s.notReadyReason, Draining: s.draining, OpenRequests: s.openRequests,
		QuorumLease: s.quorumLease, WatchesPlatform: s.watchesPlatform, PlatformReadAt: s.platformReadAt, ListVersion: s.listVersion,
		Entries: orEmpty(s.entries), Domains: orEmpty(s.domains),
	})
}

// UnmarshalJSON decodes a status returned by an admin server.
func (s *Status) UnmarshalJSON(text []byte) error {
	var v statusValue
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	*s = Status{
		id: v.ID, incarnation: v.Incarnation, location: registry.NewLocation(v.Region, v.Domain),
		version: v.Version, startedAt: v.StartedAt, takenAt: v.TakenAt,
		notReadyReason: v.NotReadyReason, draining: v.Draining, openRequests: v.OpenRequests,
		quorumLease: v.QuorumLease, watchesPlatform: v.WatchesPlatform, platformReadAt: v.PlatformReadAt, listVersion: v.ListVersion,
		entries: v.Entries, domains: v.Domains,
	}
	return nil
}

// orEmpty returns values, or an empty slice for nil, which JSON would encode as null.
func orEmpty[T any](values []T) []T {
	if values == nil {
		return []T{}
	}
	return values
}
