package chat

import (
	"encoding/json"

	"acaciapath.example/core/engine"
)

// Bounds of the prefixes of a conversation that are looked up in caches.
const (
	// firstPrefixes is the number of the shortest ones, which conversations share.
	firstPrefixes = 2
	// lastPrefixes is the number of the longest ones, which the earlier requests
	// of the same conversation had.
	lastPrefixes = 4
)

// prefixes returns the hashes of the prefixes of a conversation, shortest first.
func prefixes(model string, conversation []byte) []uint64 {
	messages := make([]engine.Message, 0, 16)
	elements(conversation, func(text []byte) bool {
		messages = append(messages, messageOf(text))
		return true
	})
	hashes := make([]uint64, 0, firstPrefixes+lastPrefixes)
	for n := 1; n <= len(messages); n++ {
		if n <= firstPrefixes || n > len(messages)-lastPrefixes {
			hashes = append(hashes, engine.PrefixHash(model, messages[:n]))
		}
	}
	return hashes
}

// messageOf returns the message in the text. Its content refers to the text.
func messageOf(text []byte) engine.Message {
	var m engine.Message
	fields(text, func(f field) bool {
		switch {
		case f.is("role"):
			_ = json.Unmarshal(f.value, &m.Role) // an empty role only misses the cache
		case f.is("content"):
			m.Content = f.value
		}
		return true
	})
	return m
}
