package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRevisionOrder(t *testing.T) {
	c := qt.New(t)
	ordered := []Revision{{}, NewRevision(0, 9), NewRevision(1, 3), NewRevision(1, 4), NewRevision(2, 1)}
	for i, a := range ordered {
		for j, b := range ordered {
			c.Assert(a.After(b), qt.Equals, i > j, qt.Commentf("%v after %v", a, b))
			c.Assert(a == b, qt.Equals, a.Compare(b) == 0)
		}
		c.Assert(a.IsZero(), qt.Equals, i == 0)
	}
}

func TestPackedRevisionKeepsOrder(t *testing.T) {
	c := qt.New(t)
	ordered := []Revision{{}, NewRevision(0, 9), NewRevision(0, MaxRevisionNumber), NewRevision(1, 3), NewRevision(2, 1), NewRevision(MaxEra, MaxRevisionNumber)}
	for i, r := range ordered {
		c.Assert(UnpackRevision(r.Packed()), qt.Equals, r)
		c.Assert(i == 0 || r.Packed() > ordered[i-1].Packed(), qt.IsTrue)
	}
	c.Assert(NewRevision(0, 41).Packed(), qt.Equals, int64(41))
}

// A restored store keeps the numbers of its copy, so a lower number of a later era
// may be an older change.
func TestRevisionOverwrites(t *testing.T) {
	c := qt.New(t)
	left := NewRevision(1, 10)
	c.Assert(NewRevision(2, 11).Overwrites(left), qt.IsTrue)
	c.Assert(NewRevision(2, 10).Overwrites(left), qt.IsFalse)
	c.Assert(NewRevision(2, 4).Overwrites(left), qt.IsFalse)
	c.Assert(NewRevision(0, 11).Overwrites(left), qt.IsFalse)
}

func TestRevisionString(t *testing.T) {
	c := qt.New(t)
	c.Assert(NewRevision(0, 41).String(), qt.Equals, "41")
	c.Assert(NewRevision(3, 41).String(), qt.Equals, "3:41")
}
