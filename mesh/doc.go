// Package mesh carries remote procedure calls between entries. Messages are
// encoded as msgpack and sent over one persistent TCP connection per caller and
// callee; responses may arrive in any order.
package mesh
