package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEndingEntryIsReplacedAtOnce checks that the servers of an entry which
// says that it stops have a keeper again long before its silence would tell.
func TestEndingEntryIsReplacedAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 5, 6)
	w.advance(15 * time.Second)
	leaver := w.nodes["entry-0"]
	kept := sortedKeys(leaver.node.keeping.kept)
	c.Assert(len(kept) > 0, qt.IsTrue)
	w.drive(leaver, Stopping{})
	w.advance(2 * worldStep)
	w.killNode("entry-0")
	w.advance(4 * worldStep)
	for _, server := range kept {
		keeper := w.nodes["entry-1"].node.asking.table.keeper[server]
		c.Assert(keeper, qt.Not(qt.Equals), "entry-0")
		c.Assert(w.nodes[keeper].node.keeping.kept[server], qt.IsNotNil)
	}
	c.Assert(w.faults, qt.HasLen, 0)
}
