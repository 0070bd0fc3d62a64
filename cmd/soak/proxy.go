package main

import (
	"io"
	"net"
	"sync"
	"time"

	"greengagedock.example/platform/platformtest"
)

// proxyMode is what a proxy does with the bytes and connections that it forwards.
type proxyMode string

const (
	proxyPass   proxyMode = "pass"    // forwards
	proxyDelay  proxyMode = "delay"   // forwards after proxyDelayTime
	proxyReset  proxyMode = "reset"   // resets all connections
	proxySilent proxyMode = "silent"  // drops bytes in both directions
	proxyOneWay proxyMode = "one_way" // drops bytes from the target
)

// proxyDelayTime is how long proxyDelay holds back each chunk of bytes.
const proxyDelayTime = 120 * time.Millisecond

// dropInterval is the time between two chunks of bytes that are dropped: the sender of bytes
// that are not acknowledged is held back.
const dropInterval = 5 * time.Millisecond

// proxy forwards TCP connections to a target, and injects faults by its mode.
type proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	mode proxyMode
	// path is a fault of the connections of some processes alone, nil for none.
	path *pathFault
	// pairs holds the connections to the target, by those that they serve.
	pairs map[net.Conn]net.Conn
	// onPath holds the connections to the target that the fault of a path befalls.
	onPath map[net.Conn]bool
	// conns holds the open connections, and whether they lead to the target.
	conns map[net.Conn]bool
	// cut holds when a connection to the target, by its local address, was reset or
	// lost its first bytes.
	cut map[string]time.Time
}

// newProxy returns a proxy that listens on a free port of the loopback address.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, mode: proxyPass, pairs: make(map[net.Conn]net.Conn), onPath: make(map[net.Conn]bool), conns: make(map[net.Conn]bool), cut: make(map[string]time.Time)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes the mode; proxyReset resets all open connections at once.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != proxyReset {
		return
	}
	for conn, toTarget := range p.conns {
		if toTarget {
			p.markCut(conn)
		}
		platformtest.Reset(conn)
	}
}

// markCut records that a connection to the target is cut; p.mu must be held.
func (p *proxy) markCut(conn net.Conn) {
	if address := conn.LocalAddr().String(); p.cut[address].IsZero() {
		p.cut[address] = time.Now()
	}
}

// cutAt returns when the connection that the target sees with the given remote
// address was reset or lost its first bytes, zero if it is whole.
func (p *proxy) cutAt(address string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[address]
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(from net.Conn) {
	path := p.pathFaultOf(from)
	if p.currentMode() == proxyReset || path != nil && path.mode == proxyReset {
		platformtest.Reset(from)
		return
	}
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		platformtest.Reset(from)
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = false, true
	p.pairs[from] = to
	if path != nil && path == p.path {
		p.onPath[to] = true
	}
	delete(p.cut, to.LocalAddr().String()) // of an earlier connection with this port
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(to, from, to) })
	both.Go(func() { p.copy(from, to, to) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	delete(p.pairs, from)
	delete(p.onPath, to)
	p.mu.Unlock()
}

// copy forwards bytes until either side closes; target is the one of the target.
func (p *proxy) copy(to, from, target net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		switch mode := p.modeOf(target); {
		case mode == proxyDelay:
			time.Sleep(proxyDelayTime)
		case n > 0 && (mode == proxySilent || mode == proxyOneWay && from == target):
			dropping = true
			p.mu.Lock()
			p.markCut(target)
			p.mu.Unlock()
		}
		if dropping {
			n = 0 // once bytes are dropped, later ones must not follow: TCP has no gaps
			time.Sleep(dropInterval)
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			return
		}
		if err == io.EOF && p.currentMode() == proxyPass {
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.setMode(proxyReset)
}
