package main

import (
	"github.com/spf13/cobra"

	"greengagedock.example/operator"
)

func (p *program) servers() *cobra.Command {
	return &cobra.Command{
		Use:   "servers",
		Short: "Show the backend servers that an entry keeps",
		Long: `Show the backend servers that an entry keeps, that is, whose slots it grants:
the load of each with its current limit, and why it gets no new requests if so.`,
		Example: `  greengagedock servers
  greengagedock servers --json`,
		Args:    cobra.NoArgs,
		PreRunE: p.checkAddress,
		RunE: func(command *cobra.Command, _ []string) error {
			servers, err := p.client().BackendServers(command.Context())
			if err != nil {
				return err
			}
			return p.printServers(servers)
		},
	}
}

func (p *program) printServers(servers []operator.BackendServer) error {
	if p.json {
		return p.printJSON(append([]operator.BackendServer{}, servers...))
	}
	rows := [][]string{{"SERVER", "SERVICE", "INCARNATION", "WARMTH", "TRUST", "REQUESTS", "TOKENS", "HALTED"}}
	for _, s := range servers {
		requests, tokens := formatLoad(s.Load(), s.Limit())
		rows = append(rows, []string{
			s.ID(), orDash(s.Service()), orDash(s.Incarnation()), orDash(s.Warmth()), orDash(s.KeeperLease()),
			requests, tokens, orDash(s.SuspendedReason()),
		})
	}
	p.printTable(rows)
	return nil
}
