package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// entry is a process of the system.
type entry struct {
	name, ip, zone string
	ports          ports
	dir            string
	settings       map[string]any

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// overMemory holds when the platform killed the process for its memory.
	overMemory []time.Time
}

// ports are the ports that all machines of an installation use.
type ports struct{ front, ready, control, directory, internal int }

// freePorts returns ports that are free on some addresses.
func freePorts(ips []string) ports {
	var out [5]int
	for i := range out {
		for try := 0; ; try++ {
			if try == 200 {
				unable(fmt.Errorf("no free port"))
			}
			if p, ok := freePort(ips); ok {
				out[i] = p
				break
			}
		}
	}
	return ports{out[0], out[1], out[2], out[3], out[4]}
}

func freePort(ips []string) (port int, ok bool) {
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	for _, ip := range ips {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return 0, false
		}
		open = append(open, l)
		port = l.Addr().(*net.TCPAddr).Port
	}
	return port, true
}

func (e *entry) address(port int) string { return fmt.Sprintf("%s:%d", e.ip, port) }

// newEntries returns entries of one installation on some addresses, which aren't started.
func newEntries(name string, ips []string, store string) []*entry {
	return newEntriesAt(name, ips, freePorts(ips), store)
}

// newEntriesAt is newEntries with the ports that all machines use.
func newEntriesAt(name string, ips []string, free ports, store string) []*entry {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		unable(err)
	}
	cleanup(func() { os.RemoveAll(dir) })
	zones := map[string]string{"north-a": "north", "north-b": "north", "north-c": "north"}
	var seeds []string
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, free.control))
	}
	var out []*entry
	for i, ip := range ips {
		e := &entry{name: fmt.Sprintf("%s-%d", name, i+1), ip: ip, zone: []string{"north-a", "north-b", "north-c"}[i%3], ports: free, dir: dir}
		e.settings = map[string]any{
			"Node": e.name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front", "control", "directory"},
			"Ip": ip, "Zone": e.zone, "Region": "north", "Zones": zones,
			"Listen": map[string]any{
				"Front": e.address(free.front), "Ready": e.address(free.ready), "Control": e.address(free.control), "Directory": e.address(free.directory),
			},
			"InternalPortRange": []int{free.internal, free.internal}, "Seeds": seeds, "Bootstrap": true, "CountsAsLoss": false,
			"Limits":  map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
			"DataDir": nil, "Discovery": "platform", "Entry": "directory", "BeatMs": 1200,
			"Contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "spans"},
			"Tolerate":  map[string]any{"Machines": 1, "Zones": 1, "Regions": 0},
			"Bounds": map[string]any{
				"SeedLagS": 3, "AddrReuseS": 2, "StableMs": 3000, "AckMs": 4000, "SyncS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
				"ConfigApplyMs": 2000, "DowngradeMs": 250, "MaxSkewMs": 5000, "StrictRevoke": false, "RevokeMs": 5000, "RetryRatio": 0.2,
				"RetryWindowS": 10, "RetrySlack": 104, "ColdOver": 1.5, "ColdSlack": 5, "EvacMs": 5000, "RecoverS": 12, "PassMs": 120,
				"RetryAfterS": 0, "stall_ms": 1500, "HoldMaxMs": 20000, "FreeMs": 4000, "IdleMaxMs": 9000, "ttl_max_s": 5,
			},
			"Platform": map[string]any{"Addr": store, "form": "read", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000},
		}
		out = append(out, e)
	}
	return out
}

func (e *entry) path() string { return filepath.Join(e.dir, e.name+".json") }

// writeSettings puts the settings file in place.
func (e *entry) writeSettings() {
	text, err := json.MarshalIndent(e.settings, "", "  ")
	if err != nil {
		unable(err)
	}
	if err := os.WriteFile(e.path()+".new", text, 0o644); err != nil {
		unable(err)
	}
	if err := os.Rename(e.path()+".new", e.path()); err != nil {
		unable(err)
	}
}

// start starts the process with the command of the deploy file.
func (e *entry) start() {
	e.writeSettings()
	log, err := os.OpenFile(filepath.Join(e.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		unable(err)
	}
	defer log.Close()
	command := exec.Command("target/greengagedockd", "gateway")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GREENGAGEDOCK_SETTINGS=" + e.path()}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		unable(err)
	}
	ended := make(chan struct{})
	e.mu.Lock()
	e.process, e.ended = command, ended
	e.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	cleanup(func() {
		_ = command.Process.Kill()
		<-ended
		if dir := os.Getenv("KEEP_LOGS"); dir != "" {
			text, _ := os.ReadFile(filepath.Join(e.dir, e.name+".log"))
			_ = os.WriteFile(filepath.Join(dir, e.name+".log"), text, 0o644)
		}
	})
	record("entry", e.name, "started", command.Process.Pid)
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	record("entry", e.name, "signal", s.String())
	_ = e.process.Process.Signal(s)
}

// residentMemory returns the memory of the process in bytes.
func (e *entry) residentMemory() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", e.process.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	_, _ = fmt.Sscan(string(text), &size, &resident)
	return resident * int64(os.Getpagesize())
}

// supervise does what the platform does: it kills a process that exceeds its memory, and restarts
// one that ends after a short delay, until stop is closed.
func (e *entry) supervise(stop <-chan struct{}) {
	const (
		limit   = 284 << 20
		delay   = time.Second
		between = 20 * time.Millisecond
	)
	for {
		select {
		case <-stop:
			return
		case <-time.After(between):
		}
		if !e.running() {
			time.Sleep(delay)
			e.start()
			continue
		}
		if used := e.residentMemory(); used > limit {
			record("entry", e.name, "killed over its memory", used>>20)
			e.mu.Lock()
			e.overMemory = append(e.overMemory, time.Now())
			e.mu.Unlock()
			e.signal(syscall.SIGKILL)
			e.mu.Lock()
			ended := e.ended
			e.mu.Unlock()
			<-ended
		}
	}
}

// running reports whether the process has not ended.
func (e *entry) running() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.ended:
		return false
	default:
		return true
	}
}

// awaitReady waits until all entries are ready and each directory names all of them.
func awaitReady(entries []*entry) {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range entries {
			response, err := client.Get("http://" + e.address(e.ports.directory) + "/v1/resolve?Name=x&Region=north&Zone=" + e.zone)
			if err != nil {
				continue
			}
			var body struct{ Addrs []string }
			if json.NewDecoder(response.Body).Decode(&body) == nil && len(body.Addrs) >= len(entries) {
				ready++
			}
			response.Body.Close()
		}
		if ready == len(entries) {
			return
		}
		if time.Now().After(end) {
			unable(fmt.Errorf("%d of %d entries ready", ready, len(entries)))
		}
	}
}

func directories(entries []*entry) []string {
	var out []string
	for _, e := range entries {
		out = append(out, e.address(e.ports.directory))
	}
	return out
}
