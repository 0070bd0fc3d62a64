package mesh

import (
	"bytes"
	"compress/flate"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// packFromBytes is the length from which a published value travels packed.
const packFromBytes = 512

// ErrDecompress is the error of a value that can't be unpacked.
var ErrDecompress = eris.New("mesh: malformed packed value")

// Compress returns a value compressed at one of the levels of compress/flate, nil
// if that saves nothing.
func Compress(value string, level int) []byte {
	if len(value) < packFromBytes {
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

// Decompress returns the value that Pack compressed; one over limit bytes is refused.
func Decompress(packed []byte, limit int) (string, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
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
