// Package gateway runs one entry of a fleet whose backend servers and
// configuration are published in a read-only store. An entry caches the store,
// discovers the other entries through seeds and gossip, agrees with them on the
// one entry that schedules the requests of each service, and connects the
// packages ingress, dispatch, mesh and upstream.
package gateway
