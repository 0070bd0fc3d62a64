// Command standin runs simulated versions of the systems around greengagedock:
// the platform, model engines, plain services and callers. It also runs a demo of
// a complete system and experiments in virtual time.
package main
