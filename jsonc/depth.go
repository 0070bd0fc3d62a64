package jsonc

import "bytes"

// findTooDeep returns the offset at which the text first exceeds maxDepth. The
// parser recurses once per level, so a malicious text could otherwise exhaust
// its stack.
func findTooDeep(text []byte) (offset int, found bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		}
		if depth > maxDepth {
			return i, true
		}
	}
	return 0, false
}

// endOfString returns the offset of the quote that closes the string opened at start.
func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// endOfComment returns the offset of the last byte of the comment that starts
// at start, or start if none does.
func endOfComment(text []byte, start int) int {
	rest := text[start:]
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		return endAfter(text, start+2, "\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		return endAfter(text, start+2, "*/")
	default:
		return start
	}
}

func endAfter(text []byte, from int, terminator string) int {
	length := bytes.Index(text[from:], []byte(terminator))
	if length < 0 {
		return len(text)
	}
	return from + length + len(terminator) - 1
}
