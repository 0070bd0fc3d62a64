// Package dispatch decides which backend server a request goes to, which
// others read parts of its prompt, who waits and who is refused. A Book holds
// what is known of the servers and of the requests on them; it does no I/O and
// reads no clock, so tests and experiments drive the code that entries run.
package dispatch
