// Package peer holds the state that the entry instances of a region agree on,
// and exchanges it between them: which entries are members, which entry keeps
// each backend server, and which published configuration is active.
//
// A published item is a versioned value that the platform publishes: a service
// document, a list of entries or servers, or the state of the failure domains.
// Entries read items from the platform and from each other, and the newest
// valid version of each is active.
//
// The keeper of a backend server is the entry that allocates its slots. Every
// entry derives the keepers from the active lists by rendezvous hashing,
// without coordination. An entry requests slots for its traffic from the
// keepers, and declares the slots that it holds to a server's new keeper when
// the keeper changes.
//
// A keeper gives work to a cold server only while it holds the server's full
// lease. For that it needs a quorum lease: every older entry list is retired,
// that is without a majority, and a majority of the active list has confirmed
// its version, by acknowledging heartbeats, within the duration of a lease. The
// slots that an earlier keeper granted must also be started or expired.
package peer
