package brokentest

import "fmt"

// InvalidStatuses returns answers by what their status, or the version before it, is, with the
// given lines in the head, also before an answer that looks sound.
func InvalidStatuses(lines string) map[string]string {
	lookalike := lines + "Content-Length: 6\r\n\r\nbroken"
	out := make(map[string]string)
	for _, version := range []string{"0.9", "2.0"} {
		out["version "+version] = "HTTP/" + version + " 200 OK\r\n" + lookalike
	}
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		out[status] = "HTTP/1.1 " + status + " X\r\n" + lookalike
		out[status+" before a lookalike"] = "HTTP/1.1 " + status + " X\r\n\r\nHTTP/1.1 200 OK\r\n" + lookalike
	}
	return out
}

// EncodingsOfHTTP10 returns answers of HTTP/1.0, which has no transfer encodings, that state one,
// with the given lines in the head.
func EncodingsOfHTTP10(lines string) map[string]string {
	head := "HTTP/1.0 200 OK\r\n" + lines
	return map[string]string{
		"chunked":          head + "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
		"chunked, length":  head + "Transfer-Encoding: chunked\r\nContent-Length: 16\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
		"length, encoding": head + "Content-Length: 6\r\ntransfer-encoding: identity\r\n\r\nbroken",
	}
}

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
