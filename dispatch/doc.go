// Package dispatch schedules requests on backend servers: it decides which server
// runs a request, which other servers prefill parts of its prompt, which requests
// wait and which are refused. A Scheduler holds the known servers and the requests
// running on them. It does no I/O and reads no clock, so tests and experiments
// exercise the code that entries run.
package dispatch
