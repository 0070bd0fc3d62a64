package registry

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrList is wrapped by the error of every invalid list of instances or domains.
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

// ParseList parses the value of an entries or servers item. An unknown state
// counts as leaving, and unknown fields and instances of an unknown kind are
// ignored, so that none of them prevents the rest of the list from taking
// effect.
func ParseList(item Item) (List, error) {
	var values []instanceValue
	if err := decodeItem(item, &values); err != nil {
		return List{}, err
	}
	ids := make(map[string]bool, len(values))
	instances := make([]Instance, 0, len(values))
	for _, v := range values {
		if problem := v.problem(); problem != "" {
			return List{}, eris.Wrapf(ErrList, "%s: instance %q: %s", item.key, v.ID, problem)
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

// problem returns why the instance is invalid, empty if it is valid.
func (v instanceValue) problem() string {
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

// FormatList returns the value of an item that lists the instances, as the
// platform publishes it.
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

// ParseDomains parses the value of the domains item: the state of each failure
// domain by name. An unknown state counts as out, so that it does not prevent
// the others from taking effect.
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
