package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/routing"
)

// Pattern: the demand of three failure domains varies by 1:3, with a third of a period between
// their peaks, at 0.85 of what the plain servers can take together. Guards against a domain
// whose calls wait for its own server while those of the others have room.
func TestWavesOfDemandBetweenDomains(t *testing.T) {
	c := qt.New(t)
	const took, period = 40 * time.Millisecond, 3 * time.Second
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		f := newFleet(0, 0)
		var servers []routing.Server
		for i := range 3 {
			servers = append(servers, routing.NewServer(fmt.Sprint("p", i), "desk", fmt.Sprintf("10.0.1.%d:1", i), fmt.Sprint(i), 6))
		}
		f.publish(servers...)
		var asked, served [3]float64
		ends := make(map[string]time.Time)
		domains := make(map[string]int)
		start := f.now
		grant := func(decision Decision) {
			if granted, ok := decision.(Granted); ok {
				id := granted.Grant().ID()
				ends[id] = f.now.Add(took)
				served[domains[id]]++
			}
		}
		for step := 0; f.now.Sub(start) < 2*period; step++ {
			f.now = f.now.Add(time.Millisecond)
			for id, end := range ends {
				if !f.now.Before(end) {
					f.scheduler.Ended(f.now, id, OutcomeComplete)
					delete(ends, id)
				}
			}
			for domain := range 3 {
				phase := 2 * math.Pi * (float64(f.now.Sub(start))/float64(period) + float64(domain)/3)
				if rate := 0.85 * 450 / 3 * (1 + 0.5*math.Sin(phase)); random.Float64() < rate/1000 {
					id := fmt.Sprint(seed, "/", step, "/", domain)
					domains[id] = domain
					asked[domain]++
					grant(f.scheduler.Submit(f.now, f.owner, f.plainRequest(id).WithDomain(fmt.Sprint(domain))))
				}
			}
			if step%25 == 0 {
				for _, decision := range f.scheduler.Tick(f.now) {
					grant(decision)
				}
			}
		}
		shares := []float64{served[0] / asked[0], served[1] / asked[1], served[2] / asked[2]}
		mean := (shares[0] + shares[1] + shares[2]) / 3
		c.Assert(slices.Min(shares) >= 0.95*mean && mean > 0.95, qt.IsTrue, qt.Commentf("seed %d: %.3f", seed, shares))
	}
}
