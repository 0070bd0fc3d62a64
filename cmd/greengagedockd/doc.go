// Command greengagedockd is the daemon that runs one entry instance, a gateway
// process.
package main
