package value

import (
	"slices"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"acaciapath.example/core/apikey"
)

// Parser parses values of one type.
type Parser[V any] struct {
	// Type describes the type and its unit on the reference page.
	Type string
	// Range describes the allowed values. It is empty if Type already does.
	Range string
	// Parse returns the value, or an error that explains the problem to the user.
	Parse func(text string) (V, error)
}

// maxQuotedBytes is the length up to which a value is quoted in full.
const maxQuotedBytes = 60

// Quote quotes a value for a message, and shortens it if it is long. A value
// that looks like an API key is replaced by a placeholder.
func Quote(text string) string {
	if strings.Contains(text, apikey.Prefix) {
		return "a value that looks like a key"
	}
	if len(text) > maxQuotedBytes {
		return strconv.Quote(text[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(text)
}

// Bool returns a parser of the words true and false.
func Bool() Parser[bool] {
	return Parser[bool]{Type: "`true` or `false`", Parse: func(text string) (bool, error) {
		if text != "true" && text != "false" {
			return false, merry.Errorf("%s is neither true nor false", Quote(text))
		}
		return text == "true", nil
	}}
}

// OneOf returns a parser that accepts the given words.
func OneOf[S ~string](words ...S) Parser[S] {
	quoted := make([]string, len(words))
	known := make(map[string]struct{}, len(words))
	for i, w := range words {
		quoted[i] = "`" + string(w) + "`"
		known[string(w)] = struct{}{}
	}
	return Parser[S]{Type: "one of " + strings.Join(quoted, ", "), Parse: func(text string) (S, error) {
		if slices.Contains(words, S(text)) {
			return S(text), nil
		}
		message := Quote(text) + " is not " + strings.ReplaceAll("one of "+strings.Join(quoted, ", "), "`", "")
		return "", merry.New(message + Suggest(text, known))
	}}
}

// List returns a parser of lists of one or more distinct values, separated by
// commas.
func List[V comparable](element Parser[V]) Parser[[]V] {
	return Parser[[]V]{Type: "comma-separated list of " + element.Type + "s", Range: element.Range, Parse: func(text string) ([]V, error) {
		var values []V
		for _, part := range SplitList(text) {
			v, err := element.Parse(part)
			if err != nil {
				return nil, err
			}
			if slices.Contains(values, v) {
				return nil, merry.Errorf("%s occurs more than once in the list", Quote(part))
			}
			values = append(values, v)
		}
		return values, nil
	}}
}

// SplitList returns the elements of a comma-separated list, without surrounding
// white space.
func SplitList(text string) []string {
	parts := strings.Split(text, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

// Text returns a parser that accepts every value except an empty one. Kind
// describes the value on the reference page.
func Text(kind string) Parser[string] {
	return Parser[string]{Type: kind, Parse: func(text string) (string, error) {
		if text == "" {
			return "", merry.New("the value is empty")
		}
		return text, nil
	}}
}
