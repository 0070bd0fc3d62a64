// Package cuttest provides ways to backend servers for tests that can be cut.
package cuttest
