//go:build ignore

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// entryProcess is one machine of the system: it restarts its process whenever it ends.
type entryProcess struct {
	name     string
	settings string
	front    string
	resolve  string
	readyAt  string
	control  string
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	stopped bool
	exited  chan struct{}
	ports   []int
	store   string
	seeds   []string
}

// freePorts returns count ports that were free a moment ago, below those that the system gives
// out itself.
func freePorts(count int) ([]int, error) {
	var ports []int
	for port := 15000 + rand.IntN(12000); len(ports) < count; port++ {
		listener, err := net.Listen("tcp", at(port))
		if err != nil {
			if port > 32000 {
				return nil, err
			}
			continue
		}
		defer listener.Close()
		ports = append(ports, port)
	}
	return ports, nil
}

func at(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// settingsText returns the settings of a machine as the platform writes them.
func settingsText(name string, ports []int, store string, seeds []string, bounds map[string]any) ([]byte, error) {
	all := map[string]any{
		"SeedLagS": 3, "AddrReuseS": 2, "StableMs": 3000, "AckMs": 4000, "SyncS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
		"ConfigApplyMs": 2000, "DowngradeMs": 250, "MaxSkewMs": 5000, "StrictRevoke": false, "RevokeMs": 5000, "RetryRatio": 0.2,
		"RetryWindowS": 10, "RetrySlack": 104, "ColdOver": 1.5, "ColdSlack": 5, "EvacMs": 5000, "RecoverS": 12, "PassMs": 120,
		"RetryAfterS": 0, "stall_ms": 1500, "HoldMaxMs": 20000, "FreeMs": 4000, "IdleMaxMs": 9000, "ttl_max_s": 5,
	}
	for key, value := range bounds {
		all[key] = value
	}
	return json.Marshal(map[string]any{
		"Node": name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front", "control", "directory"},
		"Ip": "127.0.0.1", "Zone": "z-a", "Region": "z", "Zones": map[string]string{"z-a": "z"},
		"Listen":            map[string]any{"Front": at(ports[0]), "Ready": at(ports[1]), "Control": at(ports[2]), "Directory": at(ports[3])},
		"InternalPortRange": []int{ports[4], ports[4]}, "Seeds": seeds, "Bootstrap": true,
		"Limits":  map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"DataDir": nil, "Discovery": "platform", "Entry": "directory", "BeatMs": 1200,
		"Contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "spans"},
		"Tolerate":  map[string]any{"Machines": 1, "Zones": 1, "Regions": 0},
		"Bounds":    all,
		"Platform":  map[string]any{"Addr": store, "form": "read", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000},
	})
}

// startEntries starts count machines.
func startEntries(dir, daemon, store string, count int) ([]*entryProcess, error) {
	var all [][]int
	var seeds []string
	ports, err := freePorts(5 * count)
	if err != nil {
		return nil, err
	}
	for i := range count {
		all = append(all, ports[5*i:5*i+5])
		if i < 3 {
			seeds = append(seeds, at(ports[5*i+2]))
		}
	}
	var out []*entryProcess
	for i, p := range all {
		name := fmt.Sprintf("front-z-a-%d", i+1)
		e := &entryProcess{name: name, settings: filepath.Join(dir, name+".json"), front: at(p[0]), readyAt: at(p[1]), control: at(p[2]), resolve: at(p[3]), exited: make(chan struct{}), ports: p, store: store, seeds: seeds}
		if err := e.writeSettings(nil); err != nil {
			return out, err
		}
		var err error
		if e.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
			return out, err
		}
		go e.run(daemon)
		out = append(out, e)
	}
	return out, nil
}

func (e *entryProcess) run(daemon string) {
	defer close(e.exited)
	for {
		e.mu.Lock()
		if e.stopped {
			e.mu.Unlock()
			return
		}
		process := exec.Command(daemon, "gateway")
		process.Env = append(os.Environ(), "GREENGAGEDOCK_SETTINGS="+e.settings)
		process.Stdout, process.Stderr = e.log, e.log
		err := process.Start()
		e.process, e.ended = process, make(chan struct{})
		ended := e.ended
		e.mu.Unlock()
		if err == nil {
			if err = process.Wait(); err != nil {
				fmt.Fprintln(e.log, "ended:", err)
			}
		}
		close(ended)
		time.Sleep(300 * time.Millisecond)
	}
}

// signal sends a signal to the process that runs now.
func (e *entryProcess) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil && e.process.Process != nil {
		_ = e.process.Process.Signal(s)
	}
}

// ready reports whether the machine says that it is ready.
func (e *entryProcess) ready() bool {
	response, err := http.Get("http://" + e.readyAt + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// writeSettings writes the settings file, with other bounds if any.
func (e *entryProcess) writeSettings(bounds map[string]any) error {
	text, err := settingsText(e.name, e.ports, e.store, e.seeds, bounds)
	if err != nil {
		return err
	}
	return os.WriteFile(e.settings, text, 0o600)
}

// terminate stops the process as the platform does: SIGKILL follows SIGTERM after the grace.
func (e *entryProcess) terminate(grace time.Duration) {
	e.mu.Lock()
	e.stopped = true
	ended := e.ended
	e.mu.Unlock()
	e.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		e.signal(syscall.SIGKILL)
		<-ended
	}
}

// stop ends the machine for good.
func (e *entryProcess) stop() {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	<-e.exited
	e.log.Close()
}
