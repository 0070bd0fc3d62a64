package flagtest

import (
	"flag"
	"testing"
)

// SetDefault sets a flag that the command line did not give, until the test ends.
func SetDefault(t testing.TB, name, value string) {
	t.Helper()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	f := flag.Lookup(name)
	if f == nil {
		t.Fatalf("no flag %s", name)
	}
	// The value is set behind the flag set's back, so that the flag does not
	// count as given.
	old := f.Value.String()
	if err := f.Value.Set(value); err != nil {
		t.Fatalf("flag %s: %v", name, err)
	}
	t.Cleanup(func() {
		if err := f.Value.Set(old); err != nil {
			t.Errorf("flag %s: %v", name, err)
		}
	})
}
