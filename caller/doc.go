// Package caller implements the HTTP server of an entry. It authenticates
// callers, admits their requests within the limits of their accounts, sends
// each request to a backend server and returns either a whole response or a
// failure that states whether the work has run.
//
// Completions are retried after a server failure, and a stream resumes where it
// broke off. A prompt that needs more KV memory than one server has is split
// over a group of servers. Plain services are HTTP services without a model. A
// call of theirs that is not idempotent runs at most once: its request ID names
// the entry that owns it, and the other entries forward it there.
package caller
