// Package ingress answers callers whose requests are routed by host and path:
// it finds the route and account, asks for a place on a backend server, sends
// the request there, and passes the answer on unchanged. It repeats what may
// be repeated and says truly what has not run.
package ingress
