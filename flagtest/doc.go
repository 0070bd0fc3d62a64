// Package flagtest lets tests set default values for flags of the test binary,
// such as the seed of their random draws.
package flagtest
