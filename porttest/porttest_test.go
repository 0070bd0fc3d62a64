package porttest

import (
	"fmt"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Reserved ports are free, and each is reserved once.
func TestReserve(t *testing.T) {
	c := qt.New(t)
	seen := make(map[int]bool)
	for range 20 {
		first, err := Reserve(5)
		c.Assert(err, qt.IsNil)
		for port := first; port < first+5; port++ {
			c.Assert(seen[port], qt.IsFalse)
			c.Assert(port >= firstPort && port <= lastPort, qt.IsTrue)
			seen[port] = true
			listener, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
			c.Assert(err, qt.IsNil)
			defer listener.Close()
		}
	}
}
