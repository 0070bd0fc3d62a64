package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"greengagedock.example/backend"
)

// columnPadding is the number of spaces between two columns.
const columnPadding = 2

// printJSON prints a value as indented JSON.
func (p *program) printJSON(value any) error {
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable prints rows in aligned columns.
func (p *program) printTable(rows [][]string) {
	table := tabwriter.NewWriter(p.out, 0, 0, columnPadding, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	table.Flush()
}

// formatTime returns a time in UTC, or a dash for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}

// formatAge returns the time from t to now, or "never" for the zero time.
func formatAge(now, t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return now.Sub(t).Round(time.Millisecond).String() + " ago"
}

// formatLoad returns the requests and tokens of a load, each with its limit.
func formatLoad(load, limit backend.Load) (requests, tokens string) {
	requests = fmt.Sprintf("%d/%d", load.Requests(), limit.Requests())
	tokens = fmt.Sprintf("%d/%d", load.Tokens(), limit.Tokens())
	return requests, tokens
}

// orDash returns a dash for an empty text.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
