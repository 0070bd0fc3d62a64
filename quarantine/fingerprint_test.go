package quarantine

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Requests that differ in anything that a server sees of their content are told apart,
// also where their fields run together to the same text.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	c := qt.New(t)
	seen := make(map[Fingerprint]string)
	for _, fields := range [][6]string{
		{"a", "GET", "h", "/x", "", ""},
		{"a", "GET", "h", "/x", "prompt", ""},
		{"b", "GET", "h", "/x", "", ""},
		{"a", "PUT", "h", "/x", "", ""},
		{"a", "GET", "h2", "/x", "", ""},
		{"a", "GET", "h", "/x?", "", ""},
		{"a", "GET", "h", "/x", "", "body"},
		{"a", "GET", "h", "/xb", "", "ody"},
		{"", "aGET", "h", "/x", "", ""},
		{"aG", "ET", "h", "/x", "", ""},
	} {
		f := NewFingerprint(fields[0], fields[1], fields[2], fields[3], fields[4], []byte(fields[5]))
		c.Assert(f, qt.Not(qt.Equals), Fingerprint{})
		c.Assert(seen[f], qt.Equals, "", qt.Commentf("%q", fields))
		seen[f] = fields[3]
	}
	c.Assert(NewFingerprint("a", "GET", "h", "/x", "", nil), qt.Equals, NewFingerprint("a", "GET", "h", "/x", "", []byte{}))
}

// BenchmarkFingerprint takes the time of one fingerprint of a short call and of the longest
// prompts.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{800, 4 << 20} {
		body := make([]byte, size)
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				NewFingerprint("account", "POST", "h.example", "/path/x", "", body)
			}
		})
	}
}
