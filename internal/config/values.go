package config

import (
	"fmt"
	"math"
	"net/netip"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxShownBytes bounds a value in a message.
	maxShownBytes = 80
	// maxWordBytes bounds a name, which stands in log lines and metrics.
	maxWordBytes = 64
	// maxMethodBytes bounds a method; the longest registered one has 17, which no client sends here.
	maxMethodBytes = 16

	wordWanted = "a name of letters, digits, '.', '_' and '-', 64 at the most"

	upperLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
	lowerLetters = "abcdefghijklmnopqrstuvwxyz"
	digits       = "0123456789"
)

// text reads a string that fits, or reports it. Want says in messages what fits.
func (t *table) text(key, fallback, want string, fits func(string) bool) string {
	switch v := t.get(key).(type) {
	case nil:
		return fallback
	case string:
		if fits(v) {
			return v
		}
		t.failValue(key, v, want)
	default:
		t.failValue(key, v, want+", in quotes")
	}
	return fallback
}

// name reads the table's name, which must be there where there is no default.
func (t *table) name(fallback string) string {
	if fallback == "" && t.values["name"] == nil && t.values != nil {
		t.fail("name", "is missing: want %s", wordWanted)
	}
	return t.text("name", fallback, wordWanted, isWord)
}

// texts reads an array of strings, leaving out those that do not fit.
func (t *table) texts(key, want string, fits func(string) bool) []string {
	value := t.get(key)
	list, ok := value.([]any)
	if value != nil && !ok {
		t.failValue(key, value, "an array, each "+want)
	}
	if len(list) > maxEntries {
		t.fail(key, "has %d entries: want %d at the most", len(list), maxEntries)
		return nil
	}
	var texts []string
	for _, element := range list {
		text, ok := element.(string)
		if !ok || !fits(text) {
			t.failValue(key, element, want+", in quotes")
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

// choice reads one of some words.
func (t *table) choice(key, fallback string, words ...string) string {
	return t.text(key, fallback, "one of "+strings.Join(words, ", "), func(s string) bool { return slices.Contains(words, s) })
}

func (t *table) flag(key string, fallback bool) bool {
	switch v := t.get(key).(type) {
	case nil:
	case bool:
		return v
	default:
		t.failValue(key, v, "true or false")
	}
	return fallback
}

func (t *table) number(key string, fallback, least, most float64) float64 {
	var number float64
	value := t.get(key)
	switch v := value.(type) {
	case nil:
		return fallback
	case int64:
		number = float64(v)
	case float64:
		number = v
	default:
		t.failValue(key, v, fmt.Sprintf("a number from %g to %g", least, most))
		return fallback
	}
	if !(number >= least && number <= most) { // as written, NaN is out of range
		t.failValue(key, number, fmt.Sprintf("a number from %g to %g", least, most))
		return fallback
	}
	return number
}

func (t *table) count(key string, fallback, least, most int) int {
	value := t.get(key)
	if value == nil {
		return fallback
	}
	if v, ok := value.(int64); ok && v >= int64(least) && v <= int64(most) {
		return int(v)
	}
	t.failValue(key, value, fmt.Sprintf("a whole number from %d to %d", least, most))
	return fallback
}

func (t *table) time(key string, fallback, least, most time.Duration) time.Duration {
	value := t.get(key)
	if value == nil {
		return fallback
	}
	text, ok := value.(string)
	d, err := time.ParseDuration(text)
	if !ok || err != nil || d < least || d > most {
		t.failValue(key, value, fmt.Sprintf("a time with its unit from %q to %q, such as \"250ms\" or \"2.5s\"", least.String(), most.String()))
		return fallback
	}
	return d
}

// sizeUnits are the units of sizes, powers of 1024 bytes.
var sizeUnits = map[string]int64{"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}

// size reads a size and returns it in bytes.
func (t *table) size(key string, fallback, least, most int64) int64 {
	value := t.get(key)
	if value == nil {
		return fallback
	}
	text, _ := value.(string)
	n, ok := parseSize(text)
	if !ok || n < least || n > most {
		t.failValue(key, value, fmt.Sprintf("a size with its unit (B, KB, MB or GB) from %q to %q, such as \"256MB\"", formatSize(least), formatSize(most)))
		return fallback
	}
	return n
}

// parseSize reads a whole number with its unit, in bytes.
func parseSize(text string) (int64, bool) {
	number := strings.TrimRight(text, "BKMG")
	unit := sizeUnits[text[len(number):]]
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil || unit == 0 || n < 0 || n > math.MaxInt64/unit {
		return 0, false
	}
	return n * unit, true
}

// formatSize writes a size in the largest unit that it fills.
func formatSize(n int64) string {
	text := fmt.Sprint(n, "B")
	for _, unit := range []string{"KB", "MB", "GB"} {
		if n >= sizeUnits[unit] {
			text = fmt.Sprint(n/sizeUnits[unit], unit)
		}
	}
	return text
}

// show writes a value as it may stand in a file, cut to a length that can be read.
func show(value any) string {
	var text string
	switch v := value.(type) {
	case string:
		text = strconv.Quote(v)
	case map[string]any:
		text = "a table"
	case []any, *documentArray:
		text = "an array"
	default:
		text = fmt.Sprint(v)
	}
	if len(text) > maxShownBytes {
		text = text[:maxShownBytes] + "..."
	}
	return text
}

func isNotEmpty(s string) bool { return s != "" }

func isWord(s string) bool {
	return s != "" && len(s) <= maxWordBytes && strings.Trim(s, upperLetters+lowerLetters+digits+"._-") == ""
}

func isMethod(s string) bool {
	return s != "" && len(s) <= maxMethodBytes && strings.Trim(s, upperLetters) == ""
}

func isAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func canonicalHeader(name string) string { return textproto.CanonicalMIMEHeaderKey(name) }
