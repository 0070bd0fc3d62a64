package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"greengagedock.example/platform/platformtest"
)

// pathFault is a fault of the connections of some processes: their path to the target.
type pathFault struct {
	mode proxyMode
	pids []int

	mu sync.Mutex
	// owned is the last result of ownedAddresses.
	owned map[string]bool
}

// setPathFault has the proxy accept the connections of some processes and reset them, or pass
// nothing on, in place of an earlier fault of this kind.
func (p *proxy) setPathFault(fault *pathFault) {
	p.mu.Lock()
	p.path = fault
	clear(p.onPath)
	var open []net.Conn
	for from := range p.pairs {
		open = append(open, from)
	}
	p.mu.Unlock()
	for _, from := range open {
		if p.pathFaultOf(from) != fault {
			continue
		}
		p.mu.Lock()
		if to := p.pairs[from]; to != nil {
			p.onPath[to] = true
			if fault.mode == proxyReset {
				p.markCut(to)
				platformtest.Reset(from)
				platformtest.Reset(to)
			}
		}
		p.mu.Unlock()
	}
}

// endPathFault ends a fault, unless another one has taken its place.
func (p *proxy) endPathFault(fault *pathFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.path == fault {
		p.path = nil
		clear(p.onPath)
	}
}

// pathFaultOf returns the fault that befalls an accepted connection, nil if there is none.
func (p *proxy) pathFaultOf(from net.Conn) *pathFault {
	p.mu.Lock()
	fault := p.path
	p.mu.Unlock()
	if fault == nil {
		return nil
	}
	if fault.owns(from) {
		return fault
	}
	return nil
}

// modeOf returns the mode in which the bytes of a connection to the target are forwarded.
func (p *proxy) modeOf(target net.Conn) proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.path != nil && p.onPath[target] {
		return p.path.mode
	}
	return p.mode
}

// owns reports whether one of the processes has the other end of a connection.
func (f *pathFault) owns(conn net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ends := procAddress(conn.RemoteAddr()) + procAddress(conn.LocalAddr())
	owned, known := f.owned[ends]
	if !known {
		f.owned = ownedAddresses(f.pids) // reads whole tables: once for many connections
		owned = f.owned[ends]
	}
	return owned
}

// ownedAddresses returns the local and remote addresses of the TCP sockets on this machine, and
// whether one of the processes has them. Those that wait for their end have no owner any more.
func ownedAddresses(pids []int) map[string]bool {
	sockets := make(map[string]bool)
	for _, pid := range pids {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		if err != nil {
			continue
		}
		for _, file := range files {
			if name, err := os.Readlink(file); err == nil {
				sockets[name] = true
			}
		}
	}
	out := make(map[string]bool)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return out
	}
	for line := range strings.Lines(string(table)) {
		const localField, remoteField, inodeField = 1, 2, 9
		if fields := strings.Fields(line); len(fields) > inodeField && fields[inodeField] != "0" {
			out[fields[localField]+fields[remoteField]] = sockets["socket:["+fields[inodeField]+"]"]
		}
	}
	return out
}

// procAddress returns an IPv4 address as /proc/net/tcp shows it.
func procAddress(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// pid returns the id of the entry's running process, 0 if there is none.
func (e *entry) pid() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil || e.process.Process == nil {
		return 0
	}
	return e.process.Process.Pid
}

// maxPathEntries is the largest number of entries whose paths fail at once.
const maxPathEntries = 2

// failPath has the paths of one or two entries to some or all servers accept connections and
// pass nothing on, or reset them. It excuses no entry: the others lead to the servers.
func failPath(ctx context.Context, f *fleet) string {
	entries, d := 1+f.random.IntN(maxPathEntries), f.randomDuration(time.Second, 4*time.Second)
	modes := []proxyMode{proxySilent, proxyReset}
	fault := &pathFault{mode: modes[f.random.IntN(len(modes))]}
	var names []string
	for _, i := range f.random.Perm(len(f.entries))[:entries] {
		fault.pids = append(fault.pids, f.entries[i].pid())
		names = append(names, f.entries[i].name)
	}
	servers := f.active()
	if f.random.IntN(2) == 0 {
		servers = servers[:1+len(servers)/2]
	}
	for _, s := range servers {
		s.proxy.setPathFault(fault)
	}
	runAfter(ctx, d, func() {
		for _, s := range servers {
			s.proxy.endPathFault(fault)
		}
	})
	return fmt.Sprint(strings.Join(names, " "), " to ", len(servers), " servers ", fault.mode, " for ", d)
}
