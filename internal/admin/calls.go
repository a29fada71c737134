package admin

import (
	"bytes"
	"fmt"
	"strings"
)

// Words of an answer.
const (
	answerDone  = "done"   // the first line of the answer to a call that succeeded
	answerError = "error " // stands before the reason on the only line of an answer
	answerEnd   = "end"    // the last line of an answer of several
)

// Operator is what the calls act on. Its methods return quickly; the text of their errors goes to
// the operator.
type Operator interface {
	// Ready returns why this process does not serve, or nil.
	Ready() error
	// Metrics writes the metrics, NAME=VALUE a line.
	Metrics(w *bytes.Buffer) error
	// Exclude takes a server out of rotation; Include puts it back.
	Exclude(id string) error
	Include(id string) error
	// Members writes the members of the fleet, a line of JSON each.
	Members(w *bytes.Buffer) error
	// BeginFleet confirms that no member of the fleet serves; MemberEnded that an incarnation of one,
	// a decimal number, has ended.
	BeginFleet() error
	MemberEnded(name, incarnation string) error
}

// call is one of the calls of the protocol.
type call struct {
	args int // how many words follow the name
	run  func(op Operator, args []string, answer *bytes.Buffer) error
	// lines says that the answer has lines after the first, and then answerEnd.
	lines bool
}

// calls are those of the protocol by their names.
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

// callNames are the calls as the answer to an unknown one lists them.
const callNames = "readyz, telemetry, exclude ID, include ID, members, begin-fleet or member-ended NAME LIFE"

// Answer carries out one call and returns its answer, whole lines: answerDone, the answer's lines and
// answerEnd where it has any, or answerError with the reason.
func Answer(op Operator, line string) string {
	words := strings.Fields(line)
	if len(words) == 0 {
		return failure("an empty call")
	}
	name, args := words[0], words[1:]
	c, known := calls[name]
	if !known {
		return failure(fmt.Sprintf("unknown call %.40q: %s", name, callNames))
	}
	if len(args) != c.args {
		return failure(fmt.Sprintf("%s takes %d words, not %d", name, c.args, len(args)))
	}
	answer := bytes.NewBufferString(answerDone + "\n")
	if err := c.run(op, args, answer); err != nil {
		return failure(strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if c.lines {
		answer.WriteString(answerEnd + "\n")
	}
	return answer.String()
}

// failure is the answer to a call that failed.
func failure(reason string) string { return answerError + reason + "\n" }
