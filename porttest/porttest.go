package porttest

import (
	"io"
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrNoPorts is wrapped by the error if not enough ports are free.
var ErrNoPorts = eris.New("porttest: no free ports")

// The ports are below those that the system gives to outgoing connections, which may take
// a port while no listener holds it, and below the ones of the soak.
const (
	firstPort = 10_000
	lastPort  = 19_999
)

var (
	mu sync.Mutex
	// held holds, for each reserved port, a socket that tells other processes so.
	held = make(map[int]io.Closer)
	next = firstPort + os.Getpid()*97%(lastPort-firstPort) // processes start at different ports
)

// Reserve returns the first of n consecutive loopback ports that are free. No other process
// gets them until this one ends, and this one not again until it has had all others: a test
// may leave a port unused for seconds before it listens there again, or has a child process
// do so. Errors wrap ErrNoPorts.
func Reserve(n int) (int, error) {
	mu.Lock()
	defer mu.Unlock()
	for range lastPort - firstPort {
		if next+n > lastPort {
			next = firstPort
		}
		first := next
		free := 0
		for free < n && hold(first+free) {
			free++
		}
		if free == n {
			next += n
			return first, nil
		}
		next += free + 1
	}
	return 0, eris.Wrapf(ErrNoPorts, "%d of %d to %d", n, firstPort, lastPort)
}

// Address returns a loopback address with a port as of Reserve.
func Address() (string, error) {
	port, err := Reserve(1)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), err
}

// Hold reserves a loopback port until this process ends, and reports false if another
// process has it or listens there.
func Hold(port int) bool {
	mu.Lock()
	defer mu.Unlock()
	return hold(port)
}

func hold(port int) bool {
	if held[port] == nil {
		// The name is that of no file, and free again once the process ends.
		socket, err := net.ListenPacket("unixgram", "@greengagedock-porttest-"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		held[port] = socket
	}
	return isFree(port)
}

func isFree(port int) bool {
	listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
