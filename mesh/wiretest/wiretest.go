package wiretest

import (
	"fmt"
	"hash/fnv"
	"os"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Version describes the messages of an earlier version.
type Version struct {
	// Fields holds the number of fields of each type of message.
	Fields map[string]int
	// Originals holds, for the types whose decoder there takes any array and any map, the number
	// of fields of the arrays; it refuses an array of the others that has not exactly Fields.
	Originals map[string]int
}

// Fill sets the first fields of a message, at most so many for each type, and those of the
// messages in it. The values depend on the names of the fields alone.
func Fill(v reflect.Value, fields map[string]int) { fill(v, fields, "") }

func fill(v reflect.Value, fields map[string]int, path string) {
	hash := fnv.New32a()
	hash.Write([]byte(path))
	number := int64(1 + hash.Sum32()%1000)
	switch v.Kind() {
	case reflect.String:
		v.SetString(path)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(number)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(number) & 0x7f)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(number) / 2)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fallthrough
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), fields, fmt.Sprint(path, i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, fields, path+"Key")
		fill(value, fields, path+"Value")
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		n, limited := fields[v.Type().Name()]
		for i := range v.NumField() {
			if !limited || i < n {
				fill(v.Field(i), fields, path+v.Type().Field(i).Name)
			}
		}
	}
}

// OldType returns a type that is decoded by the rules of the version.
func (o Version) OldType(t reflect.Type) reflect.Type {
	switch t.Kind() {
	case reflect.Slice:
		return reflect.SliceOf(o.OldType(t.Elem()))
	case reflect.Struct:
		var fields []reflect.StructField
		for i := range o.Fields[t.Name()] {
			fields = append(fields, reflect.StructField{Name: t.Field(i).Name, Type: o.OldType(t.Field(i).Type)})
		}
		old := reflect.StructOf(fields)
		if _, tolerant := o.Originals[t.Name()]; tolerant {
			msgpack.Register(reflect.New(old).Elem().Interface(), nil, decodeTolerant)
		}
		return old
	default:
		return t
	}
}

// decodeTolerant decodes an array of the first fields or a map.
func decodeTolerant(decoder *msgpack.Decoder, v reflect.Value) error {
	code, err := decoder.PeekCode()
	if err != nil {
		return err
	}
	byName := msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
	var n int
	if byName {
		n, err = decoder.DecodeMapLen()
	} else {
		n, err = decoder.DecodeArrayLen()
	}
	for i := 0; i < n && err == nil; i++ {
		var field reflect.Value
		if byName {
			name, nameErr := decoder.DecodeString()
			if nameErr != nil {
				return nameErr
			}
			field = v.FieldByName(name)
		} else if i < v.NumField() {
			field = v.Field(i)
		}
		if !field.IsValid() {
			err = decoder.Skip()
		} else {
			err = decoder.DecodeValue(field)
		}
	}
	return err
}

// Samples returns the values of a message that golden files hold: with the fields of the
// version, with the original ones only, and without any.
func (o Version) Samples(t reflect.Type) map[string]reflect.Value {
	originals := make(map[string]int)
	for name, n := range o.Fields {
		originals[name] = n
		if original, ok := o.Originals[name]; ok {
			originals[name] = original
		}
	}
	out := map[string]reflect.Value{"full": reflect.New(t).Elem(), "original": reflect.New(t).Elem(), "zero": reflect.New(t).Elem()}
	Fill(out["full"], o.Fields)
	Fill(out["original"], originals)
	return out
}

// CheckGolden checks that each message in a golden file is decoded to its sample, and that
// each sample of each type is in the file and still encoded like that. Lines of the file have
// the type, the sample and the encoded message in hexadecimal.
func (o Version) CheckGolden(t *testing.T, file string, encode func(any) []byte, messages ...any) {
	c := qt.New(t)
	text, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	golden := make(map[string]string)
	for line := range strings.Lines(string(text)) {
		name, encoded, _ := strings.Cut(strings.TrimSpace(line), ": ")
		golden[name] = encoded
	}
	for _, message := range messages {
		for sample, want := range o.Samples(reflect.TypeOf(message)) {
			name := want.Type().Name() + " " + sample
			var encoded []byte
			_, err := fmt.Sscanf(golden[name], "%x", &encoded)
			c.Assert(err, qt.IsNil, qt.Commentf(name))
			got := reflect.New(want.Type())
			c.Assert(msgpack.Unmarshal(encoded, got.Interface()), qt.IsNil, qt.Commentf(name))
			c.Check(got.Elem().Interface(), qt.DeepEquals, want.Interface(), qt.Commentf(name))
			c.Check(encode(want.Interface()), qt.DeepEquals, encoded, qt.Commentf(name))
			delete(golden, name)
		}
	}
	c.Check(golden, qt.HasLen, 0)
}

// WriteGolden writes a golden file. It is for a checkout of the version.
func (o Version) WriteGolden(t *testing.T, file string, encode func(any) []byte, messages ...any) {
	var out strings.Builder
	for _, message := range messages {
		samples := o.Samples(reflect.TypeOf(message))
		for _, sample := range []string{"full", "original", "zero"} {
			fmt.Fprintf(&out, "%s %s: %x\n", reflect.TypeOf(message).Name(), sample, encode(samples[sample].Interface()))
		}
	}
	qt.Assert(t, os.WriteFile(file, []byte(out.String()), 0o600), qt.IsNil)
}

// CheckOldRules checks that messages with all fields of this version, with those of the
// earlier one, and with none are decoded by the rules of the earlier one, which gets all that
// it knows.
func (o Version) CheckOldRules(t *testing.T, encode func(any) []byte, messages ...any) {
	c := qt.New(t)
	for _, message := range messages {
		name := reflect.TypeOf(message).Name()
		samples := o.Samples(reflect.TypeOf(message))
		samples["new"] = reflect.New(reflect.TypeOf(message)).Elem()
		Fill(samples["new"], nil)
		for sample, value := range samples {
			old := reflect.New(o.OldType(value.Type()))
			c.Assert(msgpack.Unmarshal(encode(value.Interface()), old.Interface()), qt.IsNil, qt.Commentf("%s %s", name, sample))
			if sample == "new" || sample == "full" {
				want := reflect.New(old.Type().Elem())
				Fill(want.Elem(), nil)
				c.Check(old.Interface(), qt.DeepEquals, want.Interface(), qt.Commentf("%s %s", name, sample))
			}
		}
	}
}
