// Package timer provides the time and periodic ticks to the parts of a
// process, so that all ticks stop together, and a virtual clock for tests and
// simulations.
package timer
