// Package mesh carries calls between entries: msgpack messages over one kept
// TCP connection for each direction of each pair, answered in any order.
package mesh
