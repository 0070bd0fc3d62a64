// Package wiretest checks the encoding of messages between entries against that of an earlier
// version, for the tests of the packages that define the messages.
package wiretest
