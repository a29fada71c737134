package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"jasperpin/internal/route"
)

// Error is one mistake in a file or a record.
type Error struct {
	File string // or the record's key
	Line int    // from 1; 0 where no line is to blame
	Text string // the key, what is wrong with its value, and what was expected
}

func (e Error) Error() string {
	if e.Line == 0 {
		return e.File + ": " + e.Text
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text)
}

// Errors are all mistakes in a file, by line, or in records, by key. Its text has a line for each.
type Errors []Error

func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// sortByKey sorts mistakes in records and drops those that stand twice.
func (es Errors) sortByKey() Errors {
	slices.SortStableFunc(es, func(a, b Error) int { return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Text, b.Text)) })
	return slices.Compact(es)
}

// reader collects the mistakes of one file. The TOML library's strict mode stops at the first value of
// a wrong type; reading value by value finds them all, and the library's parser gives each its line.
type reader struct {
	file    string
	errors  Errors
	notTOML *Error // the first place that is not TOML: nothing else counts beside it
}

// add adds a mistake.
func (r *reader) add(line int, format string, args ...any) {
	r.errors = append(r.errors, Error{r.file, line, fmt.Sprintf(format, args...)})
}

// addNotTOML notes a place that is not TOML, unless one before it is known.
func (r *reader) addNotTOML(line int, text string) {
	if r.notTOML == nil || line < r.notTOML.Line {
		r.notTOML = &Error{r.file, line, "not TOML: " + strings.TrimPrefix(text, "toml: ")}
	}
}

// addRouteErrors adds the errors of the route table, each at the line of its route.
func (r *reader) addRouteErrors(err error) {
	if joined := joinedErrors(err); joined != nil {
		for _, e := range joined {
			r.addRouteErrors(e)
		}
		return
	}
	line := 0
	if rule := (*route.RuleError)(nil); errors.As(err, &rule) {
		_, text, _ := strings.Cut(rule.Origin, ":")
		line, _ = strconv.Atoi(text) // 0, for no line, where there is none
		err = rule.Err
	}
	r.add(line, "route: %v", err)
}

// joinedErrors returns the errors that an error of errors.Join consists of, or nil for another error.
func joinedErrors(err error) []error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return nil
	}
	return joined.Unwrap()
}

// result returns all mistakes in the order of their lines, or nil.
func (r *reader) result() error {
	if r.notTOML != nil {
		return Errors{*r.notTOML}
	}
	if len(r.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(r.errors, func(a, b Error) int { return cmp.Compare(a.Line, b.Line) })
	return slices.Compact(r.errors)
}
