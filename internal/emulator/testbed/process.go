// Package testbed is a stand for many processes of the program: it starts and ends them, and lies
// between them as a network that fails, one ordered pair at a time. Tests and proofs use it.
package testbed

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Program is what a process runs.
type Program struct {
	Path string
	Env  []string // beside this process's own
	Says bool     // it prints a line once it is up
}

// Process is a process that runs.
type Process struct {
	Line  string // what it said once it was up
	cmd   *exec.Cmd
	log   *os.File
	ended chan struct{}
	err   error // how it ended, once it has
}

// endWait is how long a process may take to end before it is killed.
const endWait = 10 * time.Second

// Start starts a process. Its log goes to a file in dir.
func (p Program) Start(dir, name string, args ...string) (*Process, error) {
	s := &Process{cmd: exec.Command(p.Path, args...), ended: make(chan struct{})}
	s.cmd.Env = append(os.Environ(), p.Env...)
	var err error
	if s.log, err = os.CreateTemp(dir, name+"-*.log"); err != nil {
		return nil, fmt.Errorf("a log for the process: %w", err)
	}
	s.cmd.Stderr = s.log
	var up *bufio.Reader
	if p.Says {
		out, err := s.cmd.StdoutPipe()
		if err != nil {
			return nil, fmt.Errorf("the process's output: %w", err)
		}
		up = bufio.NewReader(out)
	}
	if err := s.cmd.Start(); err != nil {
		s.log.Close()
		return nil, fmt.Errorf("starting the process: %w", err)
	}
	if p.Says {
		line, err := up.ReadString('\n')
		if err != nil {
			_ = s.cmd.Process.Kill()
			_ = s.cmd.Wait()
			return nil, fmt.Errorf("the process did not come up: %w: %s", err, s.Logged())
		}
		s.Line = strings.TrimSpace(line)
	}
	go func() {
		s.err = s.cmd.Wait()
		s.log.Close()
		close(s.ended)
	}()
	return s, nil
}

// End ends the process and waits for it. The error is that of a process that ended by itself or
// badly.
func (s *Process) End() error {
	_ = s.Signal(syscall.SIGTERM)
	t := time.AfterFunc(endWait, func() { _ = s.cmd.Process.Kill() })
	defer t.Stop()
	<-s.ended
	return s.err
}

// Kill ends the process without a word to it, and waits for it.
func (s *Process) Kill() {
	_ = s.cmd.Process.Kill()
	<-s.ended
}

// Signal sends a signal to the process, and to no other.
func (s *Process) Signal(sig syscall.Signal) error {
	if err := s.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("signalling the process: %w", err)
	}
	return nil
}

// Ended is closed once the process has ended.
func (s *Process) Ended() <-chan struct{} { return s.ended }

// Failure is how a process has ended that did not end well, or nil. It is known once Ended is closed.
func (s *Process) Failure() error { return s.err }

// Pid is the process's number.
func (s *Process) Pid() int { return s.cmd.Process.Pid }

// Reload has a node read its file anew and waits until the log tells of it.
func (s *Process) Reload() error {
	was := strings.Count(s.Logged(), "reload")
	if err := s.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	for end := time.Now().Add(endWait); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if strings.Count(s.Logged(), "reload") > was {
			return nil
		}
	}
	return fmt.Errorf("the node did not reload within %v", endWait)
}

// Logged is what the process has written so far.
func (s *Process) Logged() string {
	text, err := os.ReadFile(s.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// CPU is the processor time that the process has used so far, to 10 ms.
func (s *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("the process's processor time: %w", err)
	}
	_, rest, ok := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if !ok || len(f) < 13 {
		return 0, errors.New("the process's processor time: /proc has another form than expected")
	}
	user, err1 := strconv.Atoi(f[11])
	system, err2 := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond, errors.Join(err1, err2)
}

// Memory is what the process has resident of its own, without what is of its file, in bytes.
func (s *Process) Memory() (int, error) { return s.status("RssAnon") }

// Peak is the most that the process ever had resident, in bytes.
func (s *Process) Peak() (int, error) { return s.status("VmHWM") }

// status is a size in bytes that the system tells of the process.
func (s *Process) status(name string) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("the process's memory: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if _, err := fmt.Sscanf(line, name+": %d kB", &kb); err == nil {
			return kb << 10, nil
		}
	}
	return 0, errors.New("the process's memory: /proc has another form than expected")
}

// Descriptors is how many descriptors the process has open.
func (s *Process) Descriptors() (int, error) {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("the process's descriptors: %w", err)
	}
	return len(all), nil
}
