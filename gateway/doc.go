// Package gateway is one entry of a fleet whose backend servers and
// configuration are published in a store that can only be read. It reads the
// store, finds the other entries through seeds, agrees with them who places a
// service's requests, and puts ingress, dispatch, mesh and upstream together.
package gateway
