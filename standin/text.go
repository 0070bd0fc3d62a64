package standin

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// tokenBytes is the length of a prompt token, in bytes.
const tokenBytes = 4

// blockTokens is the length of the blocks in which prompts are cached, in tokens.
const blockTokens = 512

// The first token of an answer has sumDigits hex digits and the others have
// tokenDigits, each followed by a space.
const (
	hexDigits   = "0123456789abcdef"
	sumDigits   = 16
	tokenDigits = 7
)

// PromptSum is the first eight bytes of the SHA-256 hash of a prompt or body; it determines the answer.
type PromptSum uint64

// Sum returns the hash of a prompt or body.
func Sum(prompt string) PromptSum {
	hash := sha256.Sum256([]byte(prompt))
	return PromptSum(binary.BigEndian.Uint64(hash[:]))
}

// String returns the hash as 16 hex digits.
func (s PromptSum) String() string { return fmt.Sprintf("%016x", uint64(s)) }

// Token returns the answer's token at index; the first one is the hash itself.
func (s PromptSum) Token(index int) string { return string(s.appendToken(nil, index)) }

func (s PromptSum) appendToken(buf []byte, index int) []byte {
	bits, digits := uint64(s), sumDigits
	if index > 0 {
		bits, digits = mix(uint64(s)+uint64(index)), tokenDigits
	}
	for range digits {
		buf = append(buf, hexDigits[bits>>60])
		bits <<= 4
	}
	return append(buf, ' ')
}

// Answer returns the answer with the given number of tokens.
func (s PromptSum) Answer(tokens int) string {
	var text []byte
	for i := range tokens {
		text = s.appendToken(text, i)
	}
	return string(text)
}

// mix is the finalizer of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// PromptTokens returns a prompt's length in tokens.
func PromptTokens(prompt string) int { return (len(prompt) + tokenBytes - 1) / tokenBytes }

// prefixSums returns the hash of the prompt up to the end of each full block.
func prefixSums(prompt string) []PromptSum {
	const size = blockTokens * tokenBytes
	hash := sha256.New()
	var sums []PromptSum
	var out [sha256.Size]byte
	for len(prompt) >= size {
		hash.Write([]byte(prompt[:size]))
		sums = append(sums, PromptSum(binary.BigEndian.Uint64(hash.Sum(out[:0]))))
		prompt = prompt[size:]
	}
	return sums
}
