// Package invariant counts what a node promises never to do. Whoever carries a step out looks at
// it once more, by other means than those by which it was decided, and counts what should not be:
// a count above zero is a fault of the program.
package invariant

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

// Rule is a promise.
type Rule uint8

// The promises that are looked at.
const (
	// BegunForNobody is an attempt that began more than LeaveSlack after its client had left.
	BegunForNobody Rule = iota
	// RepeatedUnsafe is an attempt of an unsafe request behind another that may have run.
	RepeatedUnsafe
	// RepeatedLate is an attempt of which the last byte went out after servers may have forgotten
	// the first.
	RepeatedLate
	// DeadlineTold is a server told of more time than its client had left, by over DeadlineSlack.
	DeadlineTold
	// WrittenLate is an attempt of which the last byte went out more than WriteSlack after its
	// request's end.
	WrittenLate
	// AnsweredLate is a final answer more than AnswerSlack after its client's time.
	AnsweredLate
	rules
)

// What the promises allow.
const (
	LeaveSlack    = 100 * time.Millisecond
	DeadlineSlack = 150 * time.Millisecond
	WriteSlack    = 50 * time.Millisecond
	AnswerSlack   = 500 * time.Millisecond
)

var names = [rules]string{
	"begun_for_nobody", "repeated_unsafe", "repeated_late", "deadline_told", "written_late", "answered_late",
}

func (r Rule) String() string {
	if r < rules {
		return names[r]
	}
	return "unknown"
}

// Counts are how often each rule was broken. A nil one counts nothing.
type Counts struct {
	log    *slog.Logger
	broken [rules]atomic.Uint64
}

// New makes counts that also say what they count.
func New(log *slog.Logger) *Counts { return &Counts{log: log} }

// Broken counts one break, and logs it with the request's name.
func (c *Counts) Broken(rule Rule, request string, attrs ...any) {
	if c == nil {
		return
	}
	c.broken[rule].Add(1)
	if c.log != nil {
		c.log.Error("a promise is broken", append([]any{"rule", rule.String(), "request", request}, attrs...)...)
	}
}

// Count is how often a rule was broken.
func (c *Counts) Count(rule Rule) uint64 {
	if c == nil {
		return 0
	}
	return c.broken[rule].Load()
}

// Write writes the rules that were broken, one a line.
func (c *Counts) Write(w io.Writer) error {
	for rule := range rules {
		if n := c.Count(rule); n > 0 {
			if _, err := fmt.Fprintf(w, "invariant.%s=%d\n", rule, n); err != nil {
				return fmt.Errorf("writing the counts of broken rules: %w", err)
			}
		}
	}
	return nil
}
