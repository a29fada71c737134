package config

import (
	"slices"
	"strings"
)

const (
	// maxListedWords is the maximum number of words of a choice that an error lists.
	maxListedWords = 16
	// maxSuggestDistance is the maximum edit distance between an unknown word and a suggested one.
	maxSuggestDistance = 2
	// maxComparedBytes is the maximum length of compared words, since a comparison takes time proportional
	// to the product of their lengths.
	maxComparedBytes = 64
)

// oneOf returns the text for a choice of words, at most maxListedWords of them.
func oneOf(words []string) string {
	if len(words) == 0 {
		return "none"
	}
	if len(words) > maxListedWords {
		words = append(slices.Clone(words[:maxListedWords]), "...")
	}
	return "one of " + strings.Join(words, ", ")
}

// nearest returns the known word with the smallest edit distance to an unknown one, or "" if none is within
// maxSuggestDistance.
func nearest(word string, known []string) string {
	best, leastDistance := "", maxSuggestDistance+1
	for _, k := range known {
		if d := editDistance(word, k); d < leastDistance {
			best, leastDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two words: the number of bytes that must be inserted,
// deleted or replaced. For words longer than maxComparedBytes it returns maxComparedBytes.
func editDistance(a, b string) int {
	if len(a) > maxComparedBytes || len(b) > maxComparedBytes {
		return maxComparedBytes
	}
	row := make([]int, len(b)+1) // distances of the prefixes of b from one of a
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
