package chat

import (
	"bytes"
	"encoding/json"
	"strings"
)

// field is one field of a JSON object in a text.
type field struct {
	// name is the name without quotes, still escaped.
	name []byte
	// value is the text of the value.
	value []byte
	// start and end are the position of the field in the text, without commas.
	start, end int
}

// fields calls yield for each field of the object in text until yield returns
// false. It parses without validation and yields nothing if text is not an
// object; text that is not valid JSON yields unspecified fields.
func fields(text []byte, yield func(field) bool) {
	i := skipSpace(text, 0)
	if i >= len(text) || text[i] != '{' {
		return
	}
	i = skipSpace(text, i+1)
	for i < len(text) && text[i] == '"' {
		start := i
		nameEnd := skipValue(text, i)
		valueStart := skipSpace(text, skipSpace(text, nameEnd)+1) // past the colon
		if nameEnd < start+2 || valueStart >= len(text) {
			return
		}
		valueEnd := skipValue(text, valueStart)
		f := field{name: text[start+1 : nameEnd-1], value: text[valueStart:valueEnd], start: start, end: valueEnd}
		if !yield(f) {
			return
		}
		i = skipSpace(text, valueEnd)
		if i < len(text) && text[i] == ',' {
			i = skipSpace(text, i+1)
		}
	}
}

// is reports whether the field has the given name. Case is ignored because some
// engines ignore it.
func (f field) is(name string) bool {
	if bytes.IndexByte(f.name, '\\') < 0 {
		return strings.EqualFold(string(f.name), name)
	}
	var unescaped string
	quoted := append(append([]byte{'"'}, f.name...), '"')
	return json.Unmarshal(quoted, &unescaped) == nil && strings.EqualFold(unescaped, name)
}

func skipSpace(text []byte, i int) int {
	for i < len(text) && (text[i] == ' ' || text[i] == '\n' || text[i] == '\t' || text[i] == '\r') {
		i++
	}
	return i
}

// skipValue returns the end of the value that starts at i.
func skipValue(text []byte, i int) int {
	if i >= len(text) {
		return i
	}
	switch text[i] {
	case '"':
		return skipString(text, i)
	case '{', '[':
		return skipNested(text, i)
	}
	for i < len(text) && strings.IndexByte(",}] \n\t\r", text[i]) < 0 {
		i++
	}
	return i
}

func skipString(text []byte, i int) int {
	for i++; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

func skipNested(text []byte, i int) int {
	depth := 0
	for i < len(text) {
		switch text[i] {
		case '"':
			i = skipString(text, i)
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			if depth == 0 {
				return i + 1
			}
		}
		i++
	}
	return i
}

// elements calls yield for each element of the array in text until yield
// returns false. It yields nothing if text is not an array.
func elements(text []byte, yield func([]byte) bool) {
	i := skipSpace(text, 0)
	if i >= len(text) || text[i] != '[' {
		return
	}
	i = skipSpace(text, i+1)
	for i < len(text) && text[i] != ']' {
		end := skipValue(text, i)
		if end == i || !yield(text[i:end]) {
			return
		}
		i = skipSpace(text, end)
		if i < len(text) && text[i] == ',' {
			i = skipSpace(text, i+1)
		}
	}
}
