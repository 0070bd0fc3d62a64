package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"
)

const (
	// startTimeout bounds the start of a fleet.
	startTimeout = 20 * time.Second
	// recoveryTime is how long all is left alone at the end; the later half must be served.
	recoveryTime = 6 * time.Second
	// Each run has portsPerRun ports of its own, from firstPort on; all are below
	// those that the system hands out.
	portsPerRun = 512
	firstPort   = 20_000
	portRanges  = 24
)

// options are how a run is to be made.
type options struct {
	daemon        string
	dir           string
	entries       int
	servers       int
	callers       int
	faultDuration time.Duration
	// faultNames names the faults that are drawn, all if it is empty.
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
		Short:        "Disturb a fleet of entries from outside and check what callers and servers see",
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
			slots := make(chan int, parallel)
			for i := range parallel {
				slots <- i
			}
			for _, seed := range all {
				slot := <-slots
				running.Go(func() {
					defer func() { slots <- slot }()
					text, problems := run(o, seed, slot)
					mu.Lock()
					defer mu.Unlock()
					fmt.Println(text)
					for _, problem := range problems {
						fmt.Println("  ", problem)
					}
					if len(problems) > 0 {
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
	command.Flags().StringVar(&o.daemon, "daemon", "target/greengagedockd", "program of an entry")
	command.Flags().StringVar(&o.dir, "dir", os.TempDir(), "where settings and logs of each run go")
	command.Flags().IntVar(&o.entries, "entries", 5, "entries")
	command.Flags().IntVar(&o.servers, "servers", 9, "backend servers")
	command.Flags().IntVar(&o.callers, "callers", 8, "callers")
	command.Flags().DurationVar(&o.faultDuration, "for", 10*time.Second, "how long faults go on")
	command.Flags().StringSliceVar(&o.faultNames, "only", nil, "draw these faults only")
	command.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	command.Flags().Uint64Var(&seeds, "seeds", 1, "number of seeds")
	command.Flags().StringVar(&regressions, "regressions", "", "file of seeds that failed once, one a line with its cause, run in place of the others")
	command.Flags().IntVar(&parallel, "parallel", 1, "runs at once")
	return command
}

// loadSeeds returns the seeds in the file, or without one those from first on.
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
			return nil, fmt.Errorf("%s:%d: %q is no seed", file, i+1, number)
		}
		out = append(out, seed)
	}
	return out, nil
}

// run makes one run and returns a line on it and the broken promises.
func run(o options, seed uint64, slot int) (string, []string) {
	drawn, err := selectFaults(o.faultNames)
	if err != nil {
		return "", []string{err.Error()}
	}
	dir := filepath.Join(o.dir, fmt.Sprintf("soak-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", []string{err.Error()}
	}
	f, err := startFleet(dir, o.daemon, seed, o.entries, o.servers, firstPort+portsPerRun*(slot%portRanges))
	if err != nil {
		return "", []string{err.Error()}
	}
	defer f.stop()
	ready, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := f.waitReady(ready); err != nil {
		return fmt.Sprintf("seed %d: not started, logs %s", seed, logPattern(dir)), []string{err.Error()}
	}
	ctx, end := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range o.callers {
		c := &caller{fleet: f, number: i, random: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		running.Go(func() { c.run(ctx) })
	}
	running.Go(func() { f.watchVersions(ctx) })
	disturbed, calm := context.WithTimeout(context.Background(), o.faultDuration)
	done := f.injectFaults(disturbed, drawn)
	calm()
	calmFrom := time.Now().Add(recoveryTime / 2)
	time.Sleep(recoveryTime)
	end()
	running.Wait()
	f.checkRecovered(context.Background())
	problems := f.checker.violations(calmFrom)
	line := fmt.Sprintf("seed %d: %d faults, %s, %d broken promises", seed, len(done), f.checker.summary(), len(problems))
	if len(problems) > 0 {
		problems = append(problems, "faults:")
		problems = append(problems, done...)
		problems = append(problems, "logs: "+logPattern(dir))
	}
	return line, problems
}
