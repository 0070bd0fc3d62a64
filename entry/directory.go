package entry

import (
	"greengagedock.example/caller"
	"greengagedock.example/peer"
)

// directoryProvider gives the caller server access to the latest control snapshot.
type directoryProvider struct{ control *peer.Control }

// Directory returns the latest snapshot.
func (d directoryProvider) Directory() caller.Directory { return d.control.Snapshot() }
