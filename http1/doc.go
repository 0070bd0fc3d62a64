// Package http1 checks what net/http takes as it comes.
//
// It bounds what the clients of HTTP/1.1 servers make a process keep: their
// connections and the memory of their request heads, over all servers of the process.
//
// net/http parses a head while it arrives, and a parsed head takes many times its size on the
// wire if its lines are short. So the memory is reserved for the bytes of a head before net/http
// gets them, and given back when the request ends.
//
// The heads of responses are checked before net/http decides by them where a body ends.
package http1
