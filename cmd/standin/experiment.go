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

// maxSeeds bounds the seeds of one call: each plays in seconds.
const maxSeeds = 1000

func newExperimentCommand() *cobra.Command {
	var placings []string
	var seed, seeds uint64
	var plots string
	var only []string
	var servers int
	var rate float64
	var brief bool
	cmd := &cobra.Command{
		Use:   "experiment LOAD",
		Short: "Play a load against modelled engines in virtual time",
		Long: "Play a load, written in JSON with comments, against modelled engines in virtual\n" +
			"time, with the code by which entries place prompts, and print who was served.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			load, err := experiment.ParseWorkload(args[0], text)
			if err != nil {
				return err
			}
			if len(only) > 0 {
				load = load.WithOnly(only...)
			}
			if rate <= 0 {
				return eris.Errorf("--rate is %g, want more than 0", rate)
			}
			load = load.WithRate(rate)
			if servers > 0 {
				load = load.WithServers(servers)
			}
			if seeds < 1 || seeds > maxSeeds {
				return eris.Errorf("--seeds is %d, want 1 to %d", seeds, maxSeeds)
			}
			for _, name := range placings {
				placing, ok := experiment.ParsePolicy(name)
				if !ok {
					return eris.Errorf("--placing is %q, want shared, alone or blind", name)
				}
				var reports []*experiment.Report
				for s := seed; s < seed+seeds; s++ {
					report := experiment.Run(load, placing, s)
					reports = append(reports, report)
					if brief {
						continue
					}
					if err := report.Print(cmd.OutOrStdout()); err != nil {
						return err
					}
					if plots == "" {
						continue
					}
					base := strings.TrimSuffix(filepath.Base(args[0]), filepath.Ext(args[0]))
					file := filepath.Join(plots, fmt.Sprintf("%s-%s-%d.svg", base, placing, s))
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
	flags.StringSliceVar(&placings, "placing", []string{"shared"}, "who places: shared, alone, blind, or several of them")
	flags.Uint64Var(&seed, "seed", 1, "first seed")
	flags.Uint64Var(&seeds, "seeds", 1, "how many seeds")
	flags.StringSliceVar(&only, "only", nil, "play these kinds of prompts only")
	flags.Float64Var(&rate, "rate", 1, "times the load's rates")
	flags.IntVar(&servers, "servers", 0, "number of engines in place of the load's")
	flags.BoolVar(&brief, "brief", false, "print the means of the seeds only")
	flags.StringVar(&plots, "plots", "", "directory for plots of queues, memory and engines")
	return cmd
}
