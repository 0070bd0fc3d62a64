package registry

import "slices"

// Kind is the kind of program that an instance runs.
type Kind string

// The kinds of instance.
const (
	KindEntry   Kind = "entry"
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// State is whether an instance or a failure domain may get new requests.
type State string

// The published states: an instance is live or leaving, a domain in or out.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateIn      State = "in"
	StateOut     State = "out"
)

// Location is the region and failure domain of an instance.
type Location struct {
	region string
	domain string
}

// NewLocation returns the location of a failure domain within a region.
func NewLocation(region, domain string) Location { return Location{region: region, domain: domain} }

// Region returns the region's name.
func (l Location) Region() string { return l.region }

// Domain returns the failure domain's name.
func (l Location) Domain() string { return l.domain }

// Instance is one published entry instance or backend server.
type Instance struct {
	id              string
	kind            Kind
	state           State
	location        Location
	address         string
	controlAddress  string
	service         string
	supportsFencing bool
}

// NewEntry returns an entry instance whose callers connect to address and whose
// peers connect to controlAddress.
func NewEntry(id string, location Location, state State, address, controlAddress string) Instance {
	return Instance{id: id, kind: KindEntry, state: state, location: location, address: address, controlAddress: controlAddress}
}

// NewServer returns a backend server of a service that listens on address.
func NewServer(id string, kind Kind, location Location, state State, address, service string) Instance {
	return Instance{id: id, kind: kind, state: state, location: location, address: address, service: service}
}

// ID returns the instance's published name.
func (i Instance) ID() string { return i.id }

// Kind returns what the instance runs.
func (i Instance) Kind() Kind { return i.kind }

// State returns whether the instance is live or leaving.
func (i Instance) State() State { return i.state }

// Location returns the instance's region and failure domain.
func (i Instance) Location() Location { return i.location }

// Address returns the IP and port for callers, or for requests to a backend server.
func (i Instance) Address() string { return i.address }

// ControlAddress returns the IP and port on which an entry listens for its peers.
func (i Instance) ControlAddress() string { return i.controlAddress }

// Service returns the service that a backend server belongs to.
func (i Instance) Service() string { return i.service }

// SupportsFencing reports whether the backend server rejects commands with a stale
// fencing token.
func (i Instance) SupportsFencing() bool { return i.supportsFencing }

// List is one published list of instances, sorted by id; its zero value is a
// list that has not been read.
type List struct {
	version   int64
	instances []Instance
}

// NewList returns the list of the given version; it keeps its own copy.
func NewList(version int64, instances ...Instance) List {
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b Instance) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return List{version: version, instances: sorted}
}

// Version returns the platform's revision of the list, 0 if it has not been read.
func (l List) Version() int64 { return l.version }

// Len returns the number of listed instances.
func (l List) Len() int { return len(l.instances) }

// All returns the listed instances; the caller must not change the slice.
func (l List) All() []Instance { return l.instances }

// Find returns the instance with the given id.
func (l List) Find(id string) (Instance, bool) {
	for _, instance := range l.instances {
		if instance.id == id {
			return instance, true
		}
	}
	return Instance{}, false
}
