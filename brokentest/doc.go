// Package brokentest provides servers for tests whose answers are broken, and connections that
// report a reset as the system may do.
package brokentest
