package main

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The directory for plots is created before the experiment runs; one that can't be
// created is reported at once.
func TestExperimentCreatesPlotDirectory(t *testing.T) {
	c := qt.New(t)
	load := filepath.Join("..", "..", "deploy", "loads", "vinetas.jsonc")
	directory := filepath.Join(t.TempDir(), "new", "plots")
	run := func(directory string) error {
		cmd := newExperimentCommand()
		cmd.SetOut(io.Discard)
		cmd.SetErr(io.Discard)
		cmd.SetArgs([]string{load, "--only", "medium", "--plots", directory})
		return cmd.Execute()
	}
	c.Assert(run(directory), qt.IsNil)
	plots, err := os.ReadDir(directory)
	c.Assert(err, qt.IsNil)
	c.Assert(plots, qt.HasLen, 1)
	file := filepath.Join(directory, plots[0].Name())
	c.Assert(run(file), qt.ErrorMatches, "--plots: .*")
}
