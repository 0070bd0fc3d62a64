package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// path is a proxy before a runner. While it is cut for a process, it accepts the connections
// of that process and passes nothing on, in either direction; those of others work.
type path struct {
	address string
	target  string

	mu  sync.Mutex
	cut map[int]bool // by process id
	// owner holds the process of each connection, by its address at the runner.
	owner map[string]int
}

// startPath starts a proxy on a free loopback port.
func startPath(target string) *path {
	p := &path{target: target, cut: make(map[int]bool), owner: make(map[string]int)}
	listener := listen()
	p.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn.(*net.TCPConn))
		}
	}()
	return p
}

// setCut cuts the path for a process.
func (p *path) setCut(pid int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[pid] = true
}

// passes reports whether the bytes of a process are passed on.
func (p *path) passes(pid int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.cut[pid]
}

// ownerOf returns the process at the other end of the connection to the runner from a port.
func (p *path) ownerOf(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner[address]
}

func (p *path) serve(from *net.TCPConn) {
	defer from.Close()
	pid := processOf(from)
	conn, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	to := conn.(*net.TCPConn)
	defer to.Close()
	p.mu.Lock()
	p.owner[to.LocalAddr().String()] = pid
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(to, from, pid) })
	both.Go(func() { p.pass(from, to, pid) })
	both.Wait()
}

// pass copies bytes, then the end of the connection: a clean end as one, any other as a reset.
func (p *path) pass(to, from *net.TCPConn, pid int) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !p.passes(pid) {
			_, _ = io.Copy(io.Discard, from) // silent until the process closes it
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.SetLinger(0)
				from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			to.Close()
			return
		}
	}
}

// processOf returns the id of the process at the other end of a loopback connection, of those
// that this one started.
func processOf(conn *net.TCPConn) int {
	ends := procAddress(conn.RemoteAddr()) + " " + procAddress(conn.LocalAddr())
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		fail("%v", err)
	}
	socket := ""
	for line := range strings.Lines(string(table)) {
		const localField, remoteField, inodeField = 1, 2, 9
		if fields := strings.Fields(line); len(fields) > inodeField && fields[localField]+" "+fields[remoteField] == ends {
			socket = "socket:[" + fields[inodeField] + "]"
		}
	}
	for _, pid := range startedProcesses() {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, file := range files {
			if name, err := os.Readlink(file); err == nil && name == socket {
				return pid
			}
		}
	}
	return 0
}

// procAddress returns an IPv4 address as /proc/net/tcp shows it.
func procAddress(address net.Addr) string {
	tcp := address.(*net.TCPAddr)
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}
