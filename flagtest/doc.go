// Package flagtest lets tests run with fixed flags, such as the seed of their
// random draws, where the command line gives none.
package flagtest
