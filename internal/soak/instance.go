package soak

import (
	"context"
	"errors"
	"fmt"
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
	// frontNotices is how long clients go on coming to a node that was told to end.
	frontNotices = 300 * time.Millisecond
	// killedAfter the longest deadline from SIGTERM on the platform may send SIGKILL; longestCounted is
	// the most that counts of a deadline. Here it always does.
	killedAfter    = 700 * time.Millisecond
	longestCounted = 3 * time.Second
	lookEvery      = 400 * time.Millisecond
)

// instance is a node's place, and the process that holds it.
type instance struct {
	run     *run
	number  int
	addr    string
	control string
	file    string
	door    *frontDoor

	ending atomic.Pointer[testbed.Process] // that was told to end, until it has

	mu      sync.Mutex // held while the process is ended or begun
	process *testbed.Process
	seen    *Process
	watched chan struct{} // closed to end the looks at the process
	looking sync.WaitGroup
}

func newInstance(r *run, number int) (*instance, error) {
	addr, err := emulator.Unused()
	if err != nil {
		return nil, err
	}
	control, err := emulator.Unused()
	if err != nil {
		return nil, err
	}
	n := &instance{run: r, number: number, addr: addr, control: control, file: r.path(fmt.Sprintf("n%d.json", number))}
	n.door = &frontDoor{node: number, addr: addr}
	return n, nil
}

// begin starts a process, and opens the door once it serves. Called with the lock held, or first.
func (n *instance) begin() error {
	if err := n.run.write(n, false); err != nil {
		return err
	}
	life := 0
	if n.seen != nil {
		life = n.seen.Life + 1
	}
	began := time.Now()
	program := n.run.opt.Program
	program.Env = append(program.Env, "GW_CONFIG="+n.file)
	p, err := program.Start(n.run.opt.Dir, fmt.Sprintf("n%d", n.number))
	seen := &Process{Node: n.number, Life: life, Span: Span{From: began, To: began.Add(24 * time.Hour)}, Ready: time.Since(began)}
	n.run.Record.mu.Lock()
	n.run.Processes = append(n.run.Processes, seen)
	n.run.Record.mu.Unlock()
	n.seen, n.process = seen, p
	if err != nil {
		seen.Failure = fmt.Sprintf("it did not start: %v", err)
		return nil
	}
	n.watched = make(chan struct{})
	n.looking.Go(func() { n.look(p, seen, n.watched) })
	n.door.set(life, true)
	return nil
}

// look reads what a process tells of itself, until it is to end.
func (n *instance) look(p *testbed.Process, seen *Process, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-p.Ended():
			n.run.Record.mu.Lock()
			seen.Failure = fmt.Sprintf("it ended by itself: %v: %s", p.Failure(), tail(p.Logged()))
			n.run.Record.mu.Unlock()
			n.door.set(seen.Life, false)
			return
		case <-time.After(lookEvery):
		}
		n.ask(p, seen)
	}
}

// ask asks a process for its figures.
func (n *instance) ask(p *testbed.Process, seen *Process) {
	open, _ := p.Descriptors()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	lines, err := admin.Call(ctx, n.control, "telemetry")
	n.run.Record.mu.Lock()
	defer n.run.Record.mu.Unlock()
	seen.Descriptors = max(seen.Descriptors, open)
	if err != nil {
		return
	}
	var broken []string
	for _, line := range lines {
		if strings.HasPrefix(line, "invariant.") {
			broken = append(broken, line)
		}
	}
	if len(broken) > 0 {
		broken = append(broken, promises(p.Logged())...)
	}
	seen.Broken = broken
}

// promises are the lines in which a node says which promise it saw broken.
func promises(log string) (all []string) {
	const most = 5
	for line := range strings.Lines(log) {
		if strings.Contains(line, "a promise is broken") && len(all) < most {
			all = append(all, strings.TrimSpace(line))
		}
	}
	return all
}

func tail(text string) string {
	const most = 1500
	return text[max(0, len(text)-most):]
}

// end tells the process to end, and waits.
func (n *instance) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stop()
}

// stop is end under the lock.
func (n *instance) stop() {
	if n.process == nil {
		return
	}
	n.ask(n.process, n.seen)
	close(n.watched)
	n.looking.Wait()
	if n.seen.Failure != "" {
		n.process = nil
		return
	}
	n.run.Record.mu.Lock()
	n.seen.ToldToEnd = time.Now()
	n.run.Record.mu.Unlock()
	_ = n.process.Signal(syscall.SIGTERM)
	n.ending.Store(n.process)
	defer n.ending.Store(nil)
	life := n.seen.Life
	time.AfterFunc(frontNotices, func() { n.door.drain(life) })
	select {
	case <-n.process.Ended():
		if err := n.process.Failure(); err != nil {
			n.fail(fmt.Sprintf("told to end it failed: %v: %s", err, tail(n.process.Logged())))
		}
	case <-time.After(min(n.run.Plan.longest(), longestCounted) + killedAfter):
		n.process.Kill() // what it has taken and not answered by now is lost, by its own fault
		n.fail("told to end it had not when it was killed: " + tail(n.process.Logged()))
	}
	n.gone()
}

func (n *instance) fail(text string) {
	n.run.Record.mu.Lock()
	defer n.run.Record.mu.Unlock()
	n.seen.Failure = text
}

func (n *instance) gone() {
	n.run.Record.mu.Lock()
	n.seen.Span.To = time.Now()
	n.run.Record.mu.Unlock()
	n.door.set(n.seen.Life, false)
	n.process = nil
}

// restart ends the process as asked for, and begins another.
func (n *instance) restart(kill bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return nil
	}
	if kill {
		n.die()
	} else {
		n.stop()
	}
	return n.begin()
}

// die kills the process. Called under the lock.
func (n *instance) die() {
	close(n.watched)
	n.looking.Wait()
	n.run.Record.mu.Lock()
	n.seen.Killed = time.Now()
	n.run.Record.mu.Unlock()
	n.process.Kill()
	n.gone()
}

// kill ends the process whatever it does.
func (n *instance) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.die()
	}
}

// nudge signals a process that is about to end, if there is one.
func (n *instance) nudge(s syscall.Signal) {
	if p := n.ending.Load(); p != nil {
		_ = p.Signal(s)
	}
}

// signal signals the process, if there is one.
func (n *instance) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Signal(s)
	}
}

// pause stops the process for a time.
func (n *instance) pause(ctx context.Context, span time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	from := time.Now()
	n.run.Record.mu.Lock()
	n.seen.Paused = append(n.seen.Paused, Span{from, from.Add(span)})
	at := len(n.seen.Paused) - 1
	n.run.Record.mu.Unlock()
	_ = n.process.Signal(syscall.SIGSTOP)
	wait(ctx, span)
	_ = n.process.Signal(syscall.SIGCONT)
	n.run.Record.mu.Lock()
	n.seen.Paused[at].To = time.Now()
	n.run.Record.mu.Unlock()
}

// starve lets the process open no descriptor more for a time.
func (n *instance) starve(ctx context.Context, span time.Duration) error {
	n.mu.Lock()
	p, seen := n.process, n.seen
	n.mu.Unlock()
	if p == nil {
		return nil
	}
	var was unix.Rlimit
	if err := unix.Prlimit(p.Pid(), unix.RLIMIT_NOFILE, nil, &was); err != nil {
		return fmt.Errorf("a node's limits: %w", err)
	}
	open, err := p.Descriptors()
	if err != nil {
		return err
	}
	from := time.Now()
	n.run.Record.mu.Lock()
	seen.Starved = append(seen.Starved, Span{from, from.Add(span)})
	n.run.Record.mu.Unlock()
	less := unix.Rlimit{Cur: uint64(open), Max: was.Max}
	if err := unix.Prlimit(p.Pid(), unix.RLIMIT_NOFILE, &less, nil); err != nil {
		return fmt.Errorf("a node's limits: %w", err)
	}
	wait(ctx, span)
	if err := unix.Prlimit(p.Pid(), unix.RLIMIT_NOFILE, &was, nil); err != nil && !errors.Is(err, syscall.ESRCH) {
		return fmt.Errorf("a node's limits: %w", err)
	}
	return nil
}
