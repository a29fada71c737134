// Package invariant counts what a node must never do. Whoever carries a step out checks it once more, by other
// means than those by which it was decided, and counts a violation: a count above zero is a fault of the
// program; AnsweredLate also counts where the process was stopped. Counts of the clock allow for some slack,
// as a machine may be busy.
package invariant

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

// Rule is an invariant.
type Rule uint8

// The invariants that are checked. Each says what breaks it.
const (
	// BegunAfterClientDisconnected is an attempt that began more than DisconnectSlack after its client had disconnected.
	BegunAfterClientDisconnected Rule = iota
	// NonIdempotentRepeated is an attempt of a request that is not idempotent behind another that may have run.
	NonIdempotentRepeated
	// RepeatedAfterDedupWindow is an attempt whose last byte was written after servers may have forgotten the first
	// one's idempotency key.
	RepeatedAfterDedupWindow
	// DeadlineOverstated is a server given more time than its client had left, by over DeadlineSlack.
	DeadlineOverstated
	// WrittenLate is an attempt whose last byte was written more than WriteSlack after its request's end.
	WrittenLate
	// AnsweredLate is a final answer more than AnswerSlack after its client's time.
	AnsweredLate
	ruleCount
)

// How much the invariants of the clock allow: what a busy machine may take between a check and what follows it.
const (
	DisconnectSlack = 100 * time.Millisecond
	DeadlineSlack   = 150 * time.Millisecond
	WriteSlack      = 50 * time.Millisecond
	AnswerSlack     = 500 * time.Millisecond
)

// ruleNames are the names in the operators' metrics and in the log.
var ruleNames = [ruleCount]string{
	BegunAfterClientDisconnected: "begun_for_nobody",
	NonIdempotentRepeated:        "repeated_unsafe",
	RepeatedAfterDedupWindow:     "repeated_late",
	DeadlineOverstated:           "deadline_told",
	WrittenLate:                  "written_late",
	AnsweredLate:                 "answered_late",
}

func (r Rule) String() string {
	if r < ruleCount {
		return ruleNames[r]
	}
	return "unknown"
}

// Counts are how often each invariant was broken. Any goroutine may count. A nil one counts nothing; the zero
// value counts and logs nothing.
type Counts struct {
	log    *slog.Logger // nil for none
	broken [ruleCount]atomic.Uint64
}

// New makes counts that also log each violation.
func New(log *slog.Logger) *Counts { return &Counts{log: log} }

// Record counts one violation, and logs it with the request's id and further attributes.
func (c *Counts) Record(rule Rule, request string, attrs ...any) {
	if c == nil {
		return
	}
	c.broken[rule].Add(1)
	if c.log != nil {
		c.log.Error("a promise is broken", append([]any{"rule", rule.String(), "request_id", request}, attrs...)...)
	}
}

// Count is how often an invariant was broken.
func (c *Counts) Count(rule Rule) uint64 {
	if c == nil {
		return 0
	}
	return c.broken[rule].Load()
}

// Write writes the counts above zero, one a line.
func (c *Counts) Write(w io.Writer) error {
	for rule := range ruleCount {
		n := c.Count(rule)
		if n == 0 {
			continue
		}
		if _, err := fmt.Fprintf(w, "invariant.%s=%d\n", rule, n); err != nil {
			return fmt.Errorf("writing the count of %s: %w", rule, err)
		}
	}
	return nil
}
