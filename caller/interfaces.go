package caller

import (
	"context"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// Slots grants slots, each of which allows one attempt at a backend server.
// Acquire blocks until a keeper, the entry that allocates a server's slots,
// grants one, refuses with a *backend.Refusal, or ctx ends. Each granted slot
// must be released once.
type Slots interface {
	Acquire(ctx context.Context, request backend.SlotRequest) (backend.Slot, error)
	Release(slot backend.Slot, outcome backend.Outcome)
	// Crashed reports, before its release, that the slot's server ended under the attempt.
	Crashed(slot backend.Slot)
	// Settled reports, before its release, that the slot's server survives the request.
	Settled(slot backend.Slot)
	// Refused reports, before its release, for how long the slot's server wants no more requests.
	Refused(slot backend.Slot, wait time.Duration)
}

// Snapshot is the published state at one moment. It is immutable.
type Snapshot interface {
	// Self returns this entry's name and incarnation.
	Self() backend.Owner
	// Documents returns the active service documents.
	Documents() []*registry.Document
	// Addresses returns the entries that a caller in the failure domain should
	// use, best first, and how long it may cache them.
	Addresses(domain string) (entries []registry.Instance, keepFor time.Duration)
	// Entry returns the listed entry of that name.
	Entry(id string) (registry.Instance, bool)
	// Silent reports whether the listed entry of that name has missed its
	// recent heartbeats.
	Silent(id string) bool
}

// SnapshotSource returns the newest snapshot.
type SnapshotSource interface {
	Snapshot() Snapshot
}
