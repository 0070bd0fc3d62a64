package caller

import "sync"

// bodyMemory counts the bytes reserved for the bodies of open requests, in
// total and per account. The zero value has nothing reserved.
type bodyMemory struct {
	mu       sync.Mutex
	reserved int64
	accounts map[string]int64
}

// reserve reserves bytes for the account and reports whether the limits allow
// it.
func (m *bodyMemory) reserve(account string, bytes int64, limits Limits) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reserved+bytes > limits.MaxBodyMemory() || m.accounts[account]+bytes > limits.MaxAccountBodyMemory() {
		return false
	}
	if m.accounts == nil {
		m.accounts = make(map[string]int64)
	}
	m.reserved += bytes
	m.accounts[account] += bytes
	return true
}

// release returns reserved bytes.
func (m *bodyMemory) release(account string, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved -= bytes
	m.accounts[account] -= bytes
	if m.accounts[account] == 0 {
		delete(m.accounts, account)
	}
}

// total returns the number of bytes reserved.
func (m *bodyMemory) total() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reserved
}
