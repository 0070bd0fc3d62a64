// Package routing holds what the configuration and the list of backend servers
// say, as values that never change: routes, services, client accounts, limits
// and servers. It does no I/O.
package routing
