package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"greengagedock.example/experiment"
)

// maxSeeds limits the seeds of one run, as the simulation of each takes seconds.
const maxSeeds = 1000

func newExperimentCommand() *cobra.Command {
	var policies []string
	var seed, seeds uint64
	var plotDirectory string
	var onlyKinds []string
	var servers int
	var rate float64
	var meansOnly bool
	cmd := &cobra.Command{
		Use:   "experiment LOAD",
		Short: "Simulate a load against modelled engines in virtual time",
		Long: "Simulate a load, given as JSON with comments, against modelled engines in virtual\n" +
			"time, using the scheduling code of the entries, and print which requests were served.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			workload, err := experiment.ParseWorkload(args[0], text)
			if err != nil {
				return err
			}
			if len(onlyKinds) > 0 {
				workload = workload.WithOnly(onlyKinds...)
			}
			if rate <= 0 {
				return eris.Errorf("--rate is %g, want more than 0", rate)
			}
			workload = workload.WithRate(rate)
			if servers > 0 {
				workload = workload.WithServers(servers)
			}
			if seeds < 1 || seeds > maxSeeds {
				return eris.Errorf("--seeds is %d, want 1 to %d", seeds, maxSeeds)
			}
			if plotDirectory != "" {
				if err := os.MkdirAll(plotDirectory, 0o755); err != nil {
					return eris.Errorf("--plots: %v", err)
				}
			}
			for _, name := range policies {
				policy, ok := experiment.ParsePolicy(name)
				if !ok {
					return eris.Errorf("--placing is %q, want shared, alone, unshared, fifo or blind", name)
				}
				var reports []*experiment.Report
				for s := seed; s < seed+seeds; s++ {
					report := experiment.Run(workload, policy, s)
					reports = append(reports, report)
					if meansOnly {
						continue
					}
					if err := report.Print(cmd.OutOrStdout()); err != nil {
						return err
					}
					if plotDirectory == "" {
						continue
					}
					base := strings.TrimSuffix(filepath.Base(args[0]), filepath.Ext(args[0]))
					file := filepath.Join(plotDirectory, fmt.Sprintf("%s-%s-%d.svg", base, policy, s))
					if err := report.Plot(file); err != nil {
						return err
					}
				}
				if err := experiment.PrintMean(cmd.OutOrStdout(), reports); err != nil {
					return err
				}
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&policies, "placing", []string{"shared"}, "scheduling policy: shared, alone, unshared, fifo or blind, or a list of them")
	flags.Uint64Var(&seed, "seed", 1, "first seed")
	flags.Uint64Var(&seeds, "seeds", 1, "number of seeds")
	flags.StringSliceVar(&onlyKinds, "only", nil, "simulate these kinds of prompts only")
	flags.Float64Var(&rate, "rate", 1, "factor of the load's request rates")
	flags.IntVar(&servers, "servers", 0, "number of engines, overrides that of the load")
	flags.BoolVar(&meansOnly, "brief", false, "print only the means over the seeds")
	flags.StringVar(&plotDirectory, "plots", "", "directory for plots of queues, memory and engines; created if it is missing")
	return cmd
}
