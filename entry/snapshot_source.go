package entry

import (
	"greengagedock.example/caller"
	"greengagedock.example/peer"
)

// snapshotSource gives the caller server the latest snapshot of the control state.
type snapshotSource struct{ control *peer.Control }

// Snapshot returns the latest snapshot.
func (s snapshotSource) Snapshot() caller.Snapshot { return s.control.Snapshot() }
