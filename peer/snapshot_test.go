package peer

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/registry"
)

func TestSnapshotAddresses(t *testing.T) {
	entry := func(id, domain string, openRequests int) Entry {
		location := registry.NewLocation("scl", domain)
		return Entry{instance: registry.NewEntry(id, location, registry.StateLive, id, id), openRequests: openRequests}
	}
	silent := entry("silent", "a", 0)
	silent.silent = true
	draining := entry("draining", "a", 0)
	draining.draining = true
	leaving := Entry{instance: registry.NewEntry("leaving", registry.NewLocation("scl", "a"), registry.StateLeaving, "leaving", "leaving")}
	tests := []struct {
		name    string
		domain  string
		self    string
		entries []Entry
		want    []string
	}{
		{"none", "a", "x", nil, nil},
		{"fewest requests", "", "x", []Entry{entry("p", "a", 9), entry("q", "b", 2)}, []string{"q", "p"}},
		{"own domain first", "a", "x", []Entry{entry("p", "a", 90), entry("q", "b", 2)}, []string{"p", "q"}},
		{"not usable", "a", "x", []Entry{silent, draining, leaving, entry("p", "b", 1)}, []string{"p"}},
		{"itself if about as good", "", "p", []Entry{entry("p", "a", 16), entry("q", "b", 0)}, []string{"p", "q"}},
		{"not itself if busier", "", "p", []Entry{entry("p", "a", 17), entry("q", "b", 0)}, []string{"q", "p"}},
		{"not itself from another domain", "b", "p", []Entry{entry("p", "a", 0), entry("q", "b", 5)}, []string{"q", "p"}},
		{"a few alternates", "", "x", []Entry{entry("p", "a", 1), entry("q", "a", 2), entry("r", "a", 3), entry("s", "a", 4), entry("t", "a", 5)},
			[]string{"p", "q", "r", "s"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &Snapshot{self: registry.NewEntry(test.self, registry.Location{}, registry.StateLive, "", ""), entries: test.entries}
			got, _ := s.Addresses(test.domain)
			var ids []string
			for _, instance := range got {
				ids = append(ids, instance.ID())
			}
			qt.Assert(t, ids, qt.DeepEquals, test.want)
		})
	}
}
