// Package routing holds the published configuration and the list of backend
// servers as immutable values: routes, services, client accounts, limits and
// servers. It does no I/O.
package routing
