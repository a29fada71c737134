package admin

import (
	"bytes"
	"fmt"
	"strings"
)

// Words of an answer.
const (
	answerDone  = "done"   // the first line of the answer to a call that succeeded
	answerError = "error " // precedes the reason on the only line of the answer to a call that failed
	answerEnd   = "end"    // the last line of an answer with several lines
)

// Operator executes the calls. Its methods return quickly; the text of their errors is sent to the
// operator.
type Operator interface {
	// Ready returns nil if this process serves, and otherwise an error with the reason.
	Ready() error
	// Metrics writes the metrics, one NAME=VALUE per line.
	Metrics(w *bytes.Buffer) error
	// Exclude takes a server out of rotation; Include puts it back.
	Exclude(id string) error
	Include(id string) error
	// Members writes the members of the fleet, one line of JSON each.
	Members(w *bytes.Buffer) error
	// BeginFleet confirms that no member of the fleet serves. MemberEnded confirms that an
	// incarnation of a member, a decimal number, has ended.
	BeginFleet() error
	MemberEnded(name, incarnation string) error
}

// call is a call of the protocol.
type call struct {
	args int // number of words after the name
	run  func(op Operator, args []string, answer *bytes.Buffer) error
	// lines reports whether the answer has further lines, followed by answerEnd.
	lines bool
}

// calls are the calls of the protocol, by name.
var calls = map[string]call{
	"readyz": {run: func(op Operator, _ []string, _ *bytes.Buffer) error { return op.Ready() }},
	"telemetry": {lines: true, run: func(op Operator, _ []string, answer *bytes.Buffer) error {
		return op.Metrics(answer)
	}},
	"members": {lines: true, run: func(op Operator, _ []string, answer *bytes.Buffer) error {
		return op.Members(answer)
	}},
	"exclude":     {args: 1, run: func(op Operator, args []string, _ *bytes.Buffer) error { return op.Exclude(args[0]) }},
	"include":     {args: 1, run: func(op Operator, args []string, _ *bytes.Buffer) error { return op.Include(args[0]) }},
	"begin-fleet": {run: func(op Operator, _ []string, _ *bytes.Buffer) error { return op.BeginFleet() }},
	"member-ended": {args: 2, run: func(op Operator, args []string, _ *bytes.Buffer) error {
		return op.MemberEnded(args[0], args[1])
	}},
}

// callNames lists the calls in the answer to an unknown call.
const callNames = "readyz, telemetry, exclude ID, include ID, members, begin-fleet or member-ended NAME LIFE"

// Answer executes a call and returns its answer as complete lines: answerDone, followed by the answer's
// lines and answerEnd if it has any, or answerError with the reason.
func Answer(op Operator, line string) string {
	words := strings.Fields(line)
	if len(words) == 0 {
		return formatError("empty call")
	}
	name, args := words[0], words[1:]
	c, known := calls[name]
	if !known {
		return formatError(fmt.Sprintf("unknown call %.40q: %s", name, callNames))
	}
	if len(args) != c.args {
		return formatError(fmt.Sprintf("%s: want %d arguments, got %d", name, c.args, len(args)))
	}
	answer := bytes.NewBufferString(answerDone + "\n")
	if err := c.run(op, args, answer); err != nil {
		return formatError(strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if c.lines {
		answer.WriteString(answerEnd + "\n")
	}
	return answer.String()
}

// formatError returns the answer to a call that failed.
func formatError(reason string) string { return answerError + reason + "\n" }
