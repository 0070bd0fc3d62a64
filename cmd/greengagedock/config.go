package main

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"greengagedock.example/operator"
)

func (p *program) config() *cobra.Command {
	return &cobra.Command{
		Use:   "config [KEY...]",
		Short: "Show what is in force, since when and from whom",
		Long: `Show the published items in force at an entry, with version, since when and who
brought them, and those that were refused. A key is one such as
service/strip-model; none means all.

Exit status 1 if a newer version was refused or a key has no version in force.`,
		Example: `  greengagedock config
  greengagedock config service/strip-model --json`,
		ValidArgsFunction: cobra.NoFileCompletions,
		PreRunE:           p.checkAddress,
		RunE: func(command *cobra.Command, keys []string) error {
			config, err := p.client().Config(command.Context())
			if err != nil {
				return err
			}
			missing := absent(config, keys)
			config = only(config, keys)
			if err := p.printConfig(config, missing); err != nil {
				return err
			}
			if len(config.Refused()) > 0 || len(missing) > 0 {
				return errNo
			}
			return nil
		},
	}
}

// only returns the part of the configuration that has the keys, all of it for no keys.
func only(config operator.Config, keys []string) operator.Config {
	if len(keys) == 0 {
		return config
	}
	wanted := make(map[string]bool)
	for _, key := range keys {
		wanted[key] = true
	}
	var items []operator.Item
	for _, item := range config.Items() {
		if wanted[item.Key()] {
			items = append(items, item)
		}
	}
	var refused []operator.RefusedItem
	for _, item := range config.Refused() {
		if wanted[item.Key()] {
			refused = append(refused, item)
		}
	}
	return operator.NewConfig(items, refused)
}

// absent returns the keys that have no version in force.
func absent(config operator.Config, keys []string) []string {
	inForce := make(map[string]bool)
	for _, item := range config.Items() {
		inForce[item.Key()] = true
	}
	var out []string
	for _, key := range keys {
		if !inForce[key] {
			out = append(out, key)
		}
	}
	return out
}

func (p *program) printConfig(config operator.Config, missing []string) error {
	if p.json {
		return p.printJSON(config)
	}
	rows := [][]string{{"KEY", "VERSION", "SINCE", "FROM"}}
	for _, i := range config.Items() {
		rows = append(rows, []string{i.Key(), strconv.FormatInt(i.Version(), 10), formatTime(i.Since()), i.Source()})
	}
	p.printTable(rows)
	for _, r := range config.Refused() {
		fmt.Fprintf(p.out, "refused: %s version %d since %s: %s\n", r.Key(), r.Version(), formatTime(r.Since()), r.Reason())
	}
	for _, key := range missing {
		fmt.Fprintf(p.out, "not in force: %s\n", key)
	}
	return nil
}
