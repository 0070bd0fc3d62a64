package mesh

import (
	"maps"
	"sync"
)

// Traffic counts the bytes of calls and responses by the kind of call, without the
// few bytes of framing. Its zero value is ready to use.
type Traffic struct {
	mu       sync.Mutex
	sent     map[string]int64
	received map[string]int64
}

// Sent returns the bytes sent so far by kind.
func (t *Traffic) Sent() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.sent)
}

// Received returns the bytes received so far by kind.
func (t *Traffic) Received() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.received)
}

// count adds the bytes of a call and its response.
func (t *Traffic) count(kind string, sent, received int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == nil {
		t.sent, t.received = make(map[string]int64), make(map[string]int64)
	}
	t.sent[kind] += int64(sent)
	t.received[kind] += int64(received)
}
