package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"greengagedock.example/operator"
)

// versionResult is the version of this program; version --json prints it.
type versionResult struct {
	Version string `json:"version"`
}

func (p *program) version() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Show the version of this client",
		Example: "  greengagedock version --json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if p.json {
				return p.printJSON(versionResult{Version: operator.Version()})
			}
			_, err := fmt.Fprintln(p.out, operator.Version())
			return err
		},
	}
}
