// Command soak runs entries as processes, injects faults into them, their
// connections, the store and the backend servers, in a sequence drawn from a
// seed, and checks what callers and backend servers observe meanwhile.
package main
