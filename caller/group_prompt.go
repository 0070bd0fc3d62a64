package caller

import (
	"strings"
	"unicode/utf8"

	"greengagedock.example/backend"
)

// promptPart is the range of a request's body that holds one part of the
// prompt's JSON text.
type promptPart struct {
	from int
	to   int
}

// splitPrompt splits the prompt in a completion's body into one part per cost,
// each at most the cost's prompt tokens long. Escape sequences and characters
// are never split. It returns nil if the parts cannot hold the prompt or the
// prompt is not a single string.
func splitPrompt(body []byte, costs []backend.Cost) []promptPart {
	start, end := promptBounds(body)
	if start == end {
		return nil
	}
	var parts []promptPart
	for _, cost := range costs {
		to := start
		limit := min(start+cost.Prompt()*bytesPerToken, end)
		for to < end {
			next := to + characterBytes(body[to:end])
			if next > limit {
				break
			}
			to = next
		}
		parts = append(parts, promptPart{from: start, to: to})
		start = to
	}
	if start < end {
		return nil
	}
	return parts
}

// promptBounds returns where the text of the prompt begins and ends in the
// body, without its quotes.
func promptBounds(body []byte) (start, end int) {
	backend.Fields(body, func(name, value []byte) error {
		if string(name) == "prompt" {
			start = cap(body) - cap(value) + len(`"`)
			end = start + len(value) - len(`""`)
		}
		return nil
	})
	return start, end
}

// The lengths of escape sequences in JSON text, in bytes.
const (
	shortEscapeBytes   = len(`\n`)
	unicodeEscapeBytes = len(`\u0000`)
)

// characterBytes returns the length of the first character or escape sequence
// of JSON text. The two escape sequences of a surrogate pair count as one
// character.
func characterBytes(text []byte) int {
	if text[0] == '\\' {
		return escapeBytes(text)
	}
	if text[0] < utf8.RuneSelf {
		return 1
	}
	_, size := utf8.DecodeRune(text)
	return size
}

func escapeBytes(text []byte) int {
	if len(text) < unicodeEscapeBytes || text[1] != 'u' {
		return min(shortEscapeBytes, len(text))
	}
	rest := text[unicodeEscapeBytes:]
	if isSurrogate(text, "89abAB") && isSurrogate(rest, "cdefCDEF") {
		return 2 * unicodeEscapeBytes
	}
	return unicodeEscapeBytes
}

// isSurrogate reports whether JSON text begins with the escape sequence of a
// surrogate whose second digit is in the given set.
func isSurrogate(text []byte, second string) bool {
	if len(text) < unicodeEscapeBytes || text[0] != '\\' || text[1] != 'u' {
		return false
	}
	return (text[2] == 'd' || text[2] == 'D') && strings.IndexByte(second, text[3]) >= 0
}

// partBody returns the request's body with the prompt reduced to one part.
func partBody(body []byte, part promptPart) []byte {
	start, end := promptBounds(body)
	result := make([]byte, 0, start+part.to-part.from+len(body)-end)
	result = append(result, body[:start]...)
	result = append(result, body[part.from:part.to]...)
	return append(result, body[end:]...)
}
