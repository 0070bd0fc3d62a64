// Command soak runs entries as processes, disturbs them and their connections
// from outside in series drawn from a seed, and checks what callers and backend
// servers see while it does.
package main
