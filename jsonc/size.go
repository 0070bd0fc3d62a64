package jsonc

import (
	"math"
	"strconv"
	"strings"
)

// sizeUnits are the units of a size. "B" is last, as it is a suffix of the others.
var sizeUnits = []struct {
	name  string
	bytes int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"KB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"B", 1},
}

// Size returns the value's number of bytes from minimum to maximum, written as a
// string such as "16MB"; ok is false if it is absent or anything else, which is
// reported.
func (v Value) Size(minimum, maximum int64) (size int64, ok bool) {
	literal, ok := v.literal('"', `a size such as "16MB"`)
	if !ok {
		return 0, false
	}
	size, ok = parseSize(literal.String())
	switch {
	case !ok:
		v.Report(`is %s, want a size such as "16MB" in B, KB, MB, GB, KiB, MiB or GiB`, Quote(literal.String()))
		return 0, false
	case size < minimum || size > maximum:
		v.Report("is %s, want %s to %s", truncate(literal.String()), FormatSize(minimum), FormatSize(maximum))
		return 0, false
	}
	return size, true
}

func parseSize(text string) (size int64, ok bool) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		number, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || number > uint64(math.MaxInt64/unit.bytes) {
			return 0, false
		}
		return int64(number) * unit.bytes, true
	}
	return 0, false
}

// FormatSize returns a number of bytes in the largest decimal unit that divides it.
func FormatSize(bytes int64) string {
	for _, unit := range []string{"GB", "MB", "KB"} {
		if one, _ := parseSize("1" + unit); bytes != 0 && bytes%one == 0 {
			return strconv.FormatInt(bytes/one, 10) + unit
		}
	}
	return strconv.FormatInt(bytes, 10) + "B"
}
