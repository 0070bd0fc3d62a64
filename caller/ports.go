package caller

import (
	"context"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// Slots grants leave to send an attempt to a backend server. Acquire waits
// until a keeper grants, refuses with a *backend.Refusal, or ctx ends; every
// granted slot must be released once.
type Slots interface {
	Acquire(ctx context.Context, want backend.SlotRequest) (backend.Slot, error)
	Release(slot backend.Slot, outcome backend.Outcome)
}

// Snapshot is the published state that is in force at one moment; it never changes.
type Snapshot interface {
	// Self returns this entry's incarnation.
	Self() backend.Owner
	// Documents returns the service documents in force.
	Documents() []*registry.Document
	// Addresses returns the entries that a caller in the failure domain
	// should use, best first, and how long it may keep the answer.
	Addresses(domain string) (entries []registry.Instance, keepFor time.Duration)
	// Entry returns the listed entry of that name.
	Entry(id string) (registry.Instance, bool)
	// Silent reports whether the listed entry of that name was not heard lately.
	Silent(id string) bool
}

// SnapshotSource returns the newest directory.
type SnapshotSource interface {
	Snapshot() Snapshot
}
