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

// Error is one error in a file or a record.
type Error struct {
	File string // the file's name or the record's key
	Line int    // line number, from 1; 0 if the error has no line
	Text string // the key, the problem with its value, and the expected value
}

func (e Error) Error() string {
	if e.Line == 0 {
		return e.File + ": " + e.Text
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text)
}

// Errors is a list of all errors in a file, sorted by line, or in records, sorted by key. Its text has one
// line for each error.
type Errors []Error

func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// sortByKey sorts the errors of records and removes duplicates.
func (es Errors) sortByKey() Errors {
	slices.SortStableFunc(es, func(a, b Error) int { return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Text, b.Text)) })
	return slices.Compact(es)
}

// reader collects the errors of one file. The strict mode of the TOML library stops at the first value of
// a wrong type. Reading value by value finds all errors, and the library's parser provides the lines.
type reader struct {
	file        string
	errors      Errors
	syntaxError *Error // the first TOML syntax error; if set, all other errors are ignored
}

// add adds an error.
func (r *reader) add(line int, format string, args ...any) {
	r.errors = append(r.errors, Error{r.file, line, fmt.Sprintf(format, args...)})
}

// addSyntaxError records a TOML syntax error, unless one at an earlier line is recorded.
func (r *reader) addSyntaxError(line int, text string) {
	if r.syntaxError == nil || line < r.syntaxError.Line {
		r.syntaxError = &Error{r.file, line, "invalid TOML: " + strings.TrimPrefix(text, "toml: ")}
	}
}

// addRouteErrors adds the errors of the route table, each with the line of its route.
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
		line, _ = strconv.Atoi(text) // 0 if the origin has no line
		err = rule.Err
	}
	r.add(line, "route: %v", err)
}

// joinedErrors returns the errors that err wraps if errors.Join created it, otherwise nil.
func joinedErrors(err error) []error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return nil
	}
	return joined.Unwrap()
}

// result returns all errors sorted by line, or nil if there are none.
func (r *reader) result() error {
	if r.syntaxError != nil {
		return Errors{*r.syntaxError}
	}
	if len(r.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(r.errors, func(a, b Error) int { return cmp.Compare(a.Line, b.Line) })
	return slices.Compact(r.errors)
}
