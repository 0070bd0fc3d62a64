package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"greengagedock.example/timer"
)

// flappingWays are ways to servers of which some lose packets, in virtual time.
type flappingWays struct {
	servers []string
	// loss returns the share of packets lost on the direct way to a server at a time.
	loss func(server string, now time.Time) float64
	// oneWay has only packets from servers be lost.
	oneWay bool

	mu     sync.Mutex
	random *rand.Rand
	paths  *Paths
	// changes and dials count what Paths did, dials to the first server while it is lost.
	changes, dials int
}

// delay returns after how long a packet to or from a server arrives, which is retransmitted
// after 200 ms, 400 ms and so on.
func (w *flappingWays) delay(server string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 5 * time.Millisecond
	for retransmission := 200 * time.Millisecond; total < 10*time.Second; retransmission *= 2 {
		if w.random.Float64() >= w.loss(server, time.Now().Add(total)) {
			break
		}
		total += retransmission
	}
	return total
}

// Dial implements upstream.Network: a lost opening packet fails the dial.
func (w *flappingWays) Dial(_ context.Context, server string) (net.Conn, error) {
	lost := w.paths.isLost(server)
	w.mu.Lock()
	share := w.loss(server, time.Now())
	out, back := w.random.Float64(), w.random.Float64()
	failed := min(out, back) < share
	if server == w.servers[0] && lost {
		w.dials++
	}
	w.mu.Unlock()
	if failed {
		time.Sleep(500 * time.Millisecond)
		return nil, os.ErrDeadlineExceeded
	}
	return &flappingConn{ways: w, server: server, closed: make(chan struct{})}, nil
}

// Doubt implements upstream.Network.
func (w *flappingWays) Doubt(string) {}

// Lost implements upstream.Network.
func (w *flappingWays) Lost(string) bool { return false }

// Servers implements Ways.
func (w *flappingWays) Servers() []string { return w.servers }

// Relays implements Ways.
func (w *flappingWays) Relays() []string { return []string{"e2", "e3"} }

// Open implements Ways.
func (w *flappingWays) Open(context.Context, string, string) (net.Conn, error) {
	return &flappingConn{closed: make(chan struct{})}, nil
}

// Changed implements Ways.
func (w *flappingWays) Changed(bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes++
}

// flappingConn is a connection to a server, which responds once, through another entry if it
// has no ways.
type flappingConn struct {
	net.Conn
	ways   *flappingWays
	server string
	closed chan struct{}
	once   sync.Once
}

func (c *flappingConn) RemoteAddr() net.Addr        { return &net.TCPAddr{} }
func (c *flappingConn) Write(b []byte) (int, error) { return len(b), nil }
func (c *flappingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (c *flappingConn) Read(b []byte) (int, error) {
	wait := 10 * time.Millisecond
	if c.ways != nil {
		wait = c.ways.delay(c.server)
		if !c.ways.oneWay {
			wait += c.ways.delay(c.server)
		}
	}
	select {
	case <-time.After(wait):
		return 1, nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// pressFlapping has requests sent for a minute to a server on a way that loses packets.
func pressFlapping(t *testing.T, seed uint64, oneWay bool, loss func(now time.Duration) float64) (w *flappingWays) {
	synctest.Test(t, func(*testing.T) {
		start := time.Now()
		w = &flappingWays{random: rand.New(rand.NewPCG(seed, 0)), oneWay: oneWay}
		for i := range 6 {
			w.servers = append(w.servers, fmt.Sprint("s", i))
		}
		w.loss = func(server string, now time.Time) float64 {
			if server != w.servers[0] {
				return 0
			}
			return loss(now.Sub(start))
		}
		paths := NewPaths(w, w, &timer.Service{}, hclog.NewNullLogger())
		w.paths = paths
		paths.SetProbe("/healthz")
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var running sync.WaitGroup
		running.Go(func() { paths.Probe(ctx) })
		for ctx.Err() == nil {
			for _, server := range w.servers {
				running.Go(func() {
					if paths.isLost(server) {
						return
					}
					asked := time.Now()
					if err := paths.ask(ctx, func(ctx context.Context) (net.Conn, error) { return paths.DialDirect(ctx, server) }); err != nil || time.Since(asked) > 500*time.Millisecond {
						paths.Doubt(server)
					} else {
						paths.answered(server)
					}
				})
			}
			time.Sleep(50 * time.Millisecond)
		}
		running.Wait()
		time.Sleep(2 * checkTimeout) // the last checks end
	})
	return w
}

// Guards against flapping: each loss and each return of a way ends connections, and a way that
// comes and goes each second, or that loses packets, would have both each second. Nor may its
// probes press the server.
func TestUnstableWayDoesNotFlap(t *testing.T) {
	unstable := map[string]func(now time.Duration) float64{
		"comes and goes": func(now time.Duration) float64 { return float64(now / time.Second % 2) },
		"one way":        func(now time.Duration) float64 { return 1 },
		"5 in 100":       func(time.Duration) float64 { return 0.05 },
		"15 in 100":      func(time.Duration) float64 { return 0.15 },
		"30 in 100":      func(time.Duration) float64 { return 0.3 },
	}
	for name, loss := range unstable {
		t.Run(name, func(t *testing.T) {
			most, dials := 0, 0
			for seed := range uint64(20) {
				w := pressFlapping(t, seed, name == "one way", loss)
				most, dials = max(most, w.changes), max(dials, w.dials)
			}
			t.Logf("at most %d changes and %d probes in a minute", most, dials)
			qt.Check(t, most <= 2*(1+maxHoldDoublings), qt.IsTrue, qt.Commentf("%d changes in a minute", most))
			qt.Check(t, dials <= 2*60+2, qt.IsTrue, qt.Commentf("%d probes in a minute", dials))
		})
	}
}
