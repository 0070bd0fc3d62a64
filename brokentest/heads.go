package brokentest

import "fmt"

// InvalidFields returns answers by what is wrong with a field in their head, which also has the
// given lines.
func InvalidFields(lines string) map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + lines
	const withLength = "Content-Length: 6\r\n\r\nbroken"
	return map[string]string{
		"length before blank":      head + "Content-Length : 6\r\n\r\nbroken and more",
		"encoding before blank":    head + "Transfer-Encoding : chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
		"both, one before blank":   head + "Transfer-Encoding : chunked\r\nContent-Length: 16\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
		"blank within":             head + "X Y: 1\r\n" + withLength,
		"blank first":              "HTTP/1.1 200 OK\r\n X: 1\r\n" + lines + withLength,
		"length continues a line":  head + "X: 1\r\n Content-Length: 6\r\n\r\nbroken and more",
		"continuation after a tab": head + "X: 1\r\n\tContent-Length: 6\r\n\r\nbroken and more",
		"tab within":               head + "X\tY: 1\r\n" + withLength,
		"NUL within":               head + "X\x00Y: 1\r\n" + withLength,
		"control byte first":       head + "\x01X: 1\r\n" + withLength,
		"DEL last":                 head + "X\x7f: 1\r\n" + withLength,
		"CR within":                head + "X\rContent-Length: 6\r\n" + withLength,
		"byte beyond ASCII":        head + "X\xe9: 1\r\n" + withLength,
		"empty":                    head + ": 1\r\n" + withLength,
		"no colon":                 head + "X\r\n" + withLength,
		"interim":                  "HTTP/1.1 103 X\r\nX Y: 1\r\n\r\n" + head + withLength,
	}
}

// CutHeads returns answers by where they end within their head, which has the given lines: within
// each part of a line, and of the end of the head.
func CutHeads(lines string) map[string]string {
	const first, second = "HTTP/1.1 200 OK\r\n", "Content-Length: 16\r\n"
	out := make(map[string]string)
	for _, part := range []string{"", "HTTP", "HTTP/1.1", "HTTP/1.1 20", "HTTP/1.1 200", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r", first} {
		out[fmt.Sprintf("%q", part)] = part
	}
	for _, part := range []string{"", "Content", "Content-Length", "Content-Length:", "Content-Length: 1", "Content-Length: 16", "Content-Length: 16\r"} {
		out[fmt.Sprintf("lines, %q", part)] = first + lines + part
	}
	for name, head := range map[string]string{
		"length":   first + lines + second,
		"encoding": first + lines + "Transfer-Encoding: chunked\r\n",
		"interim":  "HTTP/1.1 103 X\r\n" + lines,
	} {
		out[name] = head
		out[name+" and CR"] = head + "\r"
	}
	out["whole interim"] = "HTTP/1.1 103 X\r\n" + lines + "\r\n"
	return out
}
