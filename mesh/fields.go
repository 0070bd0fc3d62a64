package mesh

import (
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Entries of two versions exchange messages while a fleet is updated. A message is encoded
// as the array of its original fields while all others are zero, which is short and the only
// form that a version with just these fields accepts as an array, and else as a map of its
// fields by name, of which each version skips those that it does not know. See
// docs/design/versions.md.

// messageType is what the encoding of a type of message needs.
type messageType struct {
	original int
	names    []string
	byName   map[string]int
}

// RegisterMessage has values of a struct type encoded in a form that allows for more fields.
// The first fields, so many, are the original ones: they must never change, and others must
// follow them. It must be called before a value of the type is encoded or decoded.
func RegisterMessage[T any](original int) {
	t := reflect.TypeFor[T]()
	m := &messageType{original: original, byName: make(map[string]int)}
	for i := range t.NumField() {
		m.names = append(m.names, t.Field(i).Name)
		m.byName[t.Field(i).Name] = i
	}
	var zero T
	msgpack.Register(zero, m.encode, m.decode)
}

// encode encodes a message.
func (m *messageType) encode(encoder *msgpack.Encoder, v reflect.Value) error {
	var set []int
	for i := range m.names {
		if !v.Field(i).IsZero() {
			set = append(set, i)
		}
	}
	if len(set) == 0 || set[len(set)-1] < m.original {
		return m.encodeArray(encoder, v)
	}
	if err := encoder.EncodeMapLen(len(set)); err != nil {
		return err
	}
	for _, i := range set {
		if err := encoder.EncodeString(m.names[i]); err != nil {
			return err
		}
		if err := encoder.EncodeValue(v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

// encodeArray encodes the original fields of a message.
func (m *messageType) encodeArray(encoder *msgpack.Encoder, v reflect.Value) error {
	if err := encoder.EncodeArrayLen(m.original); err != nil {
		return err
	}
	for i := range m.original {
		if err := encoder.EncodeValue(v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

// decode decodes a message from an array of its first fields or from a map. It skips what it
// does not know and leaves the fields that are missing as they are.
func (m *messageType) decode(decoder *msgpack.Decoder, v reflect.Value) error {
	code, err := decoder.PeekCode()
	if err != nil {
		return err
	}
	if msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32 {
		return m.decodeMap(decoder, v)
	}
	n, err := decoder.DecodeArrayLen()
	for i := 0; err == nil && i < n; i++ {
		if i < len(m.names) {
			err = decoder.DecodeValue(v.Field(i))
		} else {
			err = decoder.Skip()
		}
	}
	return err
}

// decodeMap decodes a message from a map.
func (m *messageType) decodeMap(decoder *msgpack.Decoder, v reflect.Value) error {
	n, err := decoder.DecodeMapLen()
	for ; err == nil && n > 0; n-- {
		var name string
		if name, err = decoder.DecodeString(); err != nil {
			return err
		}
		if i, known := m.byName[name]; known {
			err = decoder.DecodeValue(v.Field(i))
		} else {
			err = decoder.Skip()
		}
	}
	return err
}
