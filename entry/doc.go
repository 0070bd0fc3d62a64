// Package entry assembles one entry instance, a gateway process, from its
// caller server, peer protocol and admin server, and runs it from start to
// graceful shutdown.
package entry
