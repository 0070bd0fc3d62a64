// Package relaytest provides networks for tests that reach servers through another entry.
package relaytest
