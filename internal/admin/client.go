package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// ErrCallFailed marks the error of a call that the node answered with an error. Its text is part of
// the output of `ctl --json`.
var ErrCallFailed = errors.New("the node says")

// maxAnswerBytes bounds an answer: a class has four metrics of about 40 bytes each, and a member of the
// fleet takes about 200 bytes.
const maxAnswerBytes = 2 << 20

// unixPrefix precedes the path of a Unix socket in an address.
const unixPrefix = "unix:"

// Call sends a call to the admin server at an address, "HOST:PORT" or "unix:PATH", and returns the
// lines between the first and the last line of the answer. If the node answers with an error, the error
// wraps ErrCallFailed; other errors mean that there was no complete answer.
func Call(ctx context.Context, address, line string) ([]string, error) {
	answer, err := roundTrip(ctx, address, line)
	if err != nil {
		return nil, err
	}
	lines := strings.Split(strings.TrimSuffix(string(answer), "\n"), "\n")
	first, last := lines[0], lines[len(lines)-1]
	switch {
	case first == answerDone && len(lines) == 1:
		return nil, nil
	case first == answerDone && last == answerEnd:
		return lines[1 : len(lines)-1], nil
	case strings.HasPrefix(first, answerError):
		return nil, fmt.Errorf("%w: %s", ErrCallFailed, strings.TrimPrefix(first, answerError))
	}
	return nil, fmt.Errorf("%s is not an admin server, or its answer is incomplete: %.60q", address, answer)
}

// roundTrip sends a line and returns all that the server sends until it closes the connection.
func roundTrip(ctx context.Context, address, line string) ([]byte, error) {
	network, target := "tcp", address
	if path, ok := strings.CutPrefix(address, unixPrefix); ok {
		network, target = "unix", path
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, target)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", address, err)
	}
	defer conn.Close()
	past := time.Unix(1, 0) // as a deadline, it ends pending reads and writes
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(past) })()
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return nil, fmt.Errorf("calling %s: %w", address, err)
	}
	answer, err := io.ReadAll(io.LimitReader(conn, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("waiting for the answer of %s: %w", address, err)
	}
	return answer, nil
}

// Metric is a counter or gauge of a node. Its JSON form is the output of `ctl figures --json`.
type Metric struct {
	Name  string `json:"name"`
	Value uint64 `json:"value"`
}

// ReadMetrics returns the metrics of the node whose admin server is at an address, in the node's
// order. Errors are those of Call, or report a malformed metric.
func ReadMetrics(ctx context.Context, address string) ([]Metric, error) {
	lines, err := Call(ctx, address, "telemetry")
	if err != nil {
		return nil, err
	}
	var all []Metric
	for _, line := range lines {
		name, text, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("reading the metrics of %s: malformed metric %q", address, line)
		}
		value, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("reading the metrics of %s: malformed metric %q: %w", address, line, err)
		}
		all = append(all, Metric{name, value})
	}
	return all, nil
}
