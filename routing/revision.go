package routing

import (
	"cmp"
	"fmt"
	"strconv"
)

// Revision identifies a change of the store, and the state after it, by its number
// within an era. A store that is restored from a copy begins a new era, in which it
// assigns the numbers after the copy's again.
type Revision struct {
	era    int64
	number int64
}

// MaxEra and MaxRevisionNumber are the highest era and number, which fit together into
// 63 bits.
const (
	MaxEra            = 1<<(63-revisionNumberBits) - 1
	MaxRevisionNumber = 1<<revisionNumberBits - 1

	revisionNumberBits = 44
)

// NewRevision returns the revision with a number within an era, 0 for a store without eras.
func NewRevision(era, number int64) Revision { return Revision{era: era, number: number} }

// Era returns the era, 0 for a store without eras.
func (r Revision) Era() int64 { return r.era }

// Number returns the number within the era, of use only to the store itself.
func (r Revision) Number() int64 { return r.number }

// IsZero reports whether the revision precedes those of all stores.
func (r Revision) IsZero() bool { return r == Revision{} }

// Compare returns -1, 0 or 1: a revision of a later era is the later one, whatever
// the numbers.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.era, other.era), cmp.Compare(r.number, other.number))
}

// After reports whether the revision is later than another one.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Overwrites reports whether a change that the store holds at r was certainly made
// after the change at an earlier revision. Of the same or a lower number it may be
// an older change that a restored store took over from its copy.
func (r Revision) Overwrites(earlier Revision) bool {
	return r.era >= earlier.era && r.number > earlier.number
}

// Packed returns the revision as one number that has the same order. Without eras it is
// the number itself.
func (r Revision) Packed() int64 { return r.era<<revisionNumberBits | r.number }

// UnpackRevision returns the revision of a packed number.
func UnpackRevision(packed int64) Revision {
	return Revision{era: packed >> revisionNumberBits, number: packed & MaxRevisionNumber}
}

// String returns the number, preceded by the era and a colon if there is one.
func (r Revision) String() string {
	if r.era == 0 {
		return strconv.FormatInt(r.number, 10)
	}
	return fmt.Sprintf("%d:%d", r.era, r.number)
}
