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
	// maxShownBytes is the maximum length of a value in an error.
	maxShownBytes = 80
	// maxNameBytes is the maximum length of a name, which appears in log lines and metrics.
	maxNameBytes = 64
	// maxMethodBytes is the maximum length of a method. The longest registered one has 17 bytes, but no client
	// of this node sends it.
	maxMethodBytes = 16

	wantName = "a name of letters, digits, '.', '_' and '-', at most 64"

	upperLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
	lowerLetters = "abcdefghijklmnopqrstuvwxyz"
	digits       = "0123456789"
)

// text reads a string. If fits returns false for it, text reports an error with want, which describes valid
// values, and returns fallback.
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

// name reads the table's name, which is required if fallback is "".
func (t *table) name(fallback string) string {
	if fallback == "" && t.values["name"] == nil && t.values != nil {
		t.fail("name", "is missing: want %s", wantName)
	}
	return t.text("name", fallback, wantName, isName)
}

// texts reads an array of strings. It reports and omits the invalid ones.
func (t *table) texts(key, want string, fits func(string) bool) []string {
	value := t.get(key)
	list, ok := value.([]any)
	if value != nil && !ok {
		t.failValue(key, value, "an array, each "+want)
	}
	if len(list) > maxEntries {
		t.fail(key, "has %d entries: want at most %d", len(list), maxEntries)
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

// choice reads a string that must be one of some words.
func (t *table) choice(key, fallback string, words ...string) string {
	return t.text(key, fallback, "one of "+strings.Join(words, ", "), func(s string) bool { return slices.Contains(words, s) })
}

// flag reads a boolean.
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

// number reads a number within bounds.
func (t *table) number(key string, fallback, minimum, maximum float64) float64 {
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
		t.failValue(key, v, fmt.Sprintf("a number from %g to %g", minimum, maximum))
		return fallback
	}
	if !(number >= minimum && number <= maximum) { // in this form NaN is out of range
		t.failValue(key, number, fmt.Sprintf("a number from %g to %g", minimum, maximum))
		return fallback
	}
	return number
}

// count reads an integer within bounds.
func (t *table) count(key string, fallback, minimum, maximum int) int {
	value := t.get(key)
	if value == nil {
		return fallback
	}
	if v, ok := value.(int64); ok && v >= int64(minimum) && v <= int64(maximum) {
		return int(v)
	}
	t.failValue(key, value, fmt.Sprintf("a whole number from %d to %d", minimum, maximum))
	return fallback
}

// time reads a duration within bounds.
func (t *table) time(key string, fallback, minimum, maximum time.Duration) time.Duration {
	value := t.get(key)
	if value == nil {
		return fallback
	}
	text, ok := value.(string)
	d, err := time.ParseDuration(text)
	if !ok || err != nil || d < minimum || d > maximum {
		t.failValue(key, value, fmt.Sprintf("a time with its unit from %q to %q, such as \"250ms\" or \"2.5s\"", minimum.String(), maximum.String()))
		return fallback
	}
	return d
}

// sizeUnits are the units of sizes in bytes, powers of 1024.
var sizeUnits = map[string]int64{"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}

// size reads a size within bounds and returns it in bytes.
func (t *table) size(key string, fallback, minimum, maximum int64) int64 {
	value := t.get(key)
	if value == nil {
		return fallback
	}
	text, _ := value.(string)
	n, ok := parseSize(text)
	if !ok || n < minimum || n > maximum {
		t.failValue(key, value, fmt.Sprintf("a size with its unit (B, KB, MB or GB) from %q to %q, such as \"256MB\"", formatSize(minimum), formatSize(maximum)))
		return fallback
	}
	return n
}

// parseSize parses an integer with its unit, and returns the size in bytes.
func parseSize(text string) (int64, bool) {
	number := strings.TrimRight(text, "BKMG")
	unit := sizeUnits[text[len(number):]]
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil || unit == 0 || n < 0 || n > math.MaxInt64/unit {
		return 0, false
	}
	return n * unit, true
}

// formatSize formats a size in the largest unit that does not exceed it, rounded down.
func formatSize(n int64) string {
	text := fmt.Sprint(n, "B")
	for _, unit := range []string{"KB", "MB", "GB"} {
		if n >= sizeUnits[unit] {
			text = fmt.Sprint(n/sizeUnits[unit], unit)
		}
	}
	return text
}

// formatValue formats a value for an error, in the form of the file and truncated to maxShownBytes.
func formatValue(value any) string {
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

func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && strings.Trim(s, upperLetters+lowerLetters+digits+"._-") == ""
}

func isMethod(s string) bool {
	return s != "" && len(s) <= maxMethodBytes && strings.Trim(s, upperLetters) == ""
}

func isAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func canonicalHeader(name string) string { return textproto.CanonicalMIMEHeaderKey(name) }
