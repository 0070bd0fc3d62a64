package operator

import (
	"encoding/json"
	"time"

	"greengagedock.example/registry"
)

// Entry is the state of a listed entry instance as known to another entry.
type Entry struct {
	id           string
	domain       string
	state        registry.State
	openRequests int
	silent       bool
	draining     bool
	lastHeard    time.Time
	listVersion  int64
}

// NewEntry returns the state of a listed entry instance, without any heartbeat yet.
func NewEntry(instance registry.Instance) Entry {
	return Entry{id: instance.ID(), domain: instance.Location().Domain(), state: instance.State()}
}

// WithHeartbeat returns the entry with the contents of its last heartbeat: its
// open requests, whether it drains, and the version of its entry list.
func (e Entry) WithHeartbeat(lastHeard time.Time, openRequests int, draining bool, listVersion int64) Entry {
	e.lastHeard = lastHeard
	e.openRequests = openRequests
	e.draining = draining
	e.listVersion = listVersion
	return e
}

// WithSilent returns the entry with whether its heartbeats are overdue.
func (e Entry) WithSilent(silent bool) Entry {
	e.silent = silent
	return e
}

// ID returns the entry's published id.
func (e Entry) ID() string { return e.id }

// Domain returns the entry's failure domain.
func (e Entry) Domain() string { return e.domain }

// State returns the published state.
func (e Entry) State() registry.State { return e.state }

// OpenRequests returns the number of open requests that the entry last reported.
func (e Entry) OpenRequests() int { return e.openRequests }

// Silent reports whether the entry's heartbeats are overdue.
func (e Entry) Silent() bool { return e.silent }

// Draining reports whether the entry last reported that it is shutting down.
func (e Entry) Draining() bool { return e.draining }

// LastHeard returns when the entry's last heartbeat arrived, zero for never.
func (e Entry) LastHeard() time.Time { return e.lastHeard }

// ListVersion returns the version of the entry list that the entry last reported.
func (e Entry) ListVersion() int64 { return e.listVersion }

type entryValue struct {
	ID           string         `json:"id"`
	Domain       string         `json:"failure_domain"`
	State        registry.State `json:"state"`
	OpenRequests int            `json:"requests"`
	Silent       bool           `json:"silent"`
	Draining     bool           `json:"draining"`
	LastHeard    time.Time      `json:"heard,omitzero"`
	ListVersion  int64          `json:"entry_list_version"`
}

// MarshalJSON encodes the entry as the admin server returns it.
func (e Entry) MarshalJSON() ([]byte, error) {
	return json.Marshal(entryValue{
		ID: e.id, Domain: e.domain, State: e.state, OpenRequests: e.openRequests,
		Silent: e.silent, Draining: e.draining, LastHeard: e.lastHeard, ListVersion: e.listVersion,
	})
}

// UnmarshalJSON decodes an entry returned by an admin server.
func (e *Entry) UnmarshalJSON(text []byte) error {
	var v entryValue
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	*e = Entry{
		id: v.ID, domain: v.Domain, state: v.State, openRequests: v.OpenRequests,
		silent: v.Silent, draining: v.Draining, lastHeard: v.LastHeard, listVersion: v.ListVersion,
	}
	return nil
}

// Domain is a failure domain with its published state.
type Domain struct {
	name  string
	state registry.State
}

// NewDomain returns a failure domain that is in or out of service.
func NewDomain(name string, state registry.State) Domain { return Domain{name: name, state: state} }

// Name returns the failure domain's name.
func (d Domain) Name() string { return d.name }

// State returns whether the failure domain is in or out of service.
func (d Domain) State() registry.State { return d.state }

type domainValue struct {
	Name  string         `json:"name"`
	State registry.State `json:"state"`
}

// MarshalJSON encodes the domain as the admin server returns it.
func (d Domain) MarshalJSON() ([]byte, error) {
	return json.Marshal(domainValue{Name: d.name, State: d.state})
}

// UnmarshalJSON decodes a domain returned by an admin server.
func (d *Domain) UnmarshalJSON(text []byte) error {
	var v domainValue
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	*d = Domain{name: v.Name, state: v.State}
	return nil
}
