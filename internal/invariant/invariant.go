// Package invariant counts violations of a node's invariants at run time. The code that carries out a step checks
// the step again, by other means than the code that decided on it, and counts a violation. A count above zero means
// a bug of the program, with one exception: AnsweredLate also counts if the process was suspended. The invariants
// that depend on the clock allow some slack, as a machine may be busy.
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

// The invariants that are checked. Each comment describes the violation.
const (
	// BegunAfterClientDisconnected is an attempt that began more than DisconnectSlack after its client disconnected.
	BegunAfterClientDisconnected Rule = iota
	// NonIdempotentRepeated is a further attempt of a request that is not idempotent, after one that may have run.
	NonIdempotentRepeated
	// RepeatedAfterDedupWindow is an attempt whose last byte was written after the dedup window: servers may have
	// forgotten the idempotency key of the first attempt.
	RepeatedAfterDedupWindow
	// DeadlineOverstated is an attempt whose server was given a timeout that exceeds the client's remaining time by
	// more than DeadlineSlack.
	DeadlineOverstated
	// WrittenLate is an attempt whose last byte was written more than WriteSlack after its deadline.
	WrittenLate
	// AnsweredLate is a final answer that was sent more than AnswerSlack after its client's deadline.
	AnsweredLate
	ruleCount
)

// The slack of the invariants that depend on the clock: the delay of a busy machine between a check and the step
// that follows it.
const (
	DisconnectSlack = 100 * time.Millisecond
	DeadlineSlack   = 150 * time.Millisecond
	WriteSlack      = 50 * time.Millisecond
	AnswerSlack     = 500 * time.Millisecond
)

// ruleNames are the names of the rules in the metrics and in the log.
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

// Counts counts the violations of each invariant. It is safe for concurrent use. A nil *Counts counts nothing; the
// zero value counts, but logs nothing.
type Counts struct {
	log        *slog.Logger // nil for none
	violations [ruleCount]atomic.Uint64
}

// New returns Counts that also log each violation.
func New(log *slog.Logger) *Counts { return &Counts{log: log} }

// Record counts one violation, and logs it with the request's id and the attributes attrs.
func (c *Counts) Record(rule Rule, request string, attrs ...any) {
	if c == nil {
		return
	}
	c.violations[rule].Add(1)
	if c.log != nil {
		c.log.Error("invariant violated", append([]any{"rule", rule.String(), "request_id", request}, attrs...)...)
	}
}

// Count returns the number of violations of an invariant.
func (c *Counts) Count(rule Rule) uint64 {
	if c == nil {
		return 0
	}
	return c.violations[rule].Load()
}

// Write writes the counts above zero in the format of the metrics, one per line.
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
