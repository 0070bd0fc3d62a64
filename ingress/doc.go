// Package ingress serves callers whose requests are routed by host and path: it
// finds the route and the client account, has the scheduler place the request
// on a backend server, sends it there and forwards the response unchanged. It
// retries what is safe to retry, and reports a request as not run only if no
// backend server can have run it.
package ingress
