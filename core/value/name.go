package value

import (
	"strings"

	"github.com/ansel1/merry/v2"
)

// maxNameBytes is the maximum length of a name.
const maxNameBytes = 100

// Name returns a parser of the names of sections, both in titles and in
// references to them.
func Name() Parser[string] { return nameWith("._-") }

// ModelName returns a parser of the names of models, which may also contain
// slashes and colons.
func ModelName() Parser[string] { return nameWith("._-/:") }

// nameWith returns a parser of names that start with a letter or digit and
// consist of letters, digits and the given punctuation.
func nameWith(punctuation string) Parser[string] {
	return Parser[string]{Type: "name", Parse: func(text string) (string, error) {
		if text == "" {
			return "", merry.New("the name is empty")
		}
		if len(text) > maxNameBytes {
			return "", merry.Errorf("%s is longer than %d bytes", Quote(text), maxNameBytes)
		}
		for i, r := range text {
			if !alphanumeric(r) && (i == 0 || !strings.ContainsRune(punctuation, r)) {
				return "", merry.Errorf("%s is not a name; a name starts with a letter or digit and contains only letters, digits and any of %s", Quote(text), punctuation)
			}
		}
		return text, nil
	}}
}

func alphanumeric(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}
