package engine

import "strconv"

// vocabularySize is the number of words. It is a power of two.
const vocabularySize = 1024

// vocabulary is the words that answers are made of.
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

// mix returns a well-distributed function of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// token returns the text of the i-th token, from 0, of the answer with the
// given seed, with the space before it.
func token(seed uint64, i int) string {
	word := vocabulary[mix(seed^mix(uint64(i)))%vocabularySize]
	if i == 0 {
		return word
	}
	return " " + word
}

// syntheticID returns an id for a request that has none.
func syntheticID(number uint64) string { return "engine-" + strconv.FormatUint(number, 10) }
