package caller

import "sync/atomic"

// answerMemory counts the bytes reserved for the bodies of responses that are being read. The
// zero value has nothing reserved.
type answerMemory struct{ reserved atomic.Int64 }

// reserve reserves bytes and reports whether the limits allow it.
func (m *answerMemory) reserve(bytes int64, limits Limits) bool {
	if m.reserved.Add(bytes) > limits.MaxBodyMemory() {
		m.reserved.Add(-bytes)
		return false
	}
	return true
}

// release returns reserved bytes.
func (m *answerMemory) release(bytes int64) { m.reserved.Add(-bytes) }
