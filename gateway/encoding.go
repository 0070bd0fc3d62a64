package gateway

import (
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Messages are encoded as arrays of their fields, which is short, but refused by a version
// with another number of fields. A message that has got more fields is encoded as the
// array of its original ones while the others are zero, and else as a map of the fields
// that are not: entries of both versions then understand each other while a fleet is
// updated.

// encodeFields encodes a message whose first fields, so many, are the original ones.
func encodeFields(encoder *msgpack.Encoder, message any, original int) error {
	v := reflect.ValueOf(message)
	var names []int
	extended := false
	for i := range v.NumField() {
		if !v.Field(i).IsZero() {
			names = append(names, i)
			extended = extended || i >= original
		}
	}
	if !extended {
		if err := encoder.EncodeArrayLen(original); err != nil {
			return err
		}
		for i := range original {
			if err := encoder.EncodeValue(v.Field(i)); err != nil {
				return err
			}
		}
		return nil
	}
	if err := encoder.EncodeMapLen(len(names)); err != nil {
		return err
	}
	for _, i := range names {
		if err := encoder.EncodeString(v.Type().Field(i).Name); err != nil {
			return err
		}
		if err := encoder.EncodeValue(v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

// decodeFields decodes a message, given its address, from an array of its first fields or
// from a map; fields that it does not have are skipped.
func decodeFields(decoder *msgpack.Decoder, message any) error {
	v := reflect.ValueOf(message).Elem()
	code, err := decoder.PeekCode()
	if err != nil {
		return err
	}
	if msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32 {
		n, err := decoder.DecodeMapLen()
		for ; err == nil && n > 0; n-- {
			var name string
			if name, err = decoder.DecodeString(); err == nil {
				err = decodeField(decoder, v.FieldByName(name))
			}
		}
		return err
	}
	n, err := decoder.DecodeArrayLen()
	for i := 0; err == nil && i < n; i++ {
		var field reflect.Value
		if i < v.NumField() {
			field = v.Field(i)
		}
		err = decodeField(decoder, field)
	}
	return err
}

// decodeField decodes a field, or skips it if there is none.
func decodeField(decoder *msgpack.Decoder, field reflect.Value) error {
	if !field.IsValid() {
		return decoder.Skip()
	}
	return decoder.DecodeValue(field)
}

// The numbers of original fields of the messages that have got more.
const (
	originalHeartbeatFields = 9
	originalPlacementFields = 14
	originalEventsFields    = 6
	originalNoticeFields    = 6
	originalRunningFields   = 8
)

// EncodeMsgpack encodes the heartbeat; see encodeFields.
func (m heartbeatMessage) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return encodeFields(encoder, m, originalHeartbeatFields)
}

// DecodeMsgpack decodes the heartbeat; see decodeFields.
func (m *heartbeatMessage) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeFields(decoder, m)
}

// EncodeMsgpack encodes the placement call; see encodeFields.
func (m placementMessage) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return encodeFields(encoder, m, originalPlacementFields)
}

// DecodeMsgpack decodes the placement call; see decodeFields.
func (m *placementMessage) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeFields(decoder, m)
}

// EncodeMsgpack encodes the events; see encodeFields.
func (m eventsMessage) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return encodeFields(encoder, m, originalEventsFields)
}

// DecodeMsgpack decodes the events; see decodeFields.
func (m *eventsMessage) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeFields(decoder, m)
}

// EncodeMsgpack encodes the notice; see encodeFields.
func (m noticeMessage) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return encodeFields(encoder, m, originalNoticeFields)
}

// DecodeMsgpack decodes the notice; see decodeFields.
func (m *noticeMessage) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeFields(decoder, m)
}

// EncodeMsgpack encodes the running request; see encodeFields.
func (m runningMessage) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return encodeFields(encoder, m, originalRunningFields)
}

// DecodeMsgpack decodes the running request; see decodeFields.
func (m *runningMessage) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeFields(decoder, m)
}
