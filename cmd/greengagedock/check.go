package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"greengagedock.example/jsonc"
	"greengagedock.example/operator"
	"greengagedock.example/registry"
)

// stdinName is the file name that stands for standard input.
const stdinName = "-"

func (p *program) check() *cobra.Command {
	var kind string
	var compare bool
	command := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings and service documents",
		Long: `Check settings and service documents as the daemon does, and check the given
files against each other. The kind of a file is recognized by its keys unless
--kind gives it; the file name - means standard input. With --in-force the
version of each document must be above the one active at the entry.

Exit status 1 if a file is refused, 2 if one can't be read.`,
		Example: `  greengagedock check strip-model.json licensing.json entry-2.json
  greengagedock check --kind settings entry-1.json
  greengagedock check --in-force - < strip-model.json`,
		Args: cobra.MinimumNArgs(1),
		ValidArgsFunction: func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
			return []string{"json", "hujson"}, cobra.ShellCompDirectiveFilterFileExt
		},
		RunE: func(command *cobra.Command, paths []string) error {
			files, err := p.readFiles(paths, fileKind(kind))
			if err != nil {
				return err
			}
			reportConflicts(files)
			reportLimitMismatches(files)
			if compare {
				err = p.compareActive(command.Context(), files)
			}
			if err != nil {
				return err
			}
			return p.printResults(files)
		},
	}
	command.Flags().StringVar(&kind, "kind", "", "settings or document, by default recognized by the keys")
	command.Flags().BoolVar(&compare, "in-force", false, "compare versions with those active at the entry")
	_ = command.RegisterFlagCompletionFunc("kind", cobra.FixedCompletions(
		[]cobra.Completion{string(kindSettings), string(kindDocument)}, cobra.ShellCompDirectiveNoFileComp))
	return command
}

func (p *program) readFiles(paths []string, kind fileKind) ([]*checkedFile, error) {
	if kind != "" && kind != kindSettings && kind != kindDocument {
		return nil, eris.Errorf("--kind %s: want %s or %s", kind, kindSettings, kindDocument)
	}
	var files []*checkedFile
	for _, path := range paths {
		text, err := p.readFile(path)
		if err != nil {
			return nil, err
		}
		file, err := checkFile(path, text, kind)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	return files, nil
}

func (p *program) readFile(path string) ([]byte, error) {
	if path == stdinName {
		return io.ReadAll(p.in)
	}
	return os.ReadFile(path)
}

// compareActive reports documents whose version is not above the one active at the entry.
func (p *program) compareActive(ctx context.Context, files []*checkedFile) error {
	if err := p.checkAddress(nil, nil); err != nil {
		return err
	}
	config, err := p.client().Config(ctx)
	if err != nil {
		return err
	}
	active := make(map[string]operator.Item)
	for _, item := range config.Items() {
		active[item.Key()] = item
	}
	for _, f := range files {
		if f.document == nil {
			continue
		}
		item, found := active[registry.ServicePrefix+f.document.Service()]
		if found && f.document.Version() <= item.Version() {
			f.report("version", "is %d, want more than %d, active since %s",
				f.document.Version(), item.Version(), formatTime(item.Since()))
		}
	}
	return nil
}

// checkedProblem is a problem in a file; check --json prints it.
type checkedProblem struct {
	Line  int    `json:"line,omitempty"`
	Field string `json:"field,omitempty"`
	Error string `json:"error"`
}

// checkResult is the result of checking a file; check --json prints it.
type checkResult struct {
	File     string           `json:"file"`
	Kind     fileKind         `json:"kind"`
	OK       bool             `json:"fine"`
	Name     string           `json:"name,omitempty"`
	Version  int64            `json:"version,omitempty"`
	Problems []checkedProblem `json:"problems"`
}

func (p *program) printResults(files []*checkedFile) error {
	refused := false
	results := make([]checkResult, 0, len(files))
	for _, f := range files {
		refused = refused || len(f.problems) > 0
		results = append(results, f.result())
		if !p.json {
			p.printFile(f)
		}
	}
	if p.json {
		if err := p.printJSON(results); err != nil {
			return err
		}
	}
	if refused {
		return errNegative
	}
	return nil
}

func (p *program) printFile(f *checkedFile) {
	for _, problem := range f.problems {
		fmt.Fprintln(p.out, problem.text(f.path))
	}
	switch {
	case len(f.problems) > 0:
		fmt.Fprintf(p.out, "%s: refused\n", f.path)
	case f.document != nil:
		fmt.Fprintf(p.out, "%s: service document %s version %d is fine\n", f.path, f.document.Service(), f.document.Version())
	default:
		fmt.Fprintf(p.out, "%s: settings of %s are fine\n", f.path, f.settings.ID())
	}
}

// text returns the problem on one line.
func (c checkedProblem) text(path string) string {
	if c.Line > 0 {
		path += ":" + strconv.Itoa(c.Line)
	}
	if c.Field == "" {
		return path + ": " + c.Error
	}
	return path + ": " + c.Field + ": " + c.Error
}

func checkedProblems(problems jsonc.Problems) []checkedProblem {
	var out []checkedProblem
	for _, problem := range problems {
		out = append(out, checkedProblem{Line: problem.Line(), Field: problem.Field(), Error: problem.Message()})
	}
	return out
}
