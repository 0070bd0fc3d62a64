package main

import (
	"io"
	"net"
	"sync"
	"time"
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

// proxy forwards TCP connections to a target, and injects faults by its mode.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

// newProxy returns a proxy that listens on a free port of the loopback address.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, mode: proxyPass, conns: make(map[net.Conn]bool)}
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
	for conn := range p.conns {
		abort(conn)
	}
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if this fails, an ordinary close is enough
	}
	conn.Close()
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
	if p.currentMode() == proxyReset {
		abort(from)
		return
	}
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(from)
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(to, from, true) })
	both.Go(func() { p.copy(from, to, false) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

// copy forwards bytes until either side closes; toTarget is their direction.
func (p *proxy) copy(to, from net.Conn, toTarget bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		switch mode := p.currentMode(); {
		case mode == proxyDelay:
			time.Sleep(proxyDelayTime)
		case mode == proxySilent || mode == proxyOneWay && !toTarget:
			dropping = n > 0 || dropping
		}
		if dropping {
			n = 0 // once bytes are dropped, later ones must not follow: TCP has no gaps
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
