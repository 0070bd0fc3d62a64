package peer

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"

	"greengagedock.example/registry"
)

func TestSnapshotsShareUnchangedParts(t *testing.T) {
	c := qt.New(t)
	n, now := capacityNode(3, 4, 5)
	first := n.nextSnapshot(now, nil)
	c.Assert(first.Documents(), qt.HasLen, 5)
	second := n.nextSnapshot(now, first)
	c.Assert(&second.Documents()[0] == &first.Documents()[0], qt.IsTrue)
	c.Assert(second.PolledServers(), qt.CmpEquals(cmp.AllowUnexported(PolledServer{})), first.PolledServers())

	n.Step(now, PlatformRead{items: []registry.Item{capacityDocument(7)}})
	third := n.nextSnapshot(now, second)
	c.Assert(third.Documents(), qt.HasLen, 6)
	c.Assert(second.Documents(), qt.HasLen, 5)
	n.offer(now, "platform", []registry.Item{registry.NewItem(registry.ServicePrefix+"broken", 9, "{")})
	c.Assert(n.nextSnapshot(now, third).Refused(), qt.HasLen, 1)
}

// BenchmarkSnapshot measures one snapshot of 93 entries, 20 kept servers and
// 5,000 documents, built from scratch and sharing unchanged parts.
func BenchmarkSnapshot(b *testing.B) {
	for _, shared := range []bool{false, true} {
		name := "whole"
		if shared {
			name = "shared"
		}
		b.Run(name, func(b *testing.B) {
			n, now := capacityNode(93, 20, 5000)
			before := n.nextSnapshot(now, nil)
			if !shared {
				before = nil
			}
			b.ReportAllocs()
			for b.Loop() {
				n.nextSnapshot(now, before)
			}
		})
	}
}
