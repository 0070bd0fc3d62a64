package flagtest

import (
	"flag"
	"testing"
)

// SetDefault sets a flag until the test ends, unless the command line sets it.
func SetDefault(t testing.TB, name, value string) {
	t.Helper()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	f := flag.Lookup(name)
	if f == nil {
		t.Fatalf("flag %s is not defined", name)
	}
	// flag.Set would mark the flag as set on the command line, so that a later
	// SetDefault would leave it unchanged.
	old := f.Value.String()
	if err := f.Value.Set(value); err != nil {
		t.Fatalf("setting flag %s: %v", name, err)
	}
	t.Cleanup(func() {
		if err := f.Value.Set(old); err != nil {
			t.Errorf("resetting flag %s: %v", name, err)
		}
	})
}
