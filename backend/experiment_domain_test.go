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
	// domainLoad is nine tenths of the capacity of two of three failure
	// domains.
	domainLoad = 0.6
	// domainLag is the time from the operators' change until every entry has
	// learned of it.
	domainLag   = time.Second
	domainOut   = 60 * time.Second
	domainBack  = 120 * time.Second
	domainUntil = 180 * time.Second
	domainSlice = 10 * time.Second
)

// closeDomain closes or opens the engines of the first of three failure domains.
func (k *keeperSender) closeDomain(closed bool) {
	for i, e := range k.engines[:*fleetEngines/3] {
		k.allocators[i%fleetEntries].SetClosed(e.id, closed)
	}
}

// firstDomainRequests returns the number of requests in the first failure
// domain.
func (f *fleet) firstDomainRequests() int {
	sum := 0
	for _, e := range f.engines[:*fleetEngines/3] {
		sum += e.load().requests
	}
	return sum
}

// TestExperimentDomain prints what callers observe while a failure domain is
// taken out of service and returns; it needs -v.
func TestExperimentDomain(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table, run it with -v")
	}
	f := newFleet(*experimentSeed, true, 0, experimentWarmUp+domainUntil)
	k := newKeeperSender(f)
	requests := map[int]int{}
	f.every(domainSlice, func() { requests[int(f.Now()/domainSlice)] = f.firstDomainRequests() })
	f.AfterFunc(experimentWarmUp+domainOut+domainLag, func() { k.closeDomain(true) })
	f.AfterFunc(experimentWarmUp+domainBack+domainLag, func() { k.closeDomain(false) })
	f.traffic(domainLoad, allPrompts, k)
	f.RunUntil(f.until + 5*time.Minute)
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "arrived\tfirst p95: short\tmedium\tlong\tlate\tbusy\trequests in the domain")
	for from := experimentWarmUp; from < f.until; from += domainSlice {
		f.printSlice(w, from, requests[int(from/domainSlice)])
	}
	w.Flush()
	t.Logf("seed %d, load %.1fx, domain out at 60s, back at 120s\n%s", *experimentSeed, domainLoad, text.String())
	qt.Assert(t, f.overloads, qt.Equals, 0)
}

func (f *fleet) printSlice(w *tabwriter.Writer, from time.Duration, requests int) {
	slice := *f
	slice.from = from
	slice.jobs = slices.DeleteFunc(slices.Clone(f.jobs), func(j *job) bool { return j.arrived >= from+domainSlice })
	r := slice.result()
	fmt.Fprintf(w, "%v", from-experimentWarmUp)
	for _, class := range r.timeToFirstToken {
		fmt.Fprintf(w, "\t%v", percentile95(class))
	}
	fmt.Fprintf(w, "\t%v\t%v\t%d\n", r.late, r.busy, requests)
}
