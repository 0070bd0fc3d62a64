// Package mesh carries remote procedure calls between entries. Messages are
// encoded as msgpack and sent over one persistent TCP connection per caller and
// callee; responses may arrive in any order.
//
// It also carries connections to backend servers through other entries: a Server opens
// tunnels, and Paths use them where the direct way to a server is lost.
package mesh
