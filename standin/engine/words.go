package engine

import "strconv"

// vocabularySize is the number of distinct words in answers, a power of two.
const vocabularySize = 1024

// vocabulary holds the words of which answers are made.
var vocabulary = newVocabulary()

func newVocabulary() [vocabularySize]string {
	onsets := []string{"b", "d", "k", "l", "m", "n", "r", "s"}
	vowels := []string{"a", "e", "i", "o"}
	var words [vocabularySize]string
	for i := range words {
		words[i] = onsets[i%8] + vowels[i/8%4] + onsets[i/32%8] + vowels[i/256%4]
	}
	return words
}

// mix hashes x with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// tokenText returns the text of token i, counted from 0, of the answer with the
// given seed. All tokens but the first begin with a space.
func tokenText(seed uint64, i int) string {
	word := vocabulary[mix(seed^mix(uint64(i)))%vocabularySize]
	if i == 0 {
		return word
	}
	return " " + word
}

// syntheticID returns an ID for a request that was sent without one.
func syntheticID(number uint64) string { return "engine-" + strconv.FormatUint(number, 10) }
