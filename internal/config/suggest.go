package config

import (
	"slices"
	"strings"
)

const (
	// maxListedWords bounds the words of a choice that a message lists.
	maxListedWords = 16
	// maxSuggestDistance is the most letters by which a word differs from the one that was meant.
	maxSuggestDistance = 2
	// maxComparedBytes bounds the words that are compared, as that takes time by their product.
	maxComparedBytes = 64
)

// oneOf words a choice, cut to a length that can be read.
func oneOf(words []string) string {
	if len(words) == 0 {
		return "none"
	}
	if len(words) > maxListedWords {
		words = append(slices.Clone(words[:maxListedWords]), "...")
	}
	return "one of " + strings.Join(words, ", ")
}

// nearest returns the known word that a wrong one was most likely meant to be, or "".
func nearest(word string, known []string) string {
	best, least := "", maxSuggestDistance+1
	for _, k := range known {
		if d := editDistance(word, k); d < least {
			best, least = k, d
		}
	}
	return best
}

// editDistance is the Levenshtein distance of two words: how many letters have to be inserted,
// deleted or replaced.
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
