package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode says what a proxy does with what passes.
type proxyMode string

// The modes.
const (
	proxyPass   proxyMode = "pass"
	proxyDelay  proxyMode = "delay"
	proxyReset  proxyMode = "reset"
	proxySilent proxyMode = "silent"
	proxyOneWay proxyMode = "one_way"
)

// proxyDelayTime is the time for which bytes are held up in proxyDelay.
const proxyDelayTime = 120 * time.Millisecond

// proxy passes connections on to a target.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

// newProxy returns a proxy at a free port of the loopback address.
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

// setMode changes the mode; a reset ends all open connections.
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

func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a plain close will do otherwise
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

// copy passes bytes on until either side ends; forth tells the way to the target.
func (p *proxy) copy(to, from net.Conn, forth bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	swallowed := false
	for {
		n, err := from.Read(buffer)
		switch mode := p.currentMode(); {
		case mode == proxyDelay:
			time.Sleep(proxyDelayTime)
		case mode == proxySilent || mode == proxyOneWay && !forth:
			swallowed = n > 0 || swallowed
		}
		if swallowed {
			n = 0 // a connection does not go on behind bytes that it lost
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
