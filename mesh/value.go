package mesh

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxNesting bounds how deep the arrays and maps of a message are nested. The library skips
// unknown values recursively, and a stack that is too deep ends the process: eight megabytes
// of nested arrays took over a gigabyte of it.
const maxNesting = 32

// ErrMalformed is wrapped by the errors for messages that are no value of the encoding, or
// are nested too deep.
var ErrMalformed = eris.New("mesh: malformed message")

// byteSource is what messages are read from.
type byteSource interface {
	io.Reader
	io.ByteReader
}

// valueReader reads one encoded value and copies its bytes.
type valueReader struct {
	from byteSource
	to   *bytes.Buffer // nil to copy nothing
	// left holds the number of values that each open array or map still has.
	left []uint64
	// memory estimates the memory of what was read, once it is decoded. reserve is asked for it in
	// steps before more is read, for reserved bytes so far; nil to ask for none.
	memory   int64
	reserved int64
	reserve  func(bytes int64) bool
}

// CheckNesting returns an error that wraps ErrMalformed unless an encoded body consists of
// whole values that are safe to decode.
func CheckNesting(body []byte) error {
	for from := bytes.NewReader(body); from.Len() > 0; {
		if err := readValue(from, nil); err != nil {
			return eris.Wrap(ErrMalformed, err.Error())
		}
	}
	return nil
}

// readValue reads one encoded value and copies its bytes to a buffer unless that is nil.
func readValue(from byteSource, to *bytes.Buffer) error {
	r := newValueReader(from, to)
	return r.read()
}

// newValueReader returns a reader of one value that copies its bytes to a buffer unless that is nil.
func newValueReader(from byteSource, to *bytes.Buffer) valueReader {
	r := valueReader{from: from, to: to, left: make([]uint64, 1, maxNesting+1)}
	r.left[0] = 1
	return r
}

// read reads the value.
func (r *valueReader) read() error {
	for len(r.left) > 0 {
		top := len(r.left) - 1
		if r.left[top] == 0 {
			r.left = r.left[:top]
			continue
		}
		r.left[top]--
		if err := r.element(); err != nil {
			return err
		}
	}
	return nil
}

// element reads a value that contains no others, or the head of one that does.
func (r *valueReader) element() error {
	code, err := r.from.ReadByte()
	if err != nil {
		return err
	}
	if err := r.grow(elementBytes + messageByteFactor); err != nil {
		return err
	}
	if r.to != nil {
		r.to.WriteByte(code)
	}
	switch {
	case msgpcode.IsFixedNum(code), code == msgpcode.Nil, code == msgpcode.False, code == msgpcode.True:
		return nil
	case msgpcode.IsFixedMap(code):
		return r.open(2 * uint64(code&msgpcode.FixedMapMask))
	case msgpcode.IsFixedArray(code):
		return r.open(uint64(code & msgpcode.FixedArrayMask))
	case msgpcode.IsFixedString(code):
		return r.copy(uint64(code & msgpcode.FixedStrMask))
	}
	if width, ok := fixedWidths[code]; ok {
		return r.copy(width)
	}
	form, ok := lengthForms[code]
	if !ok {
		return eris.Errorf("unknown code %#x", code)
	}
	n, err := r.length(form.width)
	switch {
	case err != nil:
		return err
	case form.perItem > 0:
		return r.open(n * form.perItem)
	default:
		return r.copy(n + form.extra)
	}
}

// fixedWidths holds the numbers of bytes that follow the codes of values of a fixed width.
var fixedWidths = map[byte]uint64{
	msgpcode.Uint8: 1, msgpcode.Int8: 1, msgpcode.Uint16: 2, msgpcode.Int16: 2,
	msgpcode.Uint32: 4, msgpcode.Int32: 4, msgpcode.Float: 4,
	msgpcode.Uint64: 8, msgpcode.Int64: 8, msgpcode.Double: 8,
	msgpcode.FixExt1: 2, msgpcode.FixExt2: 3, msgpcode.FixExt4: 5, msgpcode.FixExt8: 9, msgpcode.FixExt16: 17,
}

// lengthForm describes a value that states its length: the width of the length, the bytes
// beyond it, and the values for each counted item of an array or map.
type lengthForm struct {
	width          int
	extra, perItem uint64
}

var lengthForms = map[byte]lengthForm{
	msgpcode.Str8: {width: 1}, msgpcode.Str16: {width: 2}, msgpcode.Str32: {width: 4},
	msgpcode.Bin8: {width: 1}, msgpcode.Bin16: {width: 2}, msgpcode.Bin32: {width: 4},
	msgpcode.Ext8: {width: 1, extra: 1}, msgpcode.Ext16: {width: 2, extra: 1}, msgpcode.Ext32: {width: 4, extra: 1},
	msgpcode.Array16: {width: 2, perItem: 1}, msgpcode.Array32: {width: 4, perItem: 1},
	msgpcode.Map16: {width: 2, perItem: 2}, msgpcode.Map32: {width: 4, perItem: 2},
}

// open begins an array or map with a number of values.
func (r *valueReader) open(values uint64) error {
	if len(r.left) > maxNesting {
		return eris.Errorf("nested deeper than %d", maxNesting)
	}
	r.left = append(r.left, values)
	return nil
}

// length reads a length of a width in bytes.
func (r *valueReader) length(width int) (uint64, error) {
	var wide [8]byte
	if _, err := io.ReadFull(r.from, wide[8-width:]); err != nil {
		return 0, err
	}
	if r.to != nil {
		r.to.Write(wide[8-width:])
	}
	return binary.BigEndian.Uint64(wide[:]), nil
}

// copy reads n bytes.
func (r *valueReader) copy(n uint64) error {
	to := io.Discard
	if r.to != nil {
		to = r.to
	}
	for n > 0 {
		part := min(n, reserveStep)
		if err := r.grow(messageByteFactor * int64(part)); err != nil {
			return err
		}
		if _, err := io.CopyN(to, r.from, int64(part)); err != nil {
			return err
		}
		n -= part
	}
	return nil
}

// grow counts more memory for the value, and reserves it if that is due.
func (r *valueReader) grow(bytes int64) error {
	r.memory += bytes
	if r.reserve == nil || r.memory <= r.reserved {
		return nil
	}
	r.reserved = r.memory + reserveStep
	if !r.reserve(r.reserved) {
		return errMessageMemory
	}
	return nil
}
