package main

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"greengagedock.example/operator"
)

func (p *program) explain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST_ID",
		Short: "Show the routing decisions about a request",
		Long: `Show the decisions that an entry made about a request. An entry keeps its latest
decisions only, some minutes' worth. The id is that of the request or of one of
its attempts; the entry shown as keeper has more decisions about an attempt.

Exit status 1 if the entry has no decision about the request.`,
		Example: `  greengagedock explain balloon-1138
  greengagedock explain entry-1-m3k9-2f.1 --address 10.7.1.11:8102`,
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: cobra.NoFileCompletions,
		PreRunE:           p.checkAddress,
		RunE: func(command *cobra.Command, args []string) error {
			decisions, err := p.client().Explain(command.Context(), args[0])
			if err != nil {
				return err
			}
			if err := p.printDecisions(args[0], decisions); err != nil {
				return err
			}
			if len(decisions) == 0 {
				return errNegative
			}
			return nil
		},
	}
}

func (p *program) printDecisions(id string, decisions []operator.Decision) error {
	if p.json {
		return p.printJSON(append([]operator.Decision{}, decisions...))
	}
	if len(decisions) == 0 {
		fmt.Fprintf(p.out, "%s knows no decision about %s\n", p.address, id)
		return nil
	}
	rows := [][]string{{"TIME", "DECISION", "ATTEMPT", "SERVICE", "VERSION", "SERVER", "KEEPER", "WHY", "NOT CHOSEN"}}
	for _, d := range decisions {
		rows = append(rows, []string{
			formatTime(d.Time()), string(d.Kind()), orDash(d.AttemptID()), orDash(serviceText(d)), versionText(d),
			orDash(d.Chosen()), orDash(d.Keeper()), orDash(d.Reason()), orDash(runnersUpText(d)),
		})
	}
	p.printTable(rows)
	return nil
}

func serviceText(d operator.Decision) string {
	if d.Model() == "" {
		return d.Service()
	}
	return d.Service() + " " + d.Model()
}

func versionText(d operator.Decision) string {
	if d.Version() == 0 {
		return "-"
	}
	return strconv.FormatInt(d.Version(), 10)
}

func runnersUpText(d operator.Decision) string {
	var texts []string
	for _, r := range d.RunnersUp() {
		texts = append(texts, r.Name()+" ("+r.Reason()+")")
	}
	return strings.Join(texts, ", ")
}
