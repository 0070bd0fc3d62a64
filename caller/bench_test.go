package caller

import (
	"runtime"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// processTime returns the CPU time used by this process.
func processTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func memoryNow() runtime.MemStats {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}

// BenchmarkStream measures the entry's own CPU time per token; the engine and
// the callers run in another process.
func BenchmarkStream(b *testing.B) {
	loads := []struct {
		name string
		load round
	}{
		{"each_token_alone", round{Streams: 400, Tokens: 200, Prompt: 1000, Pause: 10 * time.Millisecond}},
		{"more_than_a_core_bears", round{Streams: 1000, Tokens: 400, Prompt: 1000, Pause: 10 * time.Millisecond}},
		{"as_fast_as_it_goes", round{Streams: 20, Tokens: 10_000, Prompt: 1000}},
	}
	for _, test := range loads {
		b.Run(test.name, func(b *testing.B) {
			client, e := startLoadProcess(b)
			test.load.URL = e.url
			before := processTime(b)
			for b.Loop() {
				client.run(b, test.load, nil)
			}
			used := processTime(b) - before
			tokens := float64(b.N) * float64(test.load.Streams) * float64(test.load.Tokens)
			b.ReportMetric(tokens/used.Seconds(), "tokens/core-s")
			b.ReportMetric(tokens/b.Elapsed().Seconds(), "tokens/s")
			b.ReportMetric(float64(used.Nanoseconds())/tokens, "cpu-ns/token")
		})
	}
}

// BenchmarkStreamMemory measures the memory that the entry keeps for each open
// stream with a prompt of 1,000 tokens.
func BenchmarkStreamMemory(b *testing.B) {
	client, e := startLoadProcess(b)
	load := round{URL: e.url, Streams: 1000, Tokens: 10, Prompt: 1000, Hold: true}
	for b.Loop() {
		before := memoryNow()
		client.run(b, load, func() {
			after := memoryNow()
			kept := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
			b.ReportMetric(float64(kept)/float64(load.Streams), "kept-B/stream")
		})
	}
}

const (
	millionTokens = 1_000_000
	millionBytes  = millionTokens * bytesPerToken
)

// promptMemory returns the bytes that the entry holds while it serves a prompt
// of a million tokens, and the bytes that it allocates in total.
func promptMemory(t testing.TB, client *loadClient, url string, frames int) (held, allocated uint64) {
	before := memoryNow()
	load := round{URL: url, Streams: 1, Tokens: frames, Prompt: millionTokens, Hold: true}
	client.run(t, load, func() { held = memoryNow().HeapAlloc - before.HeapAlloc })
	var after runtime.MemStats
	runtime.ReadMemStats(&after)
	return held, after.TotalAlloc - before.TotalAlloc
}

// BenchmarkMillionTokenPrompt measures the memory that a prompt of a million
// tokens adds.
func BenchmarkMillionTokenPrompt(b *testing.B) {
	client, e := startLoadProcess(b)
	for b.Loop() {
		held, allocated := promptMemory(b, client, e.url, 1000)
		b.ReportMetric(float64(held)/millionBytes, "held/prompt")
		b.ReportMetric(float64(allocated)/millionBytes, "allocated/prompt")
	}
}

func TestMillionTokenPromptMemory(t *testing.T) {
	c := qt.New(t)
	client, e := startLoadProcess(t)
	for _, frames := range []int{10, 1000} {
		held, allocated := promptMemory(t, client, e.url, frames)
		c.Check(held <= 2*millionBytes, qt.IsTrue, qt.Commentf("held %d bytes", held))
		c.Check(allocated <= 2*millionBytes, qt.IsTrue, qt.Commentf("allocated %d bytes", allocated))
	}
}
