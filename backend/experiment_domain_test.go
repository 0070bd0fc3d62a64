package backend

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// domainLoad is nine tenths of what two of three failure domains bear.
	domainLoad = 0.6
	// domainLag is the time from the operators' change until every entry knows it.
	domainLag   = time.Second
	domainOut   = 60 * time.Second
	domainBack  = 120 * time.Second
	domainUntil = 180 * time.Second
	domainSlice = 10 * time.Second
)

// closeDomain closes or opens the engines of the first of three failure domains.
func (k *kept) closeDomain(closed bool) {
	for i, e := range k.engines[:*fleetEngines/3] {
		k.ledgers[i%fleetEntries].SetClosed(e.id, closed)
	}
}

// busyIn returns the number of requests in the first failure domain.
func (f *fleet) busyIn() int {
	sum := 0
	for _, e := range f.engines[:*fleetEngines/3] {
		sum += e.load().requests
	}
	return sum
}

// TestExperimentDomain prints what callers see while a failure domain leaves
// and returns; it needs -v.
func TestExperimentDomain(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table, run it with -v")
	}
	f := newFleet(*experimentSeed, true, 0, experimentWarmUp+domainUntil)
	k := newKept(f)
	busy := map[int]int{}
	f.every(domainSlice, func() { busy[int(f.Now()/domainSlice)] = f.busyIn() })
	f.AfterFunc(experimentWarmUp+domainOut+domainLag, func() { k.closeDomain(true) })
	f.AfterFunc(experimentWarmUp+domainBack+domainLag, func() { k.closeDomain(false) })
	f.traffic(domainLoad, allPrompts, k)
	f.RunUntil(f.until + 5*time.Minute)
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "arrived\tfirst p95: short\tmedium\tlong\tlate\tbusy\trequests in the domain")
	for from := experimentWarmUp; from < f.until; from += domainSlice {
		f.printSlice(w, from, busy[int(from/domainSlice)])
	}
	w.Flush()
	t.Logf("seed %d, load %.1fx, domain out at 60s, back at 120s\n%s", *experimentSeed, domainLoad, text.String())
	qt.Assert(t, f.over, qt.Equals, 0)
}

func (f *fleet) printSlice(w *tabwriter.Writer, from time.Duration, busy int) {
	slice := *f
	slice.from = from
	slice.jobs = slices.DeleteFunc(slices.Clone(f.jobs), func(j *job) bool { return j.arrived >= from+domainSlice })
	r := slice.result()
	fmt.Fprintf(w, "%v", from-experimentWarmUp)
	for _, class := range r.first {
		fmt.Fprintf(w, "\t%v", percentile(class))
	}
	fmt.Fprintf(w, "\t%v\t%v\t%d\n", r.late, r.busy, busy)
}
