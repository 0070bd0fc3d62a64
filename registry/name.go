package registry

// maxNameBytes is the length of the longest name, in bytes.
const maxNameBytes = 64

// NameRule describes the names that IsName accepts.
const NameRule = "a name of 1 to 64 letters, digits, '-', '_' and '.' that starts with a letter or digit"

// IsName reports whether the text is a valid name of an instance, region, failure
// domain, service, team or client account.
func IsName(text string) bool {
	if text == "" || len(text) > maxNameBytes || !isLetterOrDigit(text[0]) {
		return false
	}
	for i := range len(text) {
		if !isLetterOrDigit(text[i]) && text[i] != '-' && text[i] != '_' && text[i] != '.' {
			return false
		}
	}
	return true
}

func isLetterOrDigit(char byte) bool {
	return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9'
}
