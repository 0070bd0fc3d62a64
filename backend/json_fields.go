package backend

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// ErrJSON is the error for text that is not a JSON object.
var ErrJSON = eris.New("backend: not a JSON object")

// Fields calls visit with the name and raw value of each top-level field of a
// JSON object, in order and without copying. An error from visit stops it and
// is returned.
func Fields(object []byte, visit func(name, value []byte) error) error {
	i := skipSpace(object, 0)
	if i >= len(object) || object[i] != '{' {
		return ErrJSON
	}
	i = skipSpace(object, i+1)
	if i < len(object) && object[i] == '}' {
		return nil
	}
	for {
		nameEnd := skipString(object, i)
		if nameEnd < 0 {
			return ErrJSON
		}
		start := skipSpace(object, nameEnd)
		if start >= len(object) || object[start] != ':' {
			return ErrJSON
		}
		start = skipSpace(object, start+1)
		end := skipValue(object, start)
		if end < 0 {
			return ErrJSON
		}
		if err := visit(object[i+1:nameEnd-1], object[start:end]); err != nil {
			return err
		}
		i = skipSpace(object, end)
		switch {
		case i < len(object) && object[i] == ',':
			i = skipSpace(object, i+1)
		case i < len(object) && object[i] == '}':
			return nil
		default:
			return ErrJSON
		}
	}
}

// Elements calls visit with the raw value of each element of a JSON array, in
// order and without copying. An error from visit stops it and is returned.
func Elements(array []byte, visit func(value []byte) error) error {
	i := skipSpace(array, 0)
	if i >= len(array) || array[i] != '[' {
		return ErrJSON
	}
	i = skipSpace(array, i+1)
	if i < len(array) && array[i] == ']' {
		return nil
	}
	for {
		end := skipValue(array, i)
		if end < 0 {
			return ErrJSON
		}
		if err := visit(array[i:end]); err != nil {
			return err
		}
		i = skipSpace(array, end)
		switch {
		case i < len(array) && array[i] == ',':
			i = skipSpace(array, i+1)
		case i < len(array) && array[i] == ']':
			return nil
		default:
			return ErrJSON
		}
	}
}

func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\n' || b[i] == '\r' || b[i] == '\t') {
		i++
	}
	return i
}

// skipString returns the index after the string that begins at i, -1 if there is none.
func skipString(b []byte, i int) int {
	if i >= len(b) || b[i] != '"' {
		return -1
	}
	for i++; i < len(b); {
		quote := bytes.IndexByte(b[i:], '"')
		if quote < 0 {
			return -1
		}
		escape := bytes.IndexByte(b[i:i+quote], '\\')
		if escape < 0 {
			return i + quote + 1
		}
		i += escape + 2
	}
	return -1
}

// skipValue returns the index after the value that begins at i, -1 if there is none.
func skipValue(b []byte, i int) int {
	if i >= len(b) {
		return -1
	}
	switch b[i] {
	case '"':
		return skipString(b, i)
	case '{', '[':
		return skipNested(b, i)
	default:
		return skipLiteral(b, i)
	}
}

func skipNested(b []byte, i int) int {
	depth := 0
	for i < len(b) {
		switch b[i] {
		case '"':
			if i = skipString(b, i); i < 0 {
				return -1
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		i++
		if depth == 0 {
			return i
		}
	}
	return -1
}

func skipLiteral(b []byte, i int) int {
	start := i
	for i < len(b) && !bytes.ContainsRune(literalEnds, rune(b[i])) {
		i++
	}
	if i == start {
		return -1
	}
	return i
}

var literalEnds = []byte(",}] \n\r\t")
