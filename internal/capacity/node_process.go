package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"jasperpin/internal/admin"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
)

// adminTimeout limits the time of a call to a node's admin server.
const adminTimeout = 5 * time.Second

// nodeFile returns the file of a node with some services, which are routed by path and have one pool each.
// poolLines returns the lines of the i-th pool's table.
func nodeFile(adminAddr string, services int, poolLines func(i int) string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[node]\nname = \"edge\"\nlisten = [\"127.0.0.1:0\"]\ncontrol = %q\n[limits]\nmemory = \"1GB\"\ndescriptors = 16384\n", adminAddr)
	for i := range services {
		fmt.Fprintf(&b, "[[service]]\nname = \"s%d\"\n[[service.route]]\npath = \"/s%d/\"\nas = \"page\"\npool = \"p%d\"\n", i, i, i)
		fmt.Fprintf(&b, "[[pool]]\nname = \"p%d\"\n%s\n[[pool.class]]\nname = \"page\"\nrepeat = \"safe\"\naim = \"4s\"\ndeadline = \"5s\"\n", i, poolLines(i))
	}
	return b.String()
}

// nodeProcess is a running node.
type nodeProcess struct {
	*testbed.Process
	adminAddr string
}

// startNodeProcess writes a node's file and starts the node.
func (o Options) startNodeProcess(name, adminAddr, text string) (*nodeProcess, error) {
	file := filepath.Join(o.Dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("writing a node's file: %w", err)
	}
	p, err := o.StartNode(o.Dir, name, file)
	if err != nil {
		return nil, err
	}
	return &nodeProcess{p, adminAddr}, nil
}

// call makes a call to the node's admin server.
func (p *nodeProcess) call(ctx context.Context, line string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	return admin.Call(ctx, p.adminAddr, line)
}

// metricsCost returns the processor time of reading all metrics once, in milliseconds, as the mean of some calls,
// and the size of the answer in bytes.
func (p *nodeProcess) metricsCost(ctx context.Context, calls int) (ms, bytes float64, err error) {
	before, err := p.CPU()
	if err != nil {
		return 0, 0, err
	}
	for range calls {
		lines, err := p.call(ctx, "telemetry")
		if err != nil {
			return 0, 0, err
		}
		bytes = float64(len(strings.Join(lines, "\n")))
	}
	after, err := p.CPU()
	if err != nil {
		return 0, 0, err
	}
	return microseconds(atLeastOneTick(after-before)) / 1e3 / float64(calls), bytes, nil
}

// usage is the processor time and memory that a process used over some time.
type usage struct {
	corePercent float64
	memoryMB    float64 // memory at the end of the measured time
}

// measureUsage measures a process's usage over some time.
func measureUsage(ctx context.Context, p *testbed.Process, duration time.Duration) (u usage, err error) {
	before, err := p.CPU()
	if err != nil {
		return u, err
	}
	began := time.Now()
	if !emulator.Sleep(ctx, duration) {
		return u, ctx.Err()
	}
	seconds := time.Since(began).Seconds()
	after, err := p.CPU()
	if err != nil {
		return u, err
	}
	memory, err := p.AnonymousMemory()
	return usage{100 * atLeastOneTick(after-before).Seconds() / seconds, float64(memory) / 1e6}, err
}

// eventually waits until a condition holds, for at most 20 seconds.
func eventually(ctx context.Context, what string, holds func() bool) error {
	const timeout, poll = 20 * time.Second, 10 * time.Millisecond
	for end := time.Now().Add(timeout); !holds(); time.Sleep(poll) {
		if err := ctx.Err(); err != nil {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("timeout after %v waiting until %s", timeout, what)
		}
	}
	return nil
}
