// Package http1 bounds what the clients of HTTP/1.1 servers make a process keep: their
// connections and the memory of their request heads, over all servers of the process.
//
// net/http parses a head while it arrives, and a parsed head takes many times its size on the
// wire if its lines are short. So the memory is reserved for the bytes of a head before net/http
// gets them, and given back when the request ends.
package http1
