package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"greengagedock.example/operator"
	"greengagedock.example/timer"
)

// drainPollInterval is the time between two polls of an entry that drains.
const drainPollInterval = 500 * time.Millisecond

// drainResult is the result of drain; drain --json prints it.
type drainResult struct {
	ID    string `json:"id"`
	Ended bool   `json:"ended"`
}

func (p *program) drain() *cobra.Command {
	var id string
	var wait time.Duration
	command := &cobra.Command{
		Use:   "drain",
		Short: "Shut an entry down gracefully",
		Long: `Shut an entry down gracefully: callers are told to use other entries, open
requests finish, and the process exits by its shutdown deadline.

Exit status 1 if the entry's id is not --id, or if it still answers after --wait.`,
		Example: `  greengagedock drain --id entry-1
  greengagedock drain --id entry-1 --wait 15m`,
		Args:    cobra.NoArgs,
		PreRunE: p.checkAddress,
		RunE: func(command *cobra.Command, _ []string) error {
			client := p.client()
			entry, err := client.Drain(command.Context(), id)
			if err != nil {
				return err
			}
			ended := wait > 0 && awaitExit(command.Context(), client, wait)
			if err := p.printDrainResult(drainResult{ID: entry, Ended: ended}); err != nil {
				return err
			}
			if wait > 0 && !ended {
				return errNegative
			}
			return nil
		},
	}
	command.Flags().StringVar(&id, "id", "", "drain only if the entry has this id")
	command.Flags().DurationVar(&wait, "wait", 0, "time to wait for the entry to exit")
	return command
}

// awaitExit reports whether the entry stopped answering within the wait.
func awaitExit(ctx context.Context, client *operator.Client, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var timers timer.Service
	ticks := timers.Every(drainPollInterval)
	defer timers.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticks.C():
		}
		_, err := client.Status(ctx)
		if errors.Is(err, operator.ErrUnreachable) && ctx.Err() == nil {
			return true
		}
	}
}

func (p *program) printDrainResult(d drainResult) error {
	if p.json {
		return p.printJSON(d)
	}
	state := "drains"
	if d.Ended {
		state = "has ended"
	}
	_, err := fmt.Fprintf(p.out, "%s %s\n", d.ID, state)
	return err
}
