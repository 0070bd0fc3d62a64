package registry

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrList is the error that every unreadable list of instances or domains wraps.
var ErrList = eris.New("registry: list refused")

type instanceValue struct {
	ID      string `json:"id"`
	Kind    Kind   `json:"kind"`
	State   State  `json:"state"`
	Region  string `json:"region"`
	Domain  string `json:"failure_domain"`
	Address string `json:"address"`
	Control string `json:"control,omitempty"`
	Service string `json:"service,omitempty"`
	Fences  bool   `json:"fences,omitempty"`
}

// ParseList reads the value of an entries or servers item. A state that is
// not known counts as leaving, and a field or an instance of a kind that is
// not known is passed over, so that none of them keeps the rest of the list
// from coming into force.
func ParseList(item Item) (List, error) {
	var values []instanceValue
	if err := decodeItem(item, &values); err != nil {
		return List{}, err
	}
	ids := make(map[string]bool, len(values))
	instances := make([]Instance, 0, len(values))
	for _, v := range values {
		if fault := v.fault(); fault != "" {
			return List{}, eris.Wrapf(ErrList, "%s: instance %q: %s", item.key, v.ID, fault)
		}
		if ids[v.ID] {
			return List{}, eris.Wrapf(ErrList, "%s: instance %q stands twice", item.key, v.ID)
		}
		ids[v.ID] = true
		if v.known() {
			instances = append(instances, v.instance())
		}
	}
	return NewList(item.version, instances...), nil
}

// fault returns why the instance can't be listed, empty if it can.
func (v instanceValue) fault() string {
	switch {
	case v.ID == "":
		return "lacks its id"
	case v.Address == "":
		return "lacks its address"
	}
	return ""
}

func (v instanceValue) known() bool {
	return v.Kind == KindEntry || v.Kind == KindEngine || v.Kind == KindService
}

func (v instanceValue) instance() Instance {
	state := v.State
	if state != StateLive {
		state = StateLeaving
	}
	return Instance{
		id: v.ID, kind: v.Kind, state: state, location: NewLocation(v.Region, v.Domain),
		address: v.Address, controlAddress: v.Control, service: v.Service, supportsFencing: v.Fences,
	}
}

// FormatList returns the value of an item that lists the instances, as the platform publishes it.
func FormatList(instances ...Instance) (string, error) {
	values := make([]instanceValue, 0, len(instances))
	for _, i := range instances {
		values = append(values, instanceValue{
			ID: i.id, Kind: i.kind, State: i.state, Region: i.location.region, Domain: i.location.domain,
			Address: i.address, Control: i.controlAddress, Service: i.service, Fences: i.supportsFencing,
		})
	}
	text, err := json.Marshal(values)
	return string(text), err
}

// ParseDomains reads the value of the domains item: the state of each failure
// domain by name; a state that is not known counts as out, so that it doesn't
// keep the others from coming into force.
func ParseDomains(item Item) (map[string]State, error) {
	domains := make(map[string]State)
	if err := decodeItem(item, &domains); err != nil {
		return nil, err
	}
	for name, state := range domains {
		if state != StateIn {
			domains[name] = StateOut
		}
	}
	return domains, nil
}

// decodeItem decodes the item's value, which must be one JSON value other than null.
func decodeItem(item Item, value any) error {
	text := strings.TrimSpace(item.value)
	if text == "null" {
		return eris.Wrapf(ErrList, "%s: version %d: is null", item.key, item.version)
	}
	if err := json.Unmarshal([]byte(text), value); err != nil {
		return eris.Wrapf(ErrList, "%s: version %d: %v", item.key, item.version, err)
	}
	return nil
}
