package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// entry is one process of the system, started with the command of the deploy file.
type entry struct {
	name     string
	settings string
	front    string
	ready    string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// entryPorts is the number of ports of one entry.
const entryPorts = 6

// graceS is GraceS in the settings.
const graceS = 8

// newEntries writes the settings of entries, as DEPLOY.md shows them for a small site, with
// the store at an address.
func newEntries(dir, storeAddress string, count int) []*entry {
	var ports [][]int
	var seeds []string
	for range count {
		p := freePorts(entryPorts)
		ports = append(ports, p)
		if len(seeds) < 3 {
			seeds = append(seeds, loopback(p[2]))
		}
	}
	var entries []*entry
	for i, p := range ports {
		e := &entry{name: fmt.Sprintf("front-zone-a-%d", i+1), front: loopback(p[0]), ready: loopback(p[1])}
		e.settings = filepath.Join(dir, e.name+".json")
		text, err := json.MarshalIndent(map[string]any{
			"Node": e.name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front", "control", "directory"},
			"Ip": "127.0.0.1", "Zone": "zone-a", "Region": "region", "Zones": map[string]string{"zone-a": "region"},
			"Listen":            map[string]string{"Front": e.front, "Ready": e.ready, "Control": loopback(p[2]), "Directory": loopback(p[3])},
			"InternalPortRange": []int{p[4], p[5]}, "Seeds": seeds, "Bootstrap": true, "CountsAsLoss": false,
			"Limits":  map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
			"DataDir": nil, "Discovery": "platform", "Entry": "directory", "BeatMs": 1200,
			"Tolerate": map[string]int{"Machines": 1, "Zones": 1, "Regions": 0},
			"Bounds": map[string]any{
				"SeedLagS": 3, "AddrReuseS": 2, "StableMs": 3000, "AckMs": 4000, "SyncS": 4, "DrainMs": 2000, "GraceS": graceS,
				"LossSlackMs": 200, "ConfigApplyMs": 2000, "DowngradeMs": 250, "MaxSkewMs": 5000, "RetryRatio": 0.2, "RetryWindowS": 10,
				"RetrySlack": 104, "ColdOver": 1.5, "ColdSlack": 5, "EvacMs": 5000, "RecoverS": 12, "PassMs": 120, "stall_ms": 1500,
				"HoldMaxMs": 20000, "FreeMs": 4000, "IdleMaxMs": 9000, "ttl_max_s": 5,
			},
			"Platform": map[string]any{"Addr": storeAddress, "form": "read", "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1 << 20},
		}, "", "  ")
		if err != nil {
			fail("settings: %v", err)
		}
		if err := os.WriteFile(e.settings, text, 0o600); err != nil {
			fail("settings: %v", err)
		}
		entries = append(entries, e)
	}
	return entries
}

// start starts the process. Its log goes to a file beside the settings.
func (e *entry) start() {
	log, err := os.OpenFile(e.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	process := exec.Command("target/greengagedockd", "gateway")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GREENGAGEDOCK_SETTINGS=" + e.settings}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		fail("%s: %v", e.name, err)
	}
	ended := make(chan struct{})
	e.mu.Lock()
	e.process, e.ended = process, ended
	e.mu.Unlock()
	go func() {
		_ = process.Wait()
		log.Close()
		record("%s: process %d ended: %v", e.name, process.Process.Pid, process.ProcessState)
		close(ended)
	}()
	record("%s: process %d started", e.name, process.Process.Pid)
	processesMu.Lock()
	defer processesMu.Unlock()
	processes = append(processes, process.Process.Pid)
}

var (
	processesMu sync.Mutex
	processes   []int
)

// startedProcesses returns the ids of the processes that were started.
func startedProcesses() []int {
	processesMu.Lock()
	defer processesMu.Unlock()
	return slices.Clone(processes)
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	record("%s: %v", e.name, s)
	_ = e.process.Process.Signal(s)
}

func (e *entry) pid() int { return e.process.Process.Pid }

// awaitReady waits until the platform's check of the entry succeeds.
func (e *entry) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + e.ready + "/v1/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	fail("%s is not ready", e.name)
}

// stop kills the process, if it runs, and waits for its end.
func (e *entry) stop() {
	e.mu.Lock()
	process, ended := e.process, e.ended
	e.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-ended
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// freePorts returns consecutive free ports below those that the system assigns to connections.
func freePorts(count int) []int {
	for first := 12000 + os.Getpid()%8000; first < 32000; first += count {
		if nextPort > first {
			continue
		}
		var ports []int
		for port := first; port < first+count; port++ {
			listener, err := net.Listen("tcp4", loopback(port))
			if err != nil {
				break
			}
			listener.Close()
			ports = append(ports, port)
		}
		if len(ports) == count {
			nextPort = first + count
			return ports
		}
	}
	fail("no free ports")
	return nil
}

// nextPort is the first port that freePorts has not assigned.
var nextPort int
