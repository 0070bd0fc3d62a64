package backend

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAttemptOwner(t *testing.T) {
	owner := NewOwner("entry-1", 1<<63+7)
	tests := []struct {
		id    string
		owner Owner
		ok    bool
	}{
		{AttemptID(owner, "r-1", 2), owner, true},
		{AttemptID(owner, "a@b/zz.1", 1), owner, true},
		{"r-1.2", Owner{}, false},
		{"r-1.2@entry-1", Owner{}, false},
		{"r-1.2@/5", Owner{}, false},
		{"r-1.2@entry-1/!", Owner{}, false},
		{"", Owner{}, false},
	}
	for _, test := range tests {
		got, ok := AttemptOwner(test.id)
		qt.Check(t, ok, qt.Equals, test.ok, qt.Commentf("%s", test.id))
		qt.Check(t, got, qt.Equals, test.owner, qt.Commentf("%s", test.id))
	}
}

func TestShortAttemptID(t *testing.T) {
	owner, other := NewOwner("entry-1", 7), NewOwner("entry-1", 8)
	for _, id := range []string{AttemptID(owner, "r-1", 2), AttemptID(other, "r-1", 2), AttemptID(owner, "a@b/zz", 1), AttemptID(owner, "=r", 1), "r-1.2", ""} {
		qt.Check(t, FullAttemptID(owner, ShortAttemptID(owner, id)), qt.Equals, id)
	}
	qt.Check(t, ShortAttemptID(owner, AttemptID(owner, "r-1", 2)), qt.Equals, "r-1.2")
}

func TestAttemptRequestID(t *testing.T) {
	owner := NewOwner("entry.1", 7)
	for _, request := range []string{"r-1", "entry.1-abc-2", "a@b"} {
		qt.Check(t, AttemptRequestID(AttemptID(owner, request, 3)), qt.Equals, request)
	}
	qt.Check(t, AttemptRequestID("r-1"), qt.Equals, "r-1")
}
