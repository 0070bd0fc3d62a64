package jsonc

import (
	"slices"

	"github.com/tailscale/hujson"
)

// Object is an object whose keys are read one by one; keys that were never read
// are reported as unknown. A nil Object has no keys.
type Object struct {
	value     Value
	members   map[string]member
	keys      []string
	requested map[string]bool
	knownKeys []string
}

type member struct {
	keyOffset int
	value     Value
}

func newObject(v Value, node *hujson.Object) *Object {
	o := &Object{value: v, members: make(map[string]member), requested: make(map[string]bool)}
	for i := range node.Members {
		o.add(&node.Members[i])
	}
	v.reader.objects = append(v.reader.objects, o)
	return o
}

func (o *Object) add(m *hujson.ObjectMember) {
	name := m.Name.Value.(hujson.Literal).String()
	field := join(o.value.field, name)
	if first, repeated := o.members[name]; repeated {
		o.value.reader.report(m.Name.StartOffset, field, "key repeated, first on line %d", o.value.reader.line(first.keyOffset))
		return
	}
	value := Value{reader: o.value.reader, field: field, offset: m.Value.StartOffset, node: m.Value.Value}
	o.members[name] = member{keyOffset: m.Name.StartOffset, value: value}
	o.keys = append(o.keys, name)
}

// Optional returns the value of a key, an absent one if the object lacks it.
func (o *Object) Optional(key string) Value {
	if o == nil {
		return Value{}
	}
	if !o.requested[key] {
		o.requested[key] = true
		o.knownKeys = append(o.knownKeys, key)
	}
	if m, ok := o.members[key]; ok {
		return m.value
	}
	return Value{reader: o.value.reader, field: join(o.value.field, key), offset: o.value.offset}
}

// Required returns the value of a key and reports a problem if the object lacks it.
func (o *Object) Required(key string) Value {
	v := o.Optional(key)
	if o != nil && !v.Present() {
		v.Report("missing")
	}
	return v
}

// Keys returns the object's keys in the order of the text, none for a nil Object.
func (o *Object) Keys() []string {
	if o == nil {
		return nil
	}
	return slices.Clone(o.keys)
}

func (o *Object) reportUnknown() {
	for _, name := range o.keys {
		if o.requested[name] {
			continue
		}
		m := o.members[name]
		message := "unknown key"
		if near, ok := nearest(name, o.knownKeys); ok {
			message += `, did you mean "` + near + `"?`
		}
		o.value.reader.report(m.keyOffset, m.value.field, "%s", message)
	}
}

func join(field, key string) string {
	if field == "" {
		return truncate(key)
	}
	return field + "." + truncate(key)
}
