// Package crowdtest starts entries as processes and has crowds of clients that do not behave
// connect to them. Its tests check that the process lives, that its memory and descriptors stay
// under what its settings state, and that ordinary requests are answered. Nothing they check
// depends on the machine's speed.
package crowdtest
