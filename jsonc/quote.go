package jsonc

import (
	"strconv"
	"strings"
)

// maxQuoteBytes is the length of the longest text that a problem quotes in full, in bytes.
const maxQuoteBytes = 80

// Quote returns the text in quotes for use in a problem, truncated if it is long.
func Quote(text string) string { return strconv.Quote(truncate(text)) }

func truncate(text string) string {
	if len(text) <= maxQuoteBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuoteBytes], "") + "..."
}
