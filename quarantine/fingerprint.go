package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies requests that are the same to a server: those of one account
// with the same method, host, target, prompt and body. Its zero value identifies none.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request; account is empty for a request
// without one, and prompt unless the prompt is stated beside the body. It is a cryptographic hash, so that no caller can make a request that is
// taken for another one's.
func NewFingerprint(account, method, host, target, prompt string, body []byte) Fingerprint {
	var preamble []byte
	for _, field := range []string{account, method, host, target, prompt} {
		preamble = binary.AppendUvarint(preamble, uint64(len(field)))
		preamble = append(preamble, field...)
	}
	hash := sha256.New()
	hash.Write(preamble)
	hash.Write(body)
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal, shortened for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:8]) }
