// Package operator implements the admin server of an entry instance, which is
// read-only except for draining, and the client that the command line tool
// uses to call it.
package operator
