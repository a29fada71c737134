package config

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"math"
	"net/netip"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"jasperpin/internal/route"
)

// Mistake is one thing wrong with a file, or with a record.
type Mistake struct {
	File string // or the record's key
	Line int    // from 1; 0 where no line is to blame
	Text string
}

func (m Mistake) Error() string {
	if m.Line == 0 {
		return m.File + ": " + m.Text
	}
	return fmt.Sprintf("%s:%d: %s", m.File, m.Line, m.Text)
}

// Mistakes are all things wrong with a file, by line, or with records.
type Mistakes []Mistake

func (ms Mistakes) Error() string {
	lines := make([]string, len(ms))
	for i, m := range ms {
		lines[i] = m.Error()
	}
	return strings.Join(lines, "\n")
}

// reader collects the mistakes of one file. The library's strict mode stops at
// the first value of a wrong type; reading value by value finds them all, and the
// library's parser gives each its line.
type reader struct {
	file   string
	errs   Mistakes
	broken *Mistake // the first place that is not TOML: nothing else counts beside it
}

// table is one table of the file, from which keys are read by name. A nil map
// stands for a table that is not there: all its keys have their defaults.
type table struct {
	*part
	path string
	m    map[string]any
	read []string
}

func (r *reader) add(line int, format string, args ...any) {
	r.errs = append(r.errs, Mistake{r.file, line, fmt.Sprintf(format, args...)})
}

// result gives all mistakes in the order of their lines, or nil.
func (r *reader) result() error {
	if r.broken != nil {
		return Mistakes{*r.broken}
	}
	if len(r.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(r.errs, func(a, b Mistake) int { return cmp.Compare(a.Line, b.Line) })
	return slices.Compact(r.errs)
}

// routes takes the complaints of the route table.
func (r *reader) routes(err error) {
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range many.Unwrap() {
			r.routes(e)
		}
		return
	}
	line := 0
	if e := (*route.RuleError)(nil); errors.As(err, &e) {
		_, at, _ := strings.Cut(e.Origin, ":")
		line, _ = strconv.Atoi(at)
		err = e.Err
	}
	r.add(line, "route: %v", err)
}

// fail complains about a key, at its line or, where it is not there, its table's.
func (t *table) fail(key, format string, args ...any) {
	if t.record {
		t.add(0, "%s %s", join(t.path, key), fmt.Sprintf(format, args...))
		return
	}
	line, ok := t.line(join(t.path, key))
	if !ok {
		line, _ = t.line(t.path)
	}
	t.add(line, "%s %s", key, fmt.Sprintf(format, args...))
}

// origin is where the table stands.
func (t *table) origin() string {
	if t.record {
		return t.file
	}
	line, _ := t.line(t.path)
	return t.file + ":" + strconv.Itoa(line)
}

func (t *table) get(key string) any {
	if t.read == nil {
		t.read = make([]string, 0, 8) // few tables have more keys
	}
	if !slices.Contains(t.read, key) {
		t.read = append(t.read, key)
	}
	return t.m[key]
}

// done complains about the keys that nobody has read.
func (t *table) done() {
	var others []string
	for key := range t.m {
		if !slices.Contains(t.read, key) {
			others = append(others, key)
		}
	}
	if len(others) == 0 {
		return
	}
	slices.Sort(others)
	known := slices.Sorted(slices.Values(t.read))
	for _, key := range others {
		if near := nearest(key, known); near != "" {
			t.fail(key, "is no key of this table: did you mean %s?", near)
		} else {
			t.fail(key, "is no key of this table: want %s", oneOf(known))
		}
	}
}

func (t *table) wrong(key string, v any, want string) {
	t.fail(key, "is %s: want %s", show(v), want)
}

// show words a value as it may stand in a file, cut to a length that can be read.
func show(v any) string {
	var text string
	switch v := v.(type) {
	default:
		text = fmt.Sprint(v)
	case string:
		text = strconv.Quote(v)
	case map[string]any:
		text = "a table"
	case []any, *elements:
		text = "an array"
	}
	if len(text) > 80 {
		text = text[:80] + "..."
	}
	return text
}

func (t *table) table(key string) *table {
	sub := &table{part: t.part, path: join(t.path, key)}
	switch v := t.get(key).(type) {
	case nil:
	case map[string]any:
		sub.m = v
	default:
		t.wrong(key, v, "a table ["+sub.path+"]")
	}
	return sub
}

// tables gives the tables of an array one by one. One that stands in the file's own text
// is decoded when its turn comes, so that one at a time is held.
func (t *table) tables(key string) iter.Seq[*table] {
	v := t.get(key)
	list, ok := v.([]any)
	apart, isApart := v.(*elements)
	if v != nil && !ok && !isApart {
		t.wrong(key, v, "tables in double brackets [["+join(plain(t.path), key)+"]]")
	}
	n := len(list)
	if isApart {
		n = len(apart.parts)
	}
	return func(yield func(*table) bool) {
		if n > maxNames {
			t.fail(key, "stands %d times: want %d at the most", n, maxNames)
			return
		}
		for i, x := range list {
			m, ok := x.(map[string]any)
			if !ok {
				t.wrong(key, x, "a table")
				continue
			}
			if !yield(&table{part: t.part, path: entry(join(t.path, key), i), m: m}) {
				return
			}
		}
		if isApart {
			apart.each(yield)
		}
	}
}

// plain is a path without the positions in it.
func plain(path string) string {
	var b strings.Builder
	for i, part := range strings.Split(path, "[") {
		if i > 0 {
			_, part, _ = strings.Cut(part, "]")
		}
		b.WriteString(part)
	}
	return b.String()
}

func (t *table) text(key, def, want string, fits func(string) bool) string {
	switch v := t.get(key).(type) {
	case nil:
		return def
	case string:
		if fits(v) {
			return v
		}
		t.wrong(key, v, want)
	default:
		t.wrong(key, v, want+", in quotes")
	}
	return def
}

// word is a name, which must be there where there is no default.
func (t *table) word(key, def string) string {
	const want = "a name of letters, digits, '.', '_' and '-', 64 at the most"
	if def == "" && t.m[key] == nil && t.m != nil {
		t.fail(key, "is missing: want %s", want)
	}
	return t.text(key, def, want, isWord)
}

// must complains where a key is missing.
func (t *table) must(key string) {
	if t.m[key] == nil {
		t.fail(key, "is missing")
	}
}

func (t *table) texts(key, want string, fits func(string) bool) []string {
	v := t.get(key)
	list, ok := v.([]any)
	if v != nil && !ok {
		t.wrong(key, v, "an array, each "+want)
	}
	if len(list) > maxNames {
		t.fail(key, "has %d entries: want %d at the most", len(list), maxNames)
		return nil
	}
	var out []string
	for _, x := range list {
		s, ok := x.(string)
		if !ok || !fits(s) {
			t.wrong(key, x, want+", in quotes")
			continue
		}
		out = append(out, s)
	}
	return out
}

func (t *table) choice(key, def string, words ...string) string {
	return t.text(key, def, "one of "+strings.Join(words, ", "), func(s string) bool { return slices.Contains(words, s) })
}

func (t *table) flag(key string, def bool) bool {
	switch v := t.get(key).(type) {
	case nil:
	case bool:
		return v
	default:
		t.wrong(key, v, "true or false")
	}
	return def
}

func (t *table) number(key string, def, least, most float64) float64 {
	var f float64
	switch v := t.get(key).(type) {
	case nil:
		return def
	case int64:
		f = float64(v)
	case float64:
		f = v
	default:
		t.wrong(key, v, fmt.Sprintf("a number from %g to %g", least, most))
		return def
	}
	if !(f >= least && f <= most) {
		t.wrong(key, f, fmt.Sprintf("a number from %g to %g", least, most))
		return def
	}
	return f
}

func (t *table) count(key string, def, least, most int) int {
	switch v := t.get(key).(type) {
	case nil:
	case int64:
		if v >= int64(least) && v <= int64(most) {
			return int(v)
		}
		t.wrong(key, v, fmt.Sprintf("a whole number from %d to %d", least, most))
	default:
		t.wrong(key, v, fmt.Sprintf("a whole number from %d to %d", least, most))
	}
	return def
}

func (t *table) time(key string, def, least, most time.Duration) time.Duration {
	want := fmt.Sprintf("a time with its unit from %q to %q, such as \"250ms\" or \"2.5s\"", least.String(), most.String())
	v := t.get(key)
	if v == nil {
		return def
	}
	s, ok := v.(string)
	d, err := time.ParseDuration(s)
	if !ok || err != nil || d < least || d > most {
		t.wrong(key, v, want)
		return def
	}
	return d
}

// units of sizes; a unit of its own word stands for powers of 1024.
var units = map[string]int64{"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}

// sizeText words a size in the largest unit that it fills.
func sizeText(n int64) string {
	text := fmt.Sprint(n, "B")
	for _, unit := range []string{"KB", "MB", "GB"} {
		if n >= units[unit] {
			text = fmt.Sprint(n/units[unit], unit)
		}
	}
	return text
}

func (t *table) size(key string, def, least, most int64) int64 {
	v := t.get(key)
	if v == nil {
		return def
	}
	want := fmt.Sprintf("a size with its unit (B, KB, MB or GB) from %q to %q, such as \"256MB\"", sizeText(least), sizeText(most))
	s, ok := v.(string)
	digits := strings.TrimRight(s, "BKMG")
	n, err := strconv.ParseInt(digits, 10, 64)
	unit := units[s[len(digits):]]
	if !ok || err != nil || unit == 0 || n < 0 || n > math.MaxInt64/unit || n*unit < least || n*unit > most {
		t.wrong(key, v, want)
		return def
	}
	return n * unit
}

func isWord(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") == ""
}

func isMethod(s string) bool {
	return s != "" && len(s) <= 16 && strings.Trim(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
}

func isAddr(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func canonical(header string) string { return textproto.CanonicalMIMEHeaderKey(header) }

// oneOf words a choice, cut to a length that can be read.
func oneOf(words []string) string {
	if len(words) == 0 {
		return "none"
	}
	if len(words) > 16 {
		words = append(slices.Clone(words[:16]), "...")
	}
	return "one of " + strings.Join(words, ", ")
}

// nearest finds the known word that a wrong one was most likely meant to be.
func nearest(word string, known []string) string {
	best, least := "", 3
	for _, k := range known {
		if d := distance(word, k); d < least {
			best, least = k, d
		}
	}
	return best
}

// distance is how many letters differ between two words (Levenshtein).
func distance(a, b string) int {
	if len(a) > 64 || len(b) > 64 {
		return 64
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diag := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diag
			if a[i] != b[j] {
				cost++
			}
			diag = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
