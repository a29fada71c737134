package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"jasperpin/internal/admin"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
)

const (
	// frontendDelay is how long after SIGTERM clients still open connections to a node.
	frontendDelay = 300 * time.Millisecond
	// The platform may send SIGKILL after SIGTERM once the longest deadline, or maxCountedDeadline if that is
	// shorter, and killDelay have passed. The soak always sends it at that time.
	killDelay          = 700 * time.Millisecond
	maxCountedDeadline = 3 * time.Second
	// scrapeInterval is the interval at which the metrics of a process are read.
	scrapeInterval = 400 * time.Millisecond
	scrapeTimeout  = time.Second
	// upPollInterval is the interval at which a process that starts is asked whether it is ready.
	upPollInterval = 5 * time.Millisecond
)

// openEnd is the provisional length of an interval that has not ended yet.
const openEnd = 24 * time.Hour

// nodeRunner runs the processes of one node, one after another, with the same addresses and the same configuration
// file.
type nodeRunner struct {
	run        *run
	number     int
	addr       string
	adminAddr  string
	configFile string
	endpoint   *endpoint

	ending atomic.Pointer[testbed.Process] // the process between SIGTERM and its end; nil otherwise

	mu        sync.Mutex       // locked while a process is being started, ended or paused
	process   *testbed.Process // nil while no process runs
	record    *Process         // record of the latest process; nil before the first process
	stopWatch chan struct{}    // closed to stop the watcher
	watcher   sync.WaitGroup   // runs watch, from start until the process is ended
}

func newNodeRunner(r *run, number int) (*nodeRunner, error) {
	addr, err := emulator.UnusedAddr()
	if err != nil {
		return nil, err
	}
	adminAddr, err := emulator.UnusedAddr()
	if err != nil {
		return nil, err
	}
	n := &nodeRunner{run: r, number: number, addr: addr, adminAddr: adminAddr, configFile: r.path(fmt.Sprintf("n%d.json", number))}
	n.endpoint = &endpoint{node: number, addr: addr}
	return n, nil
}

// start starts a process, and lets clients connect once it serves. The caller holds mu, except for the first call.
func (n *nodeRunner) start() error {
	if err := n.run.writeConfig(n, false); err != nil {
		return err
	}
	incarnation := 0
	if n.record != nil {
		incarnation = n.record.Incarnation + 1
	}
	began := time.Now()
	program := n.run.options.Program
	private, err := os.MkdirTemp(n.run.options.Dir, "tmp-") // as on the platform: empty at each start
	if err != nil {
		return fmt.Errorf("making a process's TMPDIR: %w", err)
	}
	program.Env = append(slices.Clip(program.Env), "GW_CONFIG="+n.configFile, "TMPDIR="+private)
	process, err := program.Start(n.run.options.Dir, fmt.Sprintf("n%d", n.number))
	if err == nil && n.run.options.Deployed {
		err = n.awaitUp(process)
	}
	record := &Process{
		Node: n.number, Incarnation: incarnation,
		Lifetime: Interval{From: began, To: began.Add(openEnd)}, StartupTime: time.Since(began),
	}
	n.run.update(func() { n.run.Processes = append(n.run.Processes, record) })
	n.record, n.process = record, process
	if err != nil {
		if process != nil {
			process.Kill()
		}
		n.process = nil
		n.run.update(func() { record.Failure, record.Lifetime.To = fmt.Sprintf("not started: %v", err), time.Now() })
		return nil
	}
	n.stopWatch = make(chan struct{})
	n.watcher.Go(func() { n.watch(process, record, n.stopWatch) })
	n.endpoint.setOpen(incarnation, true)
	return nil
}

// errNotUp is the failure of a process that does not become ready.
var errNotUp = errors.New("node is not up in time")

// awaitUp waits until a process is ready to serve.
func (n *nodeRunner) awaitUp(process *testbed.Process) error {
	client := http.Client{Timeout: scrapeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	poll := time.NewTicker(upPollInterval)
	defer poll.Stop()
	for end := time.Now().Add(maxStartupTime); time.Now().Before(end); {
		if resp, err := client.Get("http://" + n.addr + "/up"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-poll.C:
		case <-process.Ended():
			return fmt.Errorf("%w: %s", errNotUp, tail(process.Logged()))
		}
	}
	return errNotUp
}

// watch scrapes a process until stop is closed, or until the process ends by itself.
func (n *nodeRunner) watch(process *testbed.Process, record *Process, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-process.Ended():
			n.run.update(func() {
				record.Failure = fmt.Sprintf("exited without a signal: %v: %s", process.Failure(), tail(process.Logged()))
			})
			n.endpoint.setOpen(record.Incarnation, false)
			return
		case <-time.After(scrapeInterval):
		}
		n.scrape(process, record)
	}
}

// scrape reads a process's metrics and counts its descriptors.
func (n *nodeRunner) scrape(process *testbed.Process, record *Process) {
	open, _ := process.Descriptors()
	n.countMemory(process, record)
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	lines, err := admin.Call(ctx, n.adminAddr, "telemetry")
	n.run.update(func() {
		record.Descriptors = max(record.Descriptors, open)
		if err == nil { // a process that is paused or has no free descriptor does not answer
			record.Violations = violationsOf(lines, process.Logged())
		}
	})
}

// countMemory records the peak resident size of a process.
func (n *nodeRunner) countMemory(process *testbed.Process, record *Process) {
	if !n.run.options.Deployed {
		return
	}
	peak, err := process.PeakMemory()
	if err != nil {
		return // the process has ended
	}
	n.run.update(func() { record.PeakMemory = max(record.PeakMemory, peak) })
}

// violationsOf returns the invariants that a process has counted as violated, with the log lines about them.
func violationsOf(metrics []string, log string) []string {
	var violations []string
	for _, line := range metrics {
		if strings.HasPrefix(line, "invariant.") {
			violations = append(violations, line)
		}
	}
	if len(violations) > 0 {
		violations = append(violations, violationLines(log)...)
	}
	return violations
}

// violationLines returns the first log lines in which a node reports an invariant violation.
func violationLines(log string) []string {
	const maxLines = 5
	var found []string
	for line := range strings.Lines(log) {
		if strings.Contains(line, "invariant violated") && len(found) < maxLines {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// tail returns the end of a log, for a failure message.
func tail(text string) string {
	const maxBytes = 1500
	return text[max(0, len(text)-maxBytes):]
}

// terminate shuts the process down with SIGTERM, and waits until it has ended.
func (n *nodeRunner) terminate() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.terminateLocked()
}

// terminateLocked is terminate for a caller that holds mu.
func (n *nodeRunner) terminateLocked() {
	if n.process == nil {
		return
	}
	n.scrape(n.process, n.record)
	n.endWatch()
	if n.record.Failure != "" { // the process had ended by itself
		n.process = nil
		return
	}
	n.run.update(func() { n.record.TerminatedAt = time.Now() })
	_ = n.process.Signal(syscall.SIGTERM)
	n.ending.Store(n.process)
	defer n.ending.Store(nil)
	incarnation := n.record.Incarnation
	// The timer is not stopped: drain has no effect on a process that has ended before the timer fires.
	time.AfterFunc(frontendDelay, func() { n.endpoint.drain(incarnation) })
	n.awaitEnd()
	n.recordEnd()
}

// awaitEnd waits until a process has ended after SIGTERM, and kills it when the platform would.
func (n *nodeRunner) awaitEnd() {
	kill := time.After(min(n.run.Plan.maxDeadline(), maxCountedDeadline) + killDelay)
	watchMemory := time.NewTicker(scrapeInterval)
	defer watchMemory.Stop()
	for {
		select {
		case <-watchMemory.C:
			n.countMemory(n.process, n.record)
			continue
		case <-n.process.Ended():
			if err := n.process.Failure(); err != nil {
				n.recordFailure(fmt.Sprintf("failed after SIGTERM: %v: %s", err, tail(n.process.Logged())))
			}
		case <-kill:
			n.process.Kill() // requests that it accepted and did not answer are lost: a violation
			n.recordFailure("still running when SIGKILL followed SIGTERM: " + tail(n.process.Logged()))
		}
		return
	}
}

// endWatch stops the watcher and waits for it.
func (n *nodeRunner) endWatch() {
	close(n.stopWatch)
	n.watcher.Wait()
}

func (n *nodeRunner) recordFailure(text string) {
	n.run.update(func() { n.record.Failure = text })
}

// recordEnd records that the process has ended, and stops clients from connecting to its address.
func (n *nodeRunner) recordEnd() {
	n.run.update(func() { n.record.Lifetime.To = time.Now() })
	n.endpoint.setOpen(n.record.Incarnation, false)
	n.process = nil
}

// restart ends the process, with SIGKILL or SIGTERM, and starts another.
func (n *nodeRunner) restart(kill bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return nil
	}
	if kill {
		n.killLocked()
	} else {
		n.terminateLocked()
	}
	return n.start()
}

// kill ends the process with SIGKILL, if one runs.
func (n *nodeRunner) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.killLocked()
	}
}

// killLocked is kill for a caller that holds mu. A process must be running.
func (n *nodeRunner) killLocked() {
	n.endWatch()
	n.countMemory(n.process, n.record)
	n.run.update(func() { n.record.Killed = time.Now() })
	n.process.Kill()
	n.recordEnd()
}

// signalEnding signals the process that is shutting down, if there is one.
func (n *nodeRunner) signalEnding(sig syscall.Signal) {
	if p := n.ending.Load(); p != nil {
		_ = p.Signal(sig)
	}
}

// reload sends SIGHUP to the process, if one runs.
func (n *nodeRunner) reload() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Signal(syscall.SIGHUP)
	}
}

// pause stops the process with SIGSTOP for the given duration.
func (n *nodeRunner) pause(ctx context.Context, duration time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	from := time.Now()
	index := len(n.record.Paused) // n.record.Paused changes only while mu is locked
	n.run.update(func() { n.record.Paused = append(n.record.Paused, Interval{from, from.Add(duration)}) })
	_ = n.process.Signal(syscall.SIGSTOP)
	emulator.Sleep(ctx, duration)
	_ = n.process.Signal(syscall.SIGCONT)
	n.run.update(func() { n.record.Paused[index].To = time.Now() })
}

// exhaustDescriptors prevents the process from opening further descriptors for the given duration.
func (n *nodeRunner) exhaustDescriptors(ctx context.Context, duration time.Duration) error {
	n.mu.Lock()
	process, record := n.process, n.record
	n.mu.Unlock()
	if process == nil {
		return nil
	}
	var original unix.Rlimit
	if err := unix.Prlimit(process.Pid(), unix.RLIMIT_NOFILE, nil, &original); err != nil {
		return fmt.Errorf("reading a node's descriptor limit: %w", err)
	}
	open, err := process.Descriptors()
	if err != nil {
		return err
	}
	from := time.Now()
	n.run.update(func() { record.OutOfDescriptors = append(record.OutOfDescriptors, Interval{from, from.Add(duration)}) })
	lowered := unix.Rlimit{Cur: uint64(open), Max: original.Max}
	if err := unix.Prlimit(process.Pid(), unix.RLIMIT_NOFILE, &lowered, nil); err != nil {
		return fmt.Errorf("lowering a node's descriptor limit: %w", err)
	}
	emulator.Sleep(ctx, duration)
	if err := unix.Prlimit(process.Pid(), unix.RLIMIT_NOFILE, &original, nil); err != nil && !errors.Is(err, syscall.ESRCH) {
		return fmt.Errorf("restoring a node's descriptor limit: %w", err)
	}
	return nil
}
