package peer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/registry"
)

// documentItem returns a published document of the given version; note makes
// texts of one version differ.
func documentItem(revision, version int64, note string) registry.Item {
	return registry.NewItem("service/strip-model", revision, fmt.Sprintf(`{
		// %s
		"service": "strip-model", "team": "editorial", "version": %d, "priority": 1,
		"accounts": [{"name": "norte", "key_sha256": "%064d", "share": 1}],
		"models": [{"name": "strip-1", "prompt_tokens": 50000, "answer_tokens": 4096, "deadline": "10s"}],
		"backend_servers": {"cold": {"requests": 1, "tokens": 60000}, "warm": {"requests": 4, "tokens": 100000}, "warm_after": 2}
	}`, note, version, 1))
}

func TestItemStoreOffer(t *testing.T) {
	broken := registry.NewItem("service/strip-model", 9, `{"service": 5}`)
	tests := []struct {
		name    string
		offers  []registry.Item
		taken   []bool
		errors  []string
		version int64
		refused int
	}{
		{"newer", []registry.Item{documentItem(1, 1, ""), documentItem(2, 2, "")}, []bool{true, true}, []string{"", ""}, 2, 0},
		{"older", []registry.Item{documentItem(1, 2, ""), documentItem(2, 1, "")}, []bool{true, false}, []string{"", ""}, 2, 0},
		{"again under a new revision", []registry.Item{documentItem(1, 2, ""), documentItem(7, 2, "")}, []bool{true, false}, []string{"", ""}, 2, 0},
		{"other text of one version", []registry.Item{documentItem(1, 2, "a"), documentItem(2, 2, "b"), documentItem(2, 2, "b")},
			[]bool{true, false, false}, []string{"", ".*version 2 is in force with other content.*", ""}, 2, 1},
		{"invalid, then valid", []registry.Item{documentItem(1, 1, ""), broken, broken, documentItem(10, 2, "")},
			[]bool{true, false, false, true}, []string{"", ".*service/strip-model.*", "", ""}, 2, 0},
		{"invalid keeps the last good one", []registry.Item{documentItem(1, 1, ""), broken}, []bool{true, false}, []string{"", ".*"}, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newItemStore()
			for i, item := range test.offers {
				taken, err := s.offer(time.Time{}, item, "platform")
				c.Check(taken, qt.Equals, test.taken[i], qt.Commentf("offer %d", i))
				if test.errors[i] == "" {
					c.Check(err, qt.IsNil, qt.Commentf("offer %d", i))
				} else {
					c.Check(err, qt.ErrorMatches, "(?s)"+test.errors[i], qt.Commentf("offer %d", i))
				}
			}
			c.Check(s.active["service/strip-model"].item.Version(), qt.Equals, test.version)
			c.Check(s.refused, qt.HasLen, test.refused)
		})
	}
}

// TestItemStoreDigest checks that the digests of two stores are equal exactly
// when the stores have the same versions active, in whatever order they were
// offered.
func TestItemStoreDigest(t *testing.T) {
	c := qt.New(t)
	a, b := newItemStore(), newItemStore()
	offer := func(s *itemStore, items ...registry.Item) {
		for _, item := range items {
			_, err := s.offer(time.Time{}, item, "platform")
			c.Assert(err, qt.IsNil)
		}
	}
	domains := registry.NewItem(registry.DomainsKey, 3, `{"scl-a": "in"}`)
	offer(&a, documentItem(1, 1, ""), domains, documentItem(2, 2, ""))
	offer(&b, documentItem(2, 2, ""))
	c.Assert(a.digest == b.digest, qt.IsFalse)
	offer(&b, domains)
	c.Assert(a.digest, qt.Equals, b.digest)
}
