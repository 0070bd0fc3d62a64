//go:build ignore

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	start time.Time

	mu    sync.Mutex
	file  *os.File
	inUse map[string]bool
	hang  bool // the runner that gets the next request hangs
	// brief is set while single runs are not recorded, but their number.
	brief bool
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{start: time.Now(), file: file, inUse: make(map[string]bool)}, err
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// say writes a line to the record and to the output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// use records that a request that runs uses a ticket.
func (r *record) use(ticket string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inUse[ticket] = true
}

func (r *record) used(ticket string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inUse[ticket]
}

// hangNext has the runner that gets the next request give no answer to it.
func (r *record) hangNext() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hang = true
}

// hangs reports, once, whether the request is the one that gets no answer.
func (r *record) hangs() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	hang := r.hang
	r.hang = false
	return hang
}

// ran records a run.
func (r *record) ran(runner, id string) {
	r.mu.Lock()
	brief := r.brief
	r.mu.Unlock()
	if !brief {
		r.line("%s runs %s", runner, id)
	}
}

// setBrief sets whether single runs are not recorded.
func (r *record) setBrief(brief bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brief = brief
}
