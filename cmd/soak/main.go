package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"greengagedock.example/platform/platformtest"
	"greengagedock.example/porttest"
)

const (
	// startTimeout is how long all entries of a fleet together may take to become ready.
	startTimeout = 20 * time.Second
	// recoveryTime is how long a run goes on after its last fault, soundTime longer with a
	// crashing part. Requests that start in the last half of it must be served.
	recoveryTime = 6 * time.Second
	// Each concurrent run has a range of portsPerRun ports, the first one starting
	// at firstPort. All ranges are below the ephemeral ports of the system.
	portsPerRun = 512
	firstPort   = 20_000
	portRanges  = 24
)

// options configures a run.
type options struct {
	daemon string
	// otherDaemon is the build by which entries are replaced, there and back, in place of the
	// drawn faults; empty for none.
	otherDaemon   string
	dir           string
	entries       int
	servers       int
	callers       int
	faultDuration time.Duration
	// faultNames lists the faults to draw from; if it is empty, all are drawn.
	faultNames []string
}

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var o options
	var seed, seeds uint64
	var parallel int
	var regressions string
	command := &cobra.Command{
		Use:          "soak --daemon FILE",
		Short:        "Inject faults into a fleet of entries and check what callers and backend servers observe",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			all, err := loadSeeds(regressions, seed, seeds)
			if err != nil {
				return err
			}
			failed := 0
			var mu sync.Mutex
			var running sync.WaitGroup
			freeRanges := make(chan int, parallel)
			for range parallel {
				portRange, err := holdRange()
				if err != nil {
					return err
				}
				freeRanges <- portRange
			}
			for _, seed := range all {
				portRange := <-freeRanges
				running.Go(func() {
					defer func() { freeRanges <- portRange }()
					summary, violations := run(o, seed, portRange)
					mu.Lock()
					defer mu.Unlock()
					fmt.Println(summary)
					for _, violation := range violations {
						fmt.Println("  ", violation)
					}
					if len(violations) > 0 {
						failed++
					}
				})
			}
			running.Wait()
			if failed > 0 {
				return fmt.Errorf("%d of %d seeds failed", failed, len(all))
			}
			return nil
		},
	}
	command.Flags().StringVar(&o.daemon, "daemon", "target/greengagedockd", "path of the entry program")
	command.Flags().StringVar(&o.otherDaemon, "other-daemon", "", "path of another build of the entry program; replaces the entries by it one by one, there and back")
	command.Flags().StringVar(&o.dir, "dir", os.TempDir(), "directory for the settings and logs of each run")
	command.Flags().IntVar(&o.entries, "entries", 5, "number of entries")
	command.Flags().IntVar(&o.servers, "servers", 9, "number of backend servers")
	command.Flags().IntVar(&o.callers, "callers", 8, "number of callers")
	command.Flags().DurationVar(&o.faultDuration, "for", 10*time.Second, "how long faults are injected")
	command.Flags().StringSliceVar(&o.faultNames, "only", nil, "draw only these faults")
	command.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	command.Flags().Uint64Var(&seeds, "seeds", 1, "number of seeds")
	command.Flags().StringVar(&regressions, "regressions", "", "file of seeds that once failed, one per line followed by the cause; runs these seeds instead")
	command.Flags().IntVar(&parallel, "parallel", 1, "number of concurrent runs")
	return command
}

// portRangesHeld holds the ranges of ports that this process uses.
var portRangesHeld struct {
	mu   sync.Mutex
	held [portRanges]bool
}

// holdRange returns a range of ports that neither another run nor another soak uses.
func holdRange() (int, error) {
	portRangesHeld.mu.Lock()
	defer portRangesHeld.mu.Unlock()
	for i := range portRanges {
		if !portRangesHeld.held[i] && porttest.Hold(firstPort+portsPerRun*i) {
			portRangesHeld.held[i] = true
			return i, nil
		}
	}
	return 0, fmt.Errorf("none of %d ranges of ports is free", portRanges)
}

// loadSeeds returns the seeds in the file, or, if file is empty, count seeds
// from first on.
func loadSeeds(file string, first, count uint64) ([]uint64, error) {
	var out []uint64
	if file == "" {
		for n := range count {
			out = append(out, first+n)
		}
		return out, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	for i, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		number, _, _ := strings.Cut(line, " ")
		seed, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %q is not a seed", file, i+1, number)
		}
		out = append(out, seed)
	}
	return out, nil
}

// run runs a fleet under faults drawn from the seed, on the ports of the given
// range, and returns a one-line summary and the violations that it found.
func run(o options, seed uint64, portRange int) (string, []string) {
	selected, err := selectFaults(o.faultNames)
	if err != nil {
		return "", []string{err.Error()}
	}
	dir := filepath.Join(o.dir, fmt.Sprintf("soak-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", []string{err.Error()}
	}
	f, err := startFleet(dir, o.daemon, seed, o.entries, o.servers, firstPort+portsPerRun*portRange)
	if err != nil {
		return "", []string{err.Error()}
	}
	defer f.stop()
	startCtx, cancelStart := context.WithTimeout(context.Background(), startTimeout)
	defer cancelStart()
	if err := f.waitReady(startCtx); err != nil {
		return fmt.Sprintf("seed %d: fleet did not start, logs %s", seed, logPattern(dir)), []string{err.Error()}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range o.callers {
		c := &caller{fleet: f, number: i, account: 1 + i%(platformtest.Accounts-1), random: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		running.Go(func() { c.run(ctx) })
	}
	running.Go(func() { f.watchVersions(ctx) })
	faultCtx, cancelFaults := context.WithTimeout(context.Background(), o.faultDuration)
	var crashing string
	var injecting sync.WaitGroup
	crashNames := o.faultNames
	if o.otherDaemon != "" && len(crashNames) == 0 {
		crashNames = []string{[]string{crashingPartFault, crashingRequestFault}[seed%2]}
	}
	if len(crashNames) == 0 || slices.Contains(crashNames, crashingPartFault) || slices.Contains(crashNames, crashingRequestFault) {
		injecting.Go(func() { crashing = f.injectCrash(faultCtx, crashNames) })
	}
	var stated []string
	injecting.Go(func() { stated = f.injectStatements(faultCtx, o.faultNames) })
	var competing string
	if slices.Contains(o.faultNames, competingAccountsFault) {
		injecting.Go(func() { competing = f.injectCompetition(faultCtx) })
	}
	var injected []string
	if o.otherDaemon != "" {
		injected = f.replaceEntries(ctx, o.daemon, o.otherDaemon)
	} else {
		injected = f.injectFaults(faultCtx, selected)
	}
	injecting.Wait()
	injected = append(injected, stated...)
	for _, line := range []string{crashing, competing} {
		if line != "" {
			injected = append(injected, line)
		}
	}
	cancelFaults()
	recovery := recoveryTime
	if crashing != "" {
		recovery += soundTime // entries that were disturbed last must learn anew
	}
	recoveredBy := time.Now().Add(recovery - recoveryTime/2)
	time.Sleep(recovery)
	cancel()
	running.Wait()
	f.checkRecovered(context.Background())
	accounts := f.checkAccounts(f.checker.all())
	if o.otherDaemon != "" {
		f.checkRefusedMessages()
	}
	violations := f.checker.violations(recoveredBy)
	summary := fmt.Sprintf("seed %d: %d faults, %s, %d servers ended%s, %d violations", seed, len(injected), f.checker.summary(), len(f.serverEnds()), accounts, len(violations))
	if len(violations) > 0 {
		violations = append(violations, "faults:")
		violations = append(violations, injected...)
		violations = append(violations, "logs: "+logPattern(dir))
	}
	return summary, violations
}
