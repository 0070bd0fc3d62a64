package caller

import "sync"

// memory counts the bytes of the bodies that open requests hold, together and
// of each account; its zero value holds none.
type memory struct {
	mu       sync.Mutex
	held     int64
	accounts map[string]int64
}

// reserve takes bytes for the account and reports whether the limits allow it.
func (m *memory) reserve(account string, bytes int64, limits Limits) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held+bytes > limits.MaxBodyMemory() || m.accounts[account]+bytes > limits.MaxAccountBodyMemory() {
		return false
	}
	if m.accounts == nil {
		m.accounts = make(map[string]int64)
	}
	m.held += bytes
	m.accounts[account] += bytes
	return true
}

// release gives reserved bytes back.
func (m *memory) release(account string, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= bytes
	m.accounts[account] -= bytes
	if m.accounts[account] == 0 {
		delete(m.accounts, account)
	}
}

// total returns the bytes held.
func (m *memory) total() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}
