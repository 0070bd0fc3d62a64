package operator

import (
	"encoding/json"
	"time"

	"greengagedock.example/registry"
)

// Entry is a listed entry instance as another one sees it.
type Entry struct {
	id       string
	domain   string
	state    registry.State
	requests int
	silent   bool
	draining bool
	heard    time.Time
	version  int64
}

// NewEntry returns a listed entry instance.
func NewEntry(instance registry.Instance) Entry {
	return Entry{id: instance.ID(), domain: instance.Location().Domain(), state: instance.State()}
}

// WithHeartbeat returns the entry with what it last said: its open requests,
// whether it drains, and the version of the entry list that it had.
func (e Entry) WithHeartbeat(heard time.Time, requests int, draining bool, listVersion int64) Entry {
	e.heard = heard
	e.requests = requests
	e.draining = draining
	e.version = listVersion
	return e
}

// WithSilent returns the entry with whether it was not heard lately.
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

// OpenRequests returns the number of requests that the entry last said to have open.
func (e Entry) OpenRequests() int { return e.requests }

// Silent reports whether the entry was not heard lately.
func (e Entry) Silent() bool { return e.silent }

// Draining reports whether the entry said that it is shutting down.
func (e Entry) Draining() bool { return e.draining }

// LastHeard returns when the entry was last heard, zero for never.
func (e Entry) LastHeard() time.Time { return e.heard }

// ListVersion returns the version of the entry list that the entry last had.
func (e Entry) ListVersion() int64 { return e.version }

type entryValue struct {
	ID       string         `json:"id"`
	Domain   string         `json:"failure_domain"`
	State    registry.State `json:"state"`
	Requests int            `json:"requests"`
	Silent   bool           `json:"silent"`
	Draining bool           `json:"draining"`
	Heard    time.Time      `json:"heard,omitzero"`
	Version  int64          `json:"entry_list_version"`
}

// MarshalJSON returns the entry as the admin address answers it.
func (e Entry) MarshalJSON() ([]byte, error) {
	return json.Marshal(entryValue{
		ID: e.id, Domain: e.domain, State: e.state, Requests: e.requests,
		Silent: e.silent, Draining: e.draining, Heard: e.heard, Version: e.version,
	})
}

// UnmarshalJSON reads the entry that an admin address answered.
func (e *Entry) UnmarshalJSON(text []byte) error {
	var v entryValue
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	*e = Entry{
		id: v.ID, domain: v.Domain, state: v.State, requests: v.Requests,
		silent: v.Silent, draining: v.Draining, heard: v.Heard, version: v.Version,
	}
	return nil
}

// Domain is a failure domain with its published state.
type Domain struct {
	name  string
	state registry.State
}

// NewDomain returns a failure domain that is in or out.
func NewDomain(name string, state registry.State) Domain { return Domain{name: name, state: state} }

// Name returns the failure domain's name.
func (d Domain) Name() string { return d.name }

// State returns whether the failure domain is in or out.
func (d Domain) State() registry.State { return d.state }

type domainValue struct {
	Name  string         `json:"name"`
	State registry.State `json:"state"`
}

// MarshalJSON returns the domain as the admin address answers it.
func (d Domain) MarshalJSON() ([]byte, error) {
	return json.Marshal(domainValue{Name: d.name, State: d.state})
}

// UnmarshalJSON reads the domain that an admin address answered.
func (d *Domain) UnmarshalJSON(text []byte) error {
	var v domainValue
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	*d = Domain{name: v.Name, state: v.State}
	return nil
}
