package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"greengagedock.example/entry"
	"greengagedock.example/settings"
)

// Exit statuses of the daemon.
const (
	statusFailed   = 1
	statusSettings = 2
)

func main() {
	status := 0
	command := newCommand(&status)
	if err := command.Execute(); err != nil {
		printError(os.Stderr, err)
		if status == 0 {
			status = statusSettings
		}
	}
	os.Exit(status)
}

// printError prints an error, or one line for each problem if the settings are invalid.
func printError(w io.Writer, err error) {
	refused, ok := errors.AsType[*settings.Error](err)
	if !ok {
		fmt.Fprintln(w, "greengagedockd:", err)
		return
	}
	for _, problem := range refused.Problems() {
		fmt.Fprintln(w, problem)
	}
	fmt.Fprintln(w, "greengagedockd: settings refused")
}

// newCommand returns the root command, which sets status if the daemon fails.
func newCommand(status *int) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:           "greengagedockd --settings FILE",
		Short:         "Run one entry instance",
		Example:       "  greengagedockd --settings examples/kinross/entry-1.json",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.Read(path)
			if err != nil {
				*status = statusSettings
				return err
			}
			if err := run(s); err != nil {
				*status = statusFailed
				return err
			}
			return nil
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments")
	_ = command.MarkFlagRequired("settings")
	command.AddCommand(newGatewayCommand(status))
	return command
}

// run runs an entry until a signal or an operator shuts it down gracefully. A
// second signal or the shutdown deadline stops it immediately.
func run(s settings.Settings) error {
	log := hclog.New(&hclog.LoggerOptions{Name: s.ID(), Level: hclog.LevelFromString(s.LogLevel()), Output: os.Stderr})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	process, err := entry.Start(s, log)
	if err != nil {
		return err
	}
	select {
	case <-signals:
	case <-process.DrainRequested():
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.ShutdownDeadline())
	defer cancel()
	go cancelOnSignal(signals, cancel)
	started := time.Now()
	err = process.Shutdown(ctx)
	log.Info("entry stopped", "took", time.Since(started), "error", err)
	return err
}

// cancelOnSignal calls cancel on the next signal.
func cancelOnSignal(signals <-chan os.Signal, cancel context.CancelFunc) {
	<-signals
	cancel()
}
