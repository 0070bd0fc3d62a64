package jsonc

import "strings"

const (
	// maxEditDistance is the largest edit distance of a suggested name.
	maxEditDistance = 2
	// maxNameBytes is the length of the longest name that gets a suggestion, in bytes.
	maxNameBytes = 64
)

// nearest returns the name that a mistyped one most likely stands for.
func nearest(mistyped string, names []string) (name string, ok bool) {
	if len(mistyped) > maxNameBytes {
		return "", false
	}
	best := maxEditDistance + 1
	for _, candidate := range names {
		if normalize(candidate) == normalize(mistyped) {
			return candidate, true
		}
		distance := editDistance(normalize(mistyped), normalize(candidate))
		if distance < best && distance < len(candidate) {
			name, best = candidate, distance
		}
	}
	return name, best <= maxEditDistance
}

func normalize(name string) string {
	return strings.ToLower(strings.NewReplacer("_", "", "-", "", " ", "").Replace(name))
}

// editDistance returns the number of insertions, deletions and replacements of
// bytes that turn a into b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replace := diagonal
			if a[i] != b[j] {
				replace++
			}
			diagonal = row[j+1]
			row[j+1] = min(replace, diagonal+1, row[j]+1)
		}
	}
	return row[len(b)]
}
