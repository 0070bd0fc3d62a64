package jsonc

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestProblemCountIsBounded(t *testing.T) {
	c := qt.New(t)
	var text strings.Builder
	text.WriteString("{")
	for i := range 2 * maxProblems {
		fmt.Fprintf(&text, "\"key%d\": 1,\n", i)
	}
	text.WriteString("}")
	r := NewReader("x.json", []byte(text.String()))
	r.Root().Object()
	var problems Problems
	c.Assert(errors.As(r.Err(), &problems), qt.IsTrue)
	c.Assert(problems, qt.HasLen, maxProblems)
	c.Assert(problems[99].Error(), qt.Equals, "x.json:100: key99: unknown key")
}

func TestDepthIsBounded(t *testing.T) {
	tests := []struct {
		name string
		text string
		ok   bool
	}{
		{"within the bound", strings.Repeat("[", maxDepth) + strings.Repeat("]", maxDepth), true},
		{"beyond it", strings.Repeat("[", maxDepth+1) + strings.Repeat("]", maxDepth+1), false},
		{"far beyond it", strings.Repeat(`{"a":`, 1_000_000), false},
		{"in a string", `"` + strings.Repeat("[", maxDepth+1) + `\"["`, true},
		{"in a comment", "//" + strings.Repeat("[", maxDepth+1) + "\n/*" + strings.Repeat("{", maxDepth+1) + "*/1", true},
		{"side by side", "[" + strings.Repeat("[],", 2*maxDepth) + "1]", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := NewReader("x.json", []byte(test.text))
			qt.Assert(t, r.Err() == nil, qt.Equals, test.ok)
			qt.Assert(t, r.Root().Present(), qt.Equals, test.ok)
		})
	}
}

func TestLongTextsAreTruncated(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("é", 1000)
	c.Check(Quote(long), qt.Equals, `"`+strings.Repeat("é", maxQuoteBytes/2)+`..."`)
	r := NewReader("x.json", []byte(`{"`+long+`": 1}`))
	r.Root().Object()
	c.Check(r.Err(), qt.ErrorMatches, `x\.json:1: (é){40}\.\.\.: unknown key`)
}

func TestNearest(t *testing.T) {
	names := []string{"id", "region", "failure_domain", "max_body", "max_queued"}
	tests := []struct{ mistyped, want string }{
		{"regoin", "region"},
		{"failureDomain", "failure_domain"},
		{"max-body", "max_body"},
		{"MAX_QUEUE", "max_queued"},
		{"zone", ""},
		{"x", ""},
		{"ids", "id"},
	}
	for _, test := range tests {
		t.Run(test.mistyped, func(t *testing.T) {
			name, _ := nearest(test.mistyped, names)
			qt.Assert(t, name, qt.Equals, test.want)
		})
	}
}

func TestSizes(t *testing.T) {
	tests := []struct {
		text string
		want int64
		ok   bool
	}{
		{"16MB", 16_000_000, true},
		{"16MiB", 16 << 20, true},
		{"0B", 0, true},
		{"7KB", 7_000, true},
		{"1GiB", 1 << 30, true},
		{"9223372036GB", 9_223_372_036_000_000_000, true},
		{"9223372037GB", 0, false},
		{"1.5MB", 0, false},
		{"-1MB", 0, false},
		{"+1MB", 0, false},
		{"1 MB", 0, false},
		{"MB", 0, false},
		{"16mb", 0, false},
		{"16", 0, false},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			size, ok := parseSize(test.text)
			qt.Check(t, ok, qt.Equals, test.ok)
			qt.Check(t, size, qt.Equals, test.want)
		})
	}
	qt.Check(t, FormatSize(1_500_000), qt.Equals, "1500KB")
	qt.Check(t, FormatSize(1<<20), qt.Equals, "1048576B")
}
