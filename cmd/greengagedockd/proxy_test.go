package main

import (
	"io"
	"net"
	"sync"

	qt "github.com/frankban/quicktest"
)

// proxy forwards TCP connections to target until it is broken, which closes them.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	broken bool
	conns  map[net.Conn]struct{}
}

// newProxy returns a proxy that forwards to target.
func newProxy(c *qt.C, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	c.Cleanup(func() {
		listener.Close()
		p.setBroken(true)
	})
	go p.serve()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setBroken closes all connections and refuses new ones, or forwards new ones again.
func (p *proxy) setBroken(broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = broken
	if broken {
		for conn := range p.conns {
			conn.Close()
		}
	}
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// forward copies in both directions until one end closes or the proxy is broken.
func (p *proxy) forward(from net.Conn) {
	defer p.closeConn(from)
	if !p.track(from) {
		return
	}
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.closeConn(to)
	if !p.track(to) {
		return
	}
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// track registers a connection; it returns false if the proxy is broken.
func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.broken {
		p.conns[conn] = struct{}{}
	}
	return !p.broken
}

func (p *proxy) closeConn(conn net.Conn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}
