package mesh

import (
	"bytes"
	"compress/flate"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// minCompressBytes is the length from which values are compressed.
const minCompressBytes = 512

// ErrDecompress is returned for a compressed value that is malformed or too long.
var ErrDecompress = eris.New("mesh: malformed compressed value")

// Compress returns a value compressed at a level of compress/flate, or nil if
// compression would not make it shorter.
func Compress(value string, level int) []byte {
	if len(value) < minCompressBytes {
		return nil
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, level)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(writer, strings.NewReader(value)); err != nil || writer.Close() != nil {
		return nil
	}
	if buffer.Len() >= len(value) {
		return nil
	}
	return buffer.Bytes()
}

// Decompress returns the value that Compress compressed, or an error that wraps
// ErrDecompress if it is malformed or longer than limit bytes.
func Decompress(compressed []byte, limit int) (string, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	defer reader.Close()
	value, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return "", eris.Wrapf(ErrDecompress, "%v", err)
	}
	if len(value) > limit {
		return "", eris.Wrapf(ErrDecompress, "over %d bytes", limit)
	}
	return string(value), nil
}
