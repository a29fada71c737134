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

// ErrRefused marks an answer that begins with "error".
var ErrRefused = errors.New("the node says")

// maxAnswer bounds an answer, in bytes: a class has four figures of some 40 each, a member some 200.
const maxAnswer = 2 << 20

// Call makes a call at a door, an address and port or "unix:" and a path, and gives the
// lines between the answer's first and its end.
func Call(ctx context.Context, at, line string) ([]string, error) {
	network, addr := "tcp", at
	if path, ok := strings.CutPrefix(at, "unix:"); ok {
		network, addr = "unix", path
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", at, err)
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })()
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return nil, fmt.Errorf("calling %s: %w", at, err)
	}
	b, err := io.ReadAll(io.LimitReader(c, maxAnswer))
	if err != nil {
		return nil, fmt.Errorf("waiting for %s: %w", at, err)
	}
	lines := strings.Split(strings.TrimSuffix(string(b), "\n"), "\n")
	switch {
	case lines[0] == "done" && len(lines) == 1:
		return nil, nil
	case lines[0] == "done" && lines[len(lines)-1] == "end":
		return lines[1 : len(lines)-1], nil
	case strings.HasPrefix(lines[0], "error "):
		return nil, fmt.Errorf("%w: %s", ErrRefused, strings.TrimPrefix(lines[0], "error "))
	}
	return nil, fmt.Errorf("%s is no door, or its answer was cut short: %.60q", at, b)
}

// Metric is one figure by its name.
type Metric struct {
	Name  string `json:"name"`
	Value uint64 `json:"value"`
}

// ReadMetrics asks for the figures, in the order in which the node gives them.
func ReadMetrics(ctx context.Context, at string) ([]Metric, error) {
	lines, err := Call(ctx, at, "telemetry")
	if err != nil {
		return nil, err
	}
	var all []Metric
	for _, line := range lines {
		name, text, ok := strings.Cut(line, "=")
		v, err := strconv.ParseUint(text, 10, 64)
		if !ok || err != nil {
			return nil, fmt.Errorf("%s gives %q, which is no figure", at, line)
		}
		all = append(all, Metric{name, v})
	}
	return all, nil
}
