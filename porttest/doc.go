// Package porttest finds ports for tests that open a listener again at the same
// address, or name an address before its listener is open.
package porttest
