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
		Short: "Show the active configuration of an entry",
		Long: `Show the published items that are active at an entry, with version, activation
time and source, and those that were refused. A key is for example
service/strip-model; without keys all items are shown.

Exit status 1 if a newer version was refused or a key has no active version.`,
		Example: `  greengagedock config
  greengagedock config service/strip-model --json`,
		ValidArgsFunction: cobra.NoFileCompletions,
		PreRunE:           p.checkAddress,
		RunE: func(command *cobra.Command, keys []string) error {
			config, err := p.client().Config(command.Context())
			if err != nil {
				return err
			}
			missing := missingKeys(config, keys)
			config = filterConfig(config, keys)
			if err := p.printConfig(config, missing); err != nil {
				return err
			}
			if len(config.Refused()) > 0 || len(missing) > 0 {
				return errNegative
			}
			return nil
		},
	}
}

// filterConfig returns the items of the configuration with the given keys, or all items for no keys.
func filterConfig(config operator.Config, keys []string) operator.Config {
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

// missingKeys returns the keys that have no active version.
func missingKeys(config operator.Config, keys []string) []string {
	active := make(map[string]bool)
	for _, item := range config.Items() {
		active[item.Key()] = true
	}
	var out []string
	for _, key := range keys {
		if !active[key] {
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
