package main

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"greengagedock.example/operator"
)

func (p *program) status() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show an entry's state, its peers and the failure domains",
		Long: `Show an entry's state, its peers and the failure domains.

Exit status 1 if the entry is unhealthy or not ready.`,
		Example: `  greengagedock status
  greengagedock status --address 10.7.0.11:8102 --json`,
		Args:    cobra.NoArgs,
		PreRunE: p.checkAddress,
		RunE: func(command *cobra.Command, _ []string) error {
			client := p.client()
			status, err := client.Status(command.Context())
			if err != nil {
				return err
			}
			unhealthy, err := client.Healthy(command.Context())
			if err != nil {
				return err
			}
			if err := p.printStatus(status, unhealthy); err != nil {
				return err
			}
			if unhealthy != "" || !status.Ready() {
				return errNegative
			}
			return nil
		},
	}
}

func (p *program) printStatus(s operator.Status, unhealthy string) error {
	if p.json {
		return p.printJSON(s)
	}
	p.printTable([][]string{
		{"entry", s.ID()},
		{"state", stateText(s, unhealthy)},
		{"failure domain", s.Location().Domain() + " in region " + s.Location().Region()},
		{"incarnation", s.Incarnation()},
		{"version", orDash(s.Version())},
		{"started", formatAge(s.TakenAt(), s.StartedAt())},
		{"open requests", strconv.Itoa(s.OpenRequests())},
		{"cold servers", quorumLeaseText(s)},
		{"platform", platformText(s)},
		{"entry list", "version " + strconv.FormatInt(s.ListVersion(), 10)},
	})
	fmt.Fprintln(p.out)
	p.printEntries(s)
	fmt.Fprintln(p.out)
	p.printDomains(s)
	return nil
}

func stateText(s operator.Status, unhealthy string) string {
	switch {
	case unhealthy != "":
		return "unhealthy: " + unhealthy
	case !s.Ready():
		return "gets no callers: " + s.NotReadyReason()
	default:
		return "ready"
	}
}

func quorumLeaseText(s operator.Status) string {
	if s.HasQuorumLease() {
		return "get work from this entry"
	}
	return "get no work: this entry can't be sure to be their only keeper"
}

func platformText(s operator.Status) string {
	text := "read " + formatAge(s.TakenAt(), s.PlatformReadAt())
	if s.WatchesPlatform() {
		return text + ", watched by this entry"
	}
	return text + ", watched by other entries"
}

func (p *program) printEntries(s operator.Status) {
	rows := [][]string{{"ENTRY", "FAILURE DOMAIN", "PUBLISHED", "HEARD", "REQUESTS", "LIST", "NOTES"}}
	for _, e := range s.Entries() {
		rows = append(rows, []string{
			e.ID(), e.Domain(), string(e.State()), formatAge(s.TakenAt(), e.LastHeard()),
			strconv.Itoa(e.OpenRequests()), strconv.FormatInt(e.ListVersion(), 10), notesText(e),
		})
	}
	p.printTable(rows)
}

func notesText(e operator.Entry) string {
	var notes []string
	if e.Silent() {
		notes = append(notes, "silent")
	}
	if e.Draining() {
		notes = append(notes, "draining")
	}
	return orDash(strings.Join(notes, ", "))
}

func (p *program) printDomains(s operator.Status) {
	rows := [][]string{{"FAILURE DOMAIN", "STATE"}}
	for _, d := range s.Domains() {
		rows = append(rows, []string{d.Name(), string(d.State())})
	}
	p.printTable(rows)
}
