// Package endlesstest provides servers for tests whose answers do not end.
package endlesstest
