package jsonc

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

// Value is one value of a text; its zero value is absent.
type Value struct {
	reader *Reader
	field  string
	offset int
	node   hujson.ValueTrimmed
}

// Present reports whether the text contains the value.
func (v Value) Present() bool { return v.node != nil }

// Line returns the value's line, or that of the object that lacks it, counted from 1.
func (v Value) Line() int {
	if v.reader == nil {
		return 1
	}
	return v.reader.line(v.offset)
}

// Report adds a problem with the value.
func (v Value) Report(format string, args ...any) {
	if v.reader != nil {
		v.reader.report(v.offset, v.field, format, args...)
	}
}

// Object returns the value's object, nil if it is absent or anything else, which is reported.
func (v Value) Object() *Object {
	switch node := v.node.(type) {
	case nil:
		return nil
	case *hujson.Object:
		return newObject(v, node)
	default:
		v.reportKind("an object")
		return nil
	}
}

// Array returns the elements of the value's array, none if it is absent or
// anything else, which is reported.
func (v Value) Array() []Value {
	switch node := v.node.(type) {
	case nil:
		return nil
	case *hujson.Array:
		return v.elements(node)
	default:
		v.reportKind("an array")
		return nil
	}
}

// IsArray reports whether the value is an array.
func (v Value) IsArray() bool {
	_, ok := v.node.(*hujson.Array)
	return ok
}

// IsObject reports whether the value is an object.
func (v Value) IsObject() bool {
	_, ok := v.node.(*hujson.Object)
	return ok
}

// Len returns the number of elements of the value's array, 0 if it is something else.
func (v Value) Len() int {
	array, ok := v.node.(*hujson.Array)
	if !ok {
		return 0
	}
	return len(array.Elements)
}

func (v Value) elements(node *hujson.Array) []Value {
	values := make([]Value, 0, len(node.Elements))
	for i := range node.Elements {
		element := &node.Elements[i]
		field := fmt.Sprintf("%s[%d]", v.field, i)
		values = append(values, Value{reader: v.reader, field: field, offset: element.StartOffset, node: element.Value})
	}
	return values
}

// Text returns the value's string; ok is false if it is absent or anything else,
// which is reported.
func (v Value) Text() (text string, ok bool) {
	literal, ok := v.literal('"', "a string")
	if !ok {
		return "", false
	}
	return literal.String(), true
}

// Bool returns the value's boolean; ok is false if it is absent or anything else,
// which is reported.
func (v Value) Bool() (value, ok bool) {
	if literal, isLiteral := v.node.(hujson.Literal); isLiteral {
		switch literal.Kind() {
		case 't':
			return true, true
		case 'f':
			return false, true
		}
	}
	if v.Present() {
		v.reportKind("true or false")
	}
	return false, false
}

// Int returns the value's whole number from minimum to maximum; ok is false if it
// is absent or anything else, which is reported.
func (v Value) Int(minimum, maximum int64) (number int64, ok bool) {
	literal, ok := v.literal('0', "a whole number")
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseInt(string(literal), 10, 64)
	switch {
	case errors.Is(err, strconv.ErrSyntax):
		v.Report("is %s, want a whole number", truncate(string(literal)))
		return 0, false
	case err != nil || number < minimum || number > maximum:
		v.Report("is %s, want %d to %d", truncate(string(literal)), minimum, maximum)
		return 0, false
	}
	return number, true
}

// Number returns the value's number from minimum to maximum; ok is false if it is
// absent or anything else, which is reported.
func (v Value) Number(minimum, maximum float64) (number float64, ok bool) {
	literal, ok := v.literal('0', "a number")
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || number < minimum || number > maximum {
		v.Report("is %s, want %g to %g", truncate(string(literal)), minimum, maximum)
		return 0, false
	}
	return number, true
}

// Duration returns the value's duration from minimum to maximum, written as a
// string such as "1.5s"; ok is false if it is absent or anything else, which is
// reported.
func (v Value) Duration(minimum, maximum time.Duration) (duration time.Duration, ok bool) {
	literal, ok := v.literal('"', `a duration such as "1.5s"`)
	if !ok {
		return 0, false
	}
	duration, err := time.ParseDuration(literal.String())
	switch {
	case err != nil:
		v.Report(`is %s, want a duration such as "1.5s"`, Quote(literal.String()))
		return 0, false
	case duration < minimum || duration > maximum:
		v.Report("is %v, want %v to %v", duration, minimum, maximum)
		return 0, false
	}
	return duration, true
}

func (v Value) literal(kind hujson.Kind, want string) (hujson.Literal, bool) {
	if !v.Present() {
		return nil, false
	}
	literal, ok := v.node.(hujson.Literal)
	if !ok || literal.Kind() != kind {
		v.reportKind(want)
		return nil, false
	}
	return literal, true
}

func (v Value) reportKind(want string) {
	v.Report("is %s, want %s", kindName(v.node.Kind()), want)
}

func kindName(kind hujson.Kind) string {
	switch kind {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 't':
		return "true"
	case 'f':
		return "false"
	default:
		return "null"
	}
}
