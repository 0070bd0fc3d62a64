package entry

import (
	"greengagedock.example/caller"
	"greengagedock.example/peer"
)

// directories hands the newest snapshot to the callers' side.
type directories struct{ control *peer.Control }

// Snapshot returns the newest snapshot.
func (d directories) Snapshot() caller.Snapshot { return d.control.Snapshot() }
