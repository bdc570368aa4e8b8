package chat

import (
	"encoding/json"

	"acaciapath.example/core/engine"
)

// The number of prefixes of a conversation that are looked up in prefix caches.
const (
	// shortestPrefixes counts the shortest prefixes, which different
	// conversations share.
	shortestPrefixes = 2
	// longestPrefixes counts the longest prefixes, which earlier requests of
	// the same conversation had.
	longestPrefixes = 4
)

// prefixes returns the hashes of the selected prefixes of a conversation,
// shortest first.
func prefixes(model string, conversation []byte) []uint64 {
	messages := make([]engine.Message, 0, 16)
	elements(conversation, func(text []byte) bool {
		messages = append(messages, parseMessage(text))
		return true
	})
	hashes := make([]uint64, 0, shortestPrefixes+longestPrefixes)
	for n := 1; n <= len(messages); n++ {
		if n <= shortestPrefixes || n > len(messages)-longestPrefixes {
			hashes = append(hashes, engine.PrefixHash(model, messages[:n]))
		}
	}
	return hashes
}

// parseMessage returns the message in the text. Its content refers to the text.
func parseMessage(text []byte) engine.Message {
	var m engine.Message
	fields(text, func(f field) bool {
		switch {
		case f.is("role"):
			_ = json.Unmarshal(f.value, &m.Role) // a wrong role only causes a cache miss
		case f.is("content"):
			m.Content = f.value
		}
		return true
	})
	return m
}
