// Command greengagedock is the command line tool of operators: it checks
// settings and service documents, and queries and drains entry instances
// through their admin addresses.
package main
